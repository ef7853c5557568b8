"""Headers that the ingress adds to requests for targets."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from multidict import CIMultiDictProxy

from lycheespar.call import Headers
from lycheespar.errors import BadRequestError, LoopDetectedError
from lycheespar.targets.headers import remove_hop_by_hop

CALL_DEPTH: Final = 'X-Call-Depth'
REQUEST_CLASS: Final = 'X-Request-Class'
FORWARDED_FOR: Final = 'X-Forwarded-For'
VIA: Final = 'Via'
# Longest chain of nested calls; a longer one counts as a loop.
MAX_CALL_DEPTH: Final = 32
_REPLACED_HEADERS: Final = frozenset(
    name.lower() for name in (CALL_DEPTH, REQUEST_CLASS, FORWARDED_FOR, VIA)
)


def call_depth(headers: CIMultiDictProxy[str]) -> int:
    """Return how many calls led to this request, from its header.

    Raises
    ------
    BadRequestError
        The header is not a whole number.
    LoopDetectedError
        The number exceeds `MAX_CALL_DEPTH`.
    """
    text = headers.get(CALL_DEPTH, '0')
    if not (text.isascii() and text.isdecimal()):
        raise BadRequestError(f'{CALL_DEPTH} must be a whole number')
    if len(text) > len(str(MAX_CALL_DEPTH)) or int(text) > MAX_CALL_DEPTH:
        raise LoopDetectedError
    return int(text)


def forwarded_headers(
    headers: CIMultiDictProxy[str],
    caller_ip: str | None,
    depth: int,
    request_class: str,
) -> Headers:
    """Return the headers of a request as the target gets them.

    Targets copy ``X-Call-Depth``, ``X-Request-Class`` and ``X-Deadline-Ms``
    to the calls that they make for this request.

    Parameters
    ----------
    headers : CIMultiDictProxy[str]
        Headers of the caller's request.
    caller_ip : str | None
        IP number of the connection's other end, if known.
    depth : int
        Number of calls that led to this request.
    request_class : str
        Class of the request.
    """
    unchanged = (
        pair
        for pair in remove_hop_by_hop(headers.items())
        if pair[0].lower() not in _REPLACED_HEADERS
    )
    return (
        *unchanged,
        (
            FORWARDED_FOR,
            _append_item(headers.getall(FORWARDED_FOR, ()), caller_ip),
        ),
        (VIA, _append_item(headers.getall(VIA, ()), '1.1 lycheespar')),
        (CALL_DEPTH, str(depth + 1)),
        (REQUEST_CLASS, request_class),
    )


def _append_item(existing: Iterable[str], added: str | None) -> str:
    return ', '.join((*existing, added or 'unknown'))
