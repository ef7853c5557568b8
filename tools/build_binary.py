"""Builds the one-file program: launcher, frozen folder, trailer."""

from __future__ import annotations

import hashlib
import struct
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import click

ROOT: Final = Path(__file__).resolve().parent.parent
MAGIC: Final = b'LYCHEE01'
_HEADER: Final = struct.Struct('<IIQ')
_TRAILER: Final = struct.Struct('<32sQ8s')
_EXCLUDED: Final = (
    'lycheespar.tests',
    'tkinter',
    'setuptools',
    'yaml',
    'readline',
)


def freeze(work: Path) -> Path:
    """Freeze the package into a folder with one executable."""
    excluded = [
        word for name in _EXCLUDED for word in ('--exclude-module', name)
    ]
    subprocess.run(
        [
            sys.executable,
            '-m',
            'PyInstaller',
            *('--onedir', '--noconfirm', '--strip', '--log-level', 'WARN'),
            *('--name', 'lycheespar', '--paths', str(ROOT)),
            *('--copy-metadata', 'opentelemetry-api'),
            *('--copy-metadata', 'opentelemetry-sdk'),
            *('--distpath', str(work / 'dist')),
            *('--workpath', str(work / 'build')),
            *('--specpath', str(work)),
            *excluded,
            str(ROOT / 'tools' / 'program.py'),
        ],
        check=True,
    )
    return work / 'dist' / 'lycheespar'


def pack(folder: Path) -> Iterator[bytes]:
    """Yield the archive's parts, files in order of their names."""
    for path in sorted(found for found in folder.rglob('*') if found.is_file()):
        name = path.relative_to(folder).as_posix().encode()
        content = path.read_bytes()
        yield _HEADER.pack(len(name), path.stat().st_mode, len(content))
        yield name
        yield content


def compile_launcher(work: Path) -> bytes:
    """Compile the launcher."""
    program = work / 'launcher'
    source = ROOT / 'tools' / 'launcher.c'
    flags = ('-O2', '-s', '-Wall', '-Wextra', '-Werror')
    subprocess.run(
        ['gcc', *flags, '-o', str(program), str(source)],
        check=True,
    )
    return program.read_bytes()


@click.command()
@click.option(
    '--output',
    type=click.Path(path_type=Path),
    default=ROOT / 'dist' / 'lycheespar',
    help='The file to write.',
)
def main(output: Path) -> None:
    """Build the program."""
    with tempfile.TemporaryDirectory() as folder:
        work = Path(folder)
        archive = b''.join(pack(freeze(work)))
        digest = hashlib.blake2b(archive, digest_size=16).hexdigest()
        trailer = _TRAILER.pack(digest.encode(), len(archive), MAGIC)
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_bytes(compile_launcher(work) + archive + trailer)
        output.chmod(0o755)
    print(f'{output}: {output.stat().st_size} bytes')


if __name__ == '__main__':
    main()
