"""Headers that a request gains on its way to a target."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from multidict import CIMultiDictProxy

from lycheespar.call import Headers
from lycheespar.errors import BadRequestError, LoopDetectedError
from lycheespar.targets.headers import end_to_end

CALL_DEPTH: Final = 'X-Call-Depth'
REQUEST_CLASS: Final = 'X-Request-Class'
FORWARDED_FOR: Final = 'X-Forwarded-For'
VIA: Final = 'Via'
# Calls that call each other, one below the other.
MAX_DEPTH: Final = 32
_REPLACED: Final = frozenset(
    name.lower() for name in (CALL_DEPTH, REQUEST_CLASS, FORWARDED_FOR, VIA)
)


def call_depth(headers: CIMultiDictProxy[str]) -> int:
    """Return how many calls are above this one.

    Raises
    ------
    BadRequestError
        The header is no number.
    LoopDetectedError
        There are more than `MAX_DEPTH`.
    """
    text = headers.get(CALL_DEPTH, '0')
    if not (text.isascii() and text.isdecimal()):
        raise BadRequestError(f'{CALL_DEPTH} must be a whole number')
    if len(text) > len(str(MAX_DEPTH)) or int(text) > MAX_DEPTH:
        raise LoopDetectedError
    return int(text)


def forwarded(
    headers: CIMultiDictProxy[str],
    caller: str | None,
    depth: int,
    request_class: str,
) -> Headers:
    """Return the headers for the target.

    Targets hand ``X-Call-Depth``, ``X-Request-Class`` and ``X-Deadline-Ms`` on
    with the calls that they make for this one.

    Parameters
    ----------
    headers : CIMultiDictProxy[str]
        Headers of the caller's request.
    caller : str | None
        IP number of the caller.
    depth : int
        Calls above this one.
    request_class : str
        Class of the request.
    """
    kept = (
        pair
        for pair in end_to_end(headers.items())
        if pair[0].lower() not in _REPLACED
    )
    return (
        *kept,
        (FORWARDED_FOR, _append(headers.getall(FORWARDED_FOR, ()), caller)),
        (VIA, _append(headers.getall(VIA, ()), '1.1 lycheespar')),
        (CALL_DEPTH, str(depth + 1)),
        (REQUEST_CLASS, request_class),
    )


def _append(known: Iterable[str], added: str | None) -> str:
    return ', '.join((*known, added or 'unknown'))
