"""Sizes of requests and answers, learned for each class of requests."""

from __future__ import annotations

from typing import Final

from lycheespar.call import Answer, Call
from lycheespar.targets.headers import header

BYTES_A_KB: Final = 1000
_WEIGHT: Final = 0.05


class AnswerSizes:
    """Expected bytes of a call and its answer by class of requests."""

    __slots__ = ('_kb',)

    def __init__(self) -> None:
        """Start without answers."""
        self._kb: dict[str, float] = {}

    def expected_kb(self, request_class: str) -> float:
        """Return kilobytes that a call is likely to move; 0 if unknown."""
        return self._kb.get(request_class, 0)

    def note(self, call: Call, answer: Answer) -> None:
        """Take the size of one answer and of its request.

        An answer that does not declare its length tells nothing.
        """
        length = _length(answer)
        if length is None:
            return
        sent = len(call.body) if isinstance(call.body, bytes) else 0
        moved_kb = (sent + length) / BYTES_A_KB
        known = self._kb.get(call.request_class, moved_kb)
        known += _WEIGHT * (moved_kb - known)
        self._kb[call.request_class] = known


def _length(answer: Answer) -> int | None:
    """Return the length of a body, None where it is not known yet."""
    if isinstance(answer.body, bytes):
        return len(answer.body)
    declared = header(answer.headers, 'content-length')
    return int(declared) if declared.isdecimal() else None
