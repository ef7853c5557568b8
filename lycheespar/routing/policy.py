"""Which failures allow another attempt, and what it costs."""

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

# Attempts of one call, hedges included.
MAX_ATTEMPTS: Final = 3
# Refusals of nodes, which reach no target, after which a call is given up.
MAX_REFUSALS: Final = 3
# Attempts of a call that broke its connection to the target.
MAX_LOST: Final = 2
# Failures after which no other attempt helps.
_FINAL: Final = (
    DeadlineExceededError,
    InternalRequestError,
    MisdirectedError,
    StillRunningError,
    TargetRefusedError,
)
# Statuses after which an idempotent call may succeed at another target.
FAILED_STATUSES: Final = frozenset((500, 502, 503, 504))
# Costs of another attempt in tokens of the retry budget: after one that reached
# the target, after a node's refusal for load, and after one that says that the
# target is away.
RUN_COST: Final = 1
LOAD_REFUSAL_COST: Final = 0.5
AWAY_REFUSAL_COST: Final = 0.1


def retry_cost(call: Call, error: RequestError, lost: int) -> float | None:
    """Return what another attempt costs, nothing if there must be none.

    Parameters
    ----------
    call : Call
        The call.
    error : RequestError
        How its latest attempt ended.
    lost : int
        Attempts of the call that broke their connection to the target.
    """
    if not may_resend(call):
        return None
    match error:
        case TargetRefusedError() | MisdirectedError():
            return RUN_COST
        case OverloadedError() | ColdTargetError():
            return LOAD_REFUSAL_COST
        case RefusedError() if error.retryable:
            return AWAY_REFUSAL_COST
        case OutcomeUnknownError() if call.idempotent and lost < MAX_LOST:
            return None if isinstance(error, _FINAL) else RUN_COST
        case _:
            return None


def may_resend(call: Call) -> bool:
    """Whether the body of a call can be sent once more."""
    return isinstance(call.body, bytes) or not getattr(
        call.body,
        'begun',
        True,
    )


def may_repeat(call: Call, answer: Answer) -> bool:
    """Whether a failed answer may be replaced by another target's."""
    return (
        answer.status in FAILED_STATUSES
        and call.idempotent
        and may_resend(call)
        and isinstance(answer.body, bytes)
    )


def worse(known: RequestError | None, error: RequestError) -> RequestError:
    """Return the failure to report: one that may have run goes first.

    It carries the shortest time after which a target may take the call.
    """
    if known is None:
        return error
    chosen = known if isinstance(known, OutcomeUnknownError) else error
    chosen.retry_after_s = min(known.retry_after_s, error.retry_after_s)
    return chosen
