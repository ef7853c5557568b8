"""Rules for passing headers between callers and targets."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

from lycheespar.call import Headers

# Headers that apply to a single connection (RFC 9110, section 7.6.1), and
# "Expect", which the ingress answers itself.
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'expect',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def decode_values(
    headers: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    """Return a target's headers with values that can be encoded again.

    aiohttp decodes values as UTF-8 and puts surrogates in place of other bytes.
    A value with such bytes is taken for ISO 8859-1, the charset that HTTP once
    had (RFC 9110, section 5.5).
    """
    return (
        (name, text if text.isascii() else _decode_value(text))
        for name, text in headers
    )


def _decode_value(text: str) -> str:
    try:
        text.encode()
    except UnicodeEncodeError:
        return text.encode(errors='surrogateescape').decode('latin-1')
    return text


def remove_hop_by_hop(headers: Iterable[tuple[str, str]]) -> Headers:
    """Remove hop-by-hop headers.

    Headers that are listed in ``Connection`` are removed as well.
    """
    pairs = tuple(headers)
    listed = frozenset(
        token.strip().lower()
        for name, value in pairs
        if name.lower() == 'connection'
        for token in value.split(',')
    )
    dropped = HOP_BY_HOP_HEADERS | listed if listed else HOP_BY_HOP_HEADERS
    return tuple(
        (str(name), value)
        for name, value in pairs
        if name.lower() not in dropped
    )


def replace_headers(
    headers: Headers,
    replacements: Iterable[tuple[str, str]],
) -> Headers:
    """Set headers in place of any with the same name; skip empty names."""
    pairs = tuple(pair for pair in replacements if pair[0])
    lowercase_names = frozenset(name.lower() for name, _ in pairs)
    kept = (pair for pair in headers if pair[0].lower() not in lowercase_names)
    return (*kept, *pairs)


def get_header(headers: Headers, name: str) -> str:
    """Return the value of a header, or an empty string if it is missing."""
    lowercase_name = name.lower()
    return next(
        (value for other, value in headers if other.lower() == lowercase_name),
        '',
    )
