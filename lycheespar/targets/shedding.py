"""Answers with which a target refuses work."""

from __future__ import annotations

from typing import Final

from lycheespar.call import Answer, Call
from lycheespar.errors import (
    MisdirectedError,
    OutcomeUnknownError,
    RequestError,
    TargetRefusedError,
    TargetShedError,
)
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile

RETRY_AFTER: Final = 'retry-after'
DEFAULT_RETRY_S: Final = 1
UNAVAILABLE: Final = 503
MISDIRECTED: Final = 421
# Statuses with which a target refuses work.
_REFUSALS: Final = frozenset((408, 429, UNAVAILABLE))


def refusal_of(
    call: Call,
    answer: Answer,
    profile: HeaderProfile = DEFAULT_PROFILE,
) -> RequestError | None:
    """Return the error that a target's refusal stands for, or nothing.

    A target that says so in the header for it did not run the request, so
    that another target may; status 421 says that it is not the one that was
    meant. Status 503 alone says only that the request failed: an idempotent
    one may be sent elsewhere. To other callers a status that means "not run"
    is not passed on without that word.
    """
    headers = {name.lower(): text for name, text in answer.headers}
    retry_after_s = _seconds(headers.get(RETRY_AFTER, ''))
    if answer.status == MISDIRECTED:
        return MisdirectedError('another target is at its address')
    said = headers.get(profile.not_run.lower(), '0')
    if said != '0' and answer.status in _REFUSALS:
        return TargetRefusedError('the target sheds load', retry_after_s)
    if answer.status == UNAVAILABLE and call.idempotent:
        return TargetShedError('the target sheds load', retry_after_s)
    if answer.status in _REFUSALS and profile.expected_target:
        return OutcomeUnknownError('the target does not say if it ran')
    return None


def _seconds(text: str) -> float:
    """Parse ``Retry-After``; dates and nonsense count as the default."""
    try:
        return max(float(text), 0)
    except ValueError:
        return DEFAULT_RETRY_S
