"""Answers with which a target refuses work."""

from __future__ import annotations

from typing import Final

from lycheespar.call import Answer, Call
from lycheespar.errors import OverloadedError, RequestError, TargetShedError
from lycheespar.targets.headers import NOT_RUN

RETRY_AFTER: Final = 'retry-after'
DEFAULT_RETRY_S: Final = 1
UNAVAILABLE: Final = 503


def refusal_of(call: Call, answer: Answer) -> RequestError | None:
    """Return the error that a target's refusal stands for, or nothing.

    A target that sends ``X-Not-Run: 1`` says that the request did not run, so
    that another target may run it. Status 503 alone says only that the
    request failed: an idempotent one may be sent elsewhere, any other answer
    goes to the caller as it is. Status 429 is about the caller and does too.
    """
    headers = {name.lower(): text for name, text in answer.headers}
    retry_after_s = _seconds(headers.get(RETRY_AFTER, ''))
    if headers.get(NOT_RUN.lower()) == '1':
        return OverloadedError('the target sheds load', retry_after_s)
    if answer.status == UNAVAILABLE and call.idempotent:
        return TargetShedError('the target sheds load', retry_after_s)
    return None


def _seconds(text: str) -> float:
    """Parse ``Retry-After``; dates and nonsense count as the default."""
    return float(text) if text.isdecimal() else DEFAULT_RETRY_S
