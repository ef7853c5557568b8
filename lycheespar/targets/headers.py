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
DEADLINE: Final = 'X-Deadline-Ms'
NOT_RUN: Final = 'X-Not-Run'


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


def with_deadline(headers: Headers, budget_ms: float) -> Headers:
    """Replace the deadline header by the milliseconds that are left."""
    lowered = DEADLINE.lower()
    kept = (pair for pair in headers if pair[0].lower() != lowered)
    return (*kept, (DEADLINE, str(max(1, int(budget_ms)))))
