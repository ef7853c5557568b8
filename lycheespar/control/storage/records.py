"""Records in files: length-prefixed, with checksums of length and content.

A record is a header followed by the content. The header has the length, the
checksum of the length and the checksum of the content, each as an unsigned
32-bit number. The length has a checksum of its own so that a damaged length
isn't mistaken for a torn write.
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
    """Return the record of a content: its header and the content."""
    length = _LENGTH.pack(len(content))
    header = _HEADER.pack(
        len(content),
        zlib.crc32(length),
        zlib.crc32(content),
    )
    return header + content


def read_records(stored: bytes, name: str) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and the content of each complete record.

    Reading stops at a torn write: a last record that is shorter than its
    header says, or trailing zeros, which some file systems leave.

    Parameters
    ----------
    stored : bytes
        Content of the file.
    name : str
        Name of the file, for error messages.

    Raises
    ------
    StorageDamagedError
        The checksum of a length or of a complete content does not match.
    """
    offset = 0
    while len(stored) - offset >= _HEADER.size:
        length, length_sum, content_sum = _HEADER.unpack_from(stored, offset)
        if zlib.crc32(_LENGTH.pack(length)) != length_sum:
            if any(memoryview(stored)[offset:]):
                raise _damaged_error(name, offset)
            return
        start = offset + _HEADER.size
        if start + length > len(stored):
            return
        content = stored[start : start + length]
        if zlib.crc32(content) != content_sum:
            raise _damaged_error(name, offset)
        offset = start + length
        yield offset, content


def _damaged_error(name: str, offset: int) -> StorageDamagedError:
    return StorageDamagedError(
        f"'{name}' is damaged at byte {offset}; replace the disk or empty "
        + 'the data folder, so that this host joins the group again',
    )
