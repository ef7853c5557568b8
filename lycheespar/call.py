"""A caller's request and its answer, as the parts hand them on."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

Headers = tuple[tuple[str, str], ...]
Body = bytes | AsyncIterator[bytes]


class Load(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Load of one target, as its own node sees it.

    Attributes
    ----------
    running : int
        Requests that run at the target.
    queued : int
        Requests that wait at its node.
    limit : int
        Requests that may run at once now.
    latency_ms : float
        Smoothed latency of the target in milliseconds.
    failure_share : float
        Share of the target's last answers that were failures, 0 to 1.
    pace : float
        How long work takes on the target's host at this instant, as a
        multiple of the usual; 1 where it is not told.
    """

    running: int = 0
    queued: int = 0
    limit: int = 1
    latency_ms: float = 0
    failure_share: float = 0
    pace: float = 1


class Call(msgspec.Struct, gc=False):
    """One request of a caller.

    Attributes
    ----------
    call_id : bytes
        16 random bytes; the same in all retransmissions of one attempt.
    service : str
        Service as ``team/service``.
    method, path : str
        HTTP method, and path with query as the caller sent it.
    headers : Headers
        End-to-end headers.
    body : Body
        Whole body, or an iterator of its chunks.
    request_class : str
        Name of the request's class in the template.
    weight : float
        Weight of the class; a higher one goes first.
    idempotent : bool
        Whether the request may run more than once.
    deadline : float
        Instant of the event loop's clock, in seconds, when time is up.
    idempotency_key : str
        Key given by the caller, empty where there is none.
    fingerprint : bytes
        Digest that is equal for requests that are alike.
    traceparent : str
        W3C trace context, empty for requests that are not traced.
    request_id : str
        Id of the request for logs, the same in all its attempts.
    max_attempts : int
        Targets to which the request may be sent; 0 for the usual number.
    objective_at : float
        Instant of the event loop's clock, in seconds, until which an answer
        is of full use; 0 where it is of use until the deadline.
    hedge_after_s : float
        Time in seconds without an answer after which an idempotent request is
        run elsewhere too; 0 for what the service says.
    started : bool
        Whether the request may have been sent to a target; set just before.
    """

    call_id: bytes
    service: str
    method: str
    path: str
    headers: Headers
    body: Body
    request_class: str
    weight: float
    idempotent: bool
    deadline: float
    idempotency_key: str = ''
    fingerprint: bytes = b''
    traceparent: str = ''
    request_id: str = ''
    max_attempts: int = 0
    objective_at: float = 0
    hedge_after_s: float = 0
    started: bool = False


class Answer(msgspec.Struct, gc=False):
    """The answer of a target.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : Headers
        End-to-end headers.
    body : Body
        Whole body, or an iterator of its chunks, which raises
        `OutcomeUnknownError` if the body ends early.
    load : Load
        Load of the target when the answer began.
    """

    status: int
    headers: Headers
    body: Body
    load: Load


class Dispatch(Protocol):
    """Runs calls somewhere: the router, or a part in front of it."""

    async def dispatch(self, call: Call) -> Answer:
        """Run the call at one of its service's targets.

        Raises
        ------
        RequestError
            No target gave an answer.
        """


class Execution(Protocol):
    """Runs calls: the local target, or another node by its channel."""

    async def execute(self, call: Call) -> Answer:
        """Run the call.

        Raises
        ------
        RefusedError
            The call was definitely not run.
        OutcomeUnknownError
            The call may have run.
        """
