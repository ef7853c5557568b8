"""Requests, answers and loads as the components exchange them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

Headers = tuple[tuple[str, str], ...]
Body = bytes | AsyncIterator[bytes]


class Load(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Load of one target, as measured by the node beside it.

    Attributes
    ----------
    running : int
        Requests in progress at the target.
    queued : int
        Requests in the queue of its node.
    limit : int
        Current limit of concurrent requests.
    latency_ms : float
        Smoothed latency of the target in milliseconds.
    failure_share : float
        Share of failures among the target's recent answers, 0 to 1.
    pace : float
        Current time that work takes on the target's host, as a multiple of
        the usual time; 1 if the target does not report it.
    waits : tuple[tuple[float, float], ...]
        While the target is full and refusals go by cost: for weight 0 and each
        weight of recent requests, the lightest first, the weight and the
        expected wait in milliseconds of a new request of this weight.
    deviation_ms : float
        Beside `waits`: deviation of recent latencies from their mean, in
        milliseconds.
    """

    running: int = 0
    queued: int = 0
    limit: int = 1
    latency_ms: float = 0
    failure_share: float = 0
    pace: float = 1
    waits: tuple[tuple[float, float], ...] = ()
    deviation_ms: float = 0


class Call(msgspec.Struct, gc=False):
    """One request from a caller.

    Attributes
    ----------
    call_id : bytes
        16 random bytes, the same in all retransmissions of one attempt.
    service : str
        Name of the service, as ``team/service``.
    method, path : str
        HTTP method, and path with query as the caller sent it.
    headers : Headers
        End-to-end headers.
    body : Body
        Complete body, or an iterator over its chunks.
    request_class : str
        Name of the request's class in the template.
    weight : float
        Weight of the class; requests with a higher weight have priority.
    idempotent : bool
        Whether the request may run more than once.
    deadline : float
        Deadline in seconds of the event loop's clock.
    idempotency_key : str
        Idempotency key given by the caller; empty if there is none.
    fingerprint : bytes
        Digest by which equal requests are recognized.
    traceparent : str
        W3C trace context; empty for requests that are not traced.
    request_id : str
        Id of the request in logs, the same in all its attempts.
    max_attempts : int
        Largest number of targets that are tried; 0 for the default.
    objective_at : float
        Latest instant of the event loop's clock, in seconds, at which an
        answer is fully useful; 0 if it is useful until the deadline.
    hedge_after_s : float
        Time in seconds without an answer after which an idempotent request
        also runs at another target; 0 for the service's value.
    team : str
        Team of the caller's key; empty if the request has none.
    started : bool
        Whether the request may have been sent to a target. It is set just
        before the request is sent.
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
    team: str = ''
    started: bool = False


class Answer(msgspec.Struct, gc=False):
    """Answer of a target.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : Headers
        End-to-end headers.
    body : Body
        Complete body, or an iterator over its chunks, which raises
        `OutcomeUnknownError` if the body ends early.
    load : Load
        Load of the target at the start of the answer.
    """

    status: int
    headers: Headers
    body: Body
    load: Load


class Dispatch(Protocol):
    """Selects where to run calls: the router, or a layer in front of it."""

    async def dispatch(self, call: Call) -> Answer:
        """Run the call at one of its service's targets.

        Raises
        ------
        RequestError
            No target returned an answer.
        """


class Execution(Protocol):
    """Runs calls at one place: the local target, or another node."""

    async def execute(self, call: Call) -> Answer:
        """Run the call.

        Raises
        ------
        RefusedError
            The call was definitely not run.
        OutcomeUnknownError
            The call may have run.
        """
