"""Retry policy: which failures allow another attempt, and at what cost."""

from __future__ import annotations

from typing import Final

from lycheespar.call import Answer, Call
from lycheespar.errors import (
    ColdTargetError,
    DeadlineExceededError,
    InternalRequestError,
    MisdirectedError,
    OutcomeUnknownError,
    OverloadedError,
    RefusedError,
    RequestError,
    StillRunningError,
    TargetRefusedError,
)

# Most attempts of one call, including hedges.
MAX_ATTEMPTS: Final = 3
# Number of refusals by nodes, which never reach a target, after which a call
# is not retried.
MAX_REFUSALS: Final = 3
# Number of attempts that lost the connection to the target, after which a call
# is not retried.
MAX_LOST_ATTEMPTS: Final = 2
# Failures after which another attempt is useless.
_FINAL_ERRORS: Final = (
    DeadlineExceededError,
    InternalRequestError,
    MisdirectedError,
    StillRunningError,
    TargetRefusedError,
)
# Statuses after which an idempotent call is retried at another target.
FAILED_STATUSES: Final = frozenset((500, 502, 503, 504))
# Costs of another attempt in tokens of the retry budget. They depend on how the
# previous attempt ended: it reached the target, its node refused it because of
# load, or its node refused it because the target is unavailable.
RUN_COST: Final = 1
LOAD_REFUSAL_COST: Final = 0.5
UNAVAILABLE_REFUSAL_COST: Final = 0.1


def retry_cost(
    call: Call,
    error: RequestError,
    lost_attempts: int,
) -> float | None:
    """Return the cost of another attempt, or None if it is not allowed.

    Parameters
    ----------
    call : Call
        The call.
    error : RequestError
        Error of the latest attempt.
    lost_attempts : int
        Attempts of the call that lost the connection to the target.
    """
    if not can_resend_body(call):
        return None
    match error:
        case TargetRefusedError() | MisdirectedError():
            return RUN_COST
        case OverloadedError() | ColdTargetError():
            return LOAD_REFUSAL_COST
        case RefusedError() if error.retryable:
            return UNAVAILABLE_REFUSAL_COST
        case OutcomeUnknownError() if (
            call.idempotent and lost_attempts < MAX_LOST_ATTEMPTS
        ):
            return None if isinstance(error, _FINAL_ERRORS) else RUN_COST
        case _:
            return None


def can_resend_body(call: Call) -> bool:
    """Whether the body of a call can be sent again.

    A streamed body can be sent only if none of it was read so far.
    """
    return isinstance(call.body, bytes) or not getattr(
        call.body,
        'reading_started',
        True,
    )


def may_retry_answer(call: Call, answer: Answer) -> bool:
    """Whether a failed answer allows a retry at another target."""
    return (
        answer.status in FAILED_STATUSES
        and call.idempotent
        and can_resend_body(call)
        and isinstance(answer.body, bytes)
    )


def failure_to_report(
    known: RequestError | None,
    error: RequestError,
) -> RequestError:
    """Return the failure to report to the caller.

    A failure after which the call may have run has priority. The result carries
    the shortest time after which a target may accept the call.
    """
    if known is None:
        return error
    chosen = known if isinstance(known, OutcomeUnknownError) else error
    chosen.retry_after_s = min(known.retry_after_s, error.retry_after_s)
    return chosen
