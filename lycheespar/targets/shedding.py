"""Recognises answers with which a target refuses a request."""

from __future__ import annotations

import math
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
DEFAULT_RETRY_AFTER_S: Final = 1
# Longest time that a target's refusal may name: a day.
MAX_RETRY_AFTER_S: Final = 86_400
UNAVAILABLE: Final = 503
MISDIRECTED: Final = 421
# Statuses with which a target refuses a request.
_REFUSALS: Final = frozenset((408, 429, UNAVAILABLE))
# All statuses that may say that a request was not run.
NOT_RUN_STATUSES: Final = _REFUSALS | {MISDIRECTED}


def refusal_error(
    call: Call,
    answer: Answer,
    profile: HeaderProfile = DEFAULT_PROFILE,
) -> RequestError | None:
    """Return the error for an answer that refuses the request, or None.

    - Status 421 means that the request reached the wrong target and was not
      run.
    - A refusal with the "not run" header of the profile was not run either, so
      that another target may run the request.
    - Status 503 without that header only means that the request failed. An
      idempotent request may then be sent to another target.
    - Other refusals without that header have an unknown outcome if the profile
      names a header for the expected target, as their status alone would tell
      callers that the request was not run. Otherwise they are passed on.
    """
    headers = {name.lower(): text for name, text in answer.headers}
    retry_after_s = _parse_retry_after(headers.get(RETRY_AFTER, ''))
    if answer.status == MISDIRECTED:
        return MisdirectedError('another target uses the address')
    not_run_header = headers.get(profile.not_run.lower(), '0')
    if not_run_header != '0' and answer.status in _REFUSALS:
        return TargetRefusedError('the target sheds load', retry_after_s)
    if answer.status == UNAVAILABLE and call.idempotent:
        return TargetShedError('the target sheds load', retry_after_s)
    if answer.status in _REFUSALS and profile.expected_target:
        return OutcomeUnknownError(
            'the target does not say whether the request ran'
        )
    return None


def _parse_retry_after(text: str) -> float:
    """Parse ``Retry-After``; return the default for dates and invalid text."""
    try:
        seconds = float(text)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if not math.isfinite(seconds):
        return DEFAULT_RETRY_AFTER_S
    return min(max(seconds, 0), MAX_RETRY_AFTER_S)
