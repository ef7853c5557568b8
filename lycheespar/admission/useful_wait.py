"""How long a call may wait before it is of no use to its caller."""

from __future__ import annotations

from typing import Final

from lycheespar.call import Call

# Share of its remaining time for which a call that will miss its objective may
# wait.
LATE_CALL_WAIT_SHARE: Final = 0.25
# Least share of its slack for which a call may wait, however much the latencies
# of its class deviate from their mean.
MIN_SLACK_SHARE: Final = 0.25


def max_useful_wait_s(
    call: Call, now: float, recent_latency_s: float, deviation_s: float = 0
) -> float:
    """Return the longest wait in seconds that is still of use to a call.

    A longer wait would end in an answer after the call's objective, while
    another target or a retry by the caller may still meet it. A call that
    misses its objective anyway waits for a share of its remaining time only,
    so that a refusal comes early and not at the deadline.

    Parameters
    ----------
    call : Call
        The call.
    now : float
        Instant of the event loop's clock, in seconds.
    recent_latency_s : float
        Recent latency of calls of this class, in seconds.
    deviation_s : float
        Usual deviation of these latencies from their mean, in seconds, for
        which time is left; 0 if about half of the answers may be late.
    """
    if not call.objective_at:
        return call.deadline - now
    in_time_s = call.objective_at - now - recent_latency_s
    if in_time_s > 0:
        return max(in_time_s - deviation_s, in_time_s * MIN_SLACK_SHARE)
    return (call.deadline - now - recent_latency_s) * LATE_CALL_WAIT_SHARE
