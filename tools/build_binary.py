"""Builds the single-file executable from launcher, archive and trailer.

The layout of the file is described in ``launcher.c``.
"""

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


def freeze(work_folder: Path) -> Path:
    """Freeze the package with PyInstaller and return the resulting folder."""
    exclusions = [
        argument
        for name in _EXCLUDED
        for argument in ('--exclude-module', name)
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
            *('--distpath', str(work_folder / 'dist')),
            *('--workpath', str(work_folder / 'build')),
            *('--specpath', str(work_folder)),
            *exclusions,
            str(ROOT / 'tools' / 'program.py'),
        ],
        check=True,
    )
    return work_folder / 'dist' / 'lycheespar'


def pack(folder: Path) -> Iterator[bytes]:
    """Yield header, path and content of each file, ordered by path."""
    for path in sorted(entry for entry in folder.rglob('*') if entry.is_file()):
        name = path.relative_to(folder).as_posix().encode()
        content = path.read_bytes()
        yield _HEADER.pack(len(name), path.stat().st_mode, len(content))
        yield name
        yield content


def compile_launcher(work_folder: Path) -> bytes:
    """Compile the launcher and return its executable."""
    program = work_folder / 'launcher'
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
    help='Path of the executable to write.',
)
def main(output: Path) -> None:
    """Build the single-file executable."""
    with tempfile.TemporaryDirectory() as folder:
        work_folder = Path(folder)
        archive = b''.join(pack(freeze(work_folder)))
        digest = hashlib.blake2b(archive, digest_size=16).hexdigest()
        trailer = _TRAILER.pack(digest.encode(), len(archive), MAGIC)
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_bytes(compile_launcher(work_folder) + archive + trailer)
        output.chmod(0o755)
    print(f'{output}: {output.stat().st_size} bytes')


if __name__ == '__main__':
    main()
