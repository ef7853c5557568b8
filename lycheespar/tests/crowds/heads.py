"""Scripts of clients that exceed the limits of HTTP heads and bodies."""

from __future__ import annotations

from typing import Final

from lycheespar.tests.crowds.crowd import Script
from standins.small_site import HOST, MAX_HEADER_BYTES, PATH

LETTERS: Final = b'a' * 1024
# Connections of a crowd that a node closes soon.
MANY: Final = 150
REQUEST_LINE: Final = f'GET {PATH} HTTP/1.1\r\nHost: {HOST}\r\n'.encode()
CHUNKED: Final = (
    f'POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\n'
    'Transfer-Encoding: chunked\r\n\r\n'
).encode()
TLS_HELLO: Final = b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03'
ORDINARY: Final = REQUEST_LINE + b'\r\n'


def head(size: int) -> bytes:
    """Return the head of a request with a number of bytes."""
    opening = REQUEST_LINE + b'X-Filler: '
    return opening + b'a' * (size - len(opening) - 4) + b'\r\n\r\n'


# Clients that send one thing without end.
ENDLESS: Final = {
    'field': Script(REQUEST_LINE + b'X-Filler: ', LETTERS),
    'field_name': Script(REQUEST_LINE, LETTERS, connections=MANY),
    'many_fields': Script(REQUEST_LINE, b'X-Filler: ' + LETTERS + b'\r\n'),
    'short_fields': Script(REQUEST_LINE, b'a: b\r\n'),
    'continuation_lines': Script(
        REQUEST_LINE + b'X-Filler: a\r\n', b' a\r\n', connections=MANY
    ),
    'method': Script(b'', b'A' * 1024),
    'path': Script(b'GET /', LETTERS),
    'spaces': Script(b'', b' ' * 1024, connections=MANY),
    'zero_bytes': Script(b'', bytes(1024)),
    'tls_hello': Script(TLS_HELLO, b'\x55' * 1024, connections=MANY),
    'tls_hellos': Script(b'', TLS_HELLO),
    'empty_lines': Script(b'', b'\r\n'),
    'line_feeds': Script(b'', b'\n'),
    'carriage_returns': Script(b'', b'\r'),
    'empty_lines_between_requests': Script(b'', ORDINARY + b'\r\n' * 30_000),
    'trailer': Script(CHUNKED + b'0\r\nX-Filler: ', LETTERS),
    'short_trailers': Script(CHUNKED + b'0\r\n', b'a: b\r\n'),
    'chunk_size': Script(CHUNKED, b'0' * 1024),
    'chunk_extension': Script(CHUNKED + b'1;', LETTERS),
    'chunk_extensions': Script(CHUNKED, b'1;' + LETTERS + b'\r\na\r\n'),
    'body': Script(CHUNKED, b'400\r\n' + LETTERS + b'\r\n', connections=MANY),
    'heads_over_the_limit': Script(b'', head(4 * MAX_HEADER_BYTES)),
    'heads_within_the_limit': Script(
        b'', head(MAX_HEADER_BYTES - 100), reads=False
    ),
}
# Clients that hold more connections than a process may have open.
SILENT: Final = {
    'nothing': Script(connections=300),
    'unfinished_heads': Script(
        REQUEST_LINE + b'X-Filler: ' + b'a' * (MAX_HEADER_BYTES - 100),
        connections=300,
    ),
    'slow_heads': Script(
        REQUEST_LINE, b'a', 1000, pause_s=0.05, connections=300
    ),
    'slow_empty_lines': Script(
        b'', b'\r\n', 1000, pause_s=0.05, connections=300
    ),
}
