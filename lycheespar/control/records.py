"""Records in files: length-prefixed, with checksums over length and content.

A record is a header of length, checksum of the length and checksum of the
content, each an unsigned 32-bit number, and the content. The length has a
checksum of its own so that a damaged length isn't taken for a torn end.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from typing import Final

from lycheespar.errors import StorageDamagedError

_HEADER: Final = struct.Struct('>III')
_LENGTH: Final = struct.Struct('>I')


def encode_record(content: bytes) -> bytes:
    """Return a record with its header."""
    length = _LENGTH.pack(len(content))
    header = _HEADER.pack(
        len(content),
        zlib.crc32(length),
        zlib.crc32(content),
    )
    return header + content


def read_records(stored: bytes, name: str) -> Iterator[tuple[int, bytes]]:
    """Yield the offset behind each whole record, and its content.

    Reading ends at a torn end: a last record that is shorter than its
    header says, or zeros that a file system leaves behind.

    Parameters
    ----------
    stored : bytes
        Content of the file.
    name : str
        Name of the file, for the error.

    Raises
    ------
    StorageDamagedError
        A record is whole but its checksum differs.
    """
    offset = 0
    while len(stored) - offset >= _HEADER.size:
        length, length_sum, content_sum = _HEADER.unpack_from(stored, offset)
        if zlib.crc32(_LENGTH.pack(length)) != length_sum:
            if any(memoryview(stored)[offset:]):
                raise _damage(name, offset)
            return
        start = offset + _HEADER.size
        if start + length > len(stored):
            return
        content = stored[start : start + length]
        if zlib.crc32(content) != content_sum:
            raise _damage(name, offset)
        offset = start + length
        yield offset, content


def _damage(name: str, offset: int) -> StorageDamagedError:
    return StorageDamagedError(
        f"'{name}' is damaged at byte {offset}; replace the disk or empty "
        + 'the data folder, so that this host joins the group anew',
    )
