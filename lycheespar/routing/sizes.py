"""Estimates the sizes of requests and answers for each request class."""

from __future__ import annotations

from typing import Final

from lycheespar.call import Answer, Call
from lycheespar.targets.headers import get_header

BYTES_PER_KB: Final = 1000
_AVERAGE_WEIGHT: Final = 0.05


class AnswerSizes:
    """Moving averages of the size of a request and its answer, by class."""

    __slots__ = ('_kb',)

    def __init__(self) -> None:
        """Create estimates without any answers."""
        self._kb: dict[str, float] = {}

    def expected_kb(self, request_class: str) -> float:
        """Return the expected kilobytes of a call; 0 if unknown."""
        return self._kb.get(request_class, 0)

    def add_answer(self, call: Call, answer: Answer) -> None:
        """Add the size of one request and its answer to the average.

        An answer without a known length is ignored.
        """
        answer_bytes = _body_length(answer)
        if answer_bytes is None:
            return
        request_bytes = len(call.body) if isinstance(call.body, bytes) else 0
        size_kb = (request_bytes + answer_bytes) / BYTES_PER_KB
        average_kb = self._kb.get(call.request_class, size_kb)
        average_kb += _AVERAGE_WEIGHT * (size_kb - average_kb)
        self._kb[call.request_class] = average_kb


def _body_length(answer: Answer) -> int | None:
    """Return the length of a body, or None if it is not known yet."""
    if isinstance(answer.body, bytes):
        return len(answer.body)
    declared = get_header(answer.headers, 'content-length')
    return int(declared) if declared.isdecimal() else None
