"""Headers between callers and targets."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from lycheespar.call import Headers

# Headers that hold for one connection only (RFC 9110, section 7.6.1), and
# "Expect", which the ingress answers itself.
HOP_HEADERS: Final = frozenset(
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


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Drop the headers that hold for one connection only.

    Those that ``Connection`` names are dropped as well.
    """
    pairs = tuple(headers)
    named = frozenset(
        token.strip().lower()
        for name, text in pairs
        if name.lower() == 'connection'
        for token in text.split(',')
    )
    dropped = HOP_HEADERS | named if named else HOP_HEADERS
    return tuple(
        (str(name), text) for name, text in pairs if name.lower() not in dropped
    )


def for_target(
    headers: Headers,
    replaced: Iterable[tuple[str, str]],
) -> Headers:
    """Replace headers by those that this hop sets; empty names are skipped."""
    pairs = tuple(pair for pair in replaced if pair[0])
    lowered = frozenset(name.lower() for name, _ in pairs)
    kept = (pair for pair in headers if pair[0].lower() not in lowered)
    return (*kept, *pairs)


def header(headers: Headers, name: str) -> str:
    """Return the text of a header, empty without one."""
    lowered = name.lower()
    return next(
        (text for known, text in headers if known.lower() == lowered),
        '',
    )
