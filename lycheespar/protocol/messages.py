"""Messages of the request path between two nodes.

The messages travel as msgpack arrays with an integer tag. Times are durations
in milliseconds, never instants, since nodes share no clock.
"""

from __future__ import annotations

import msgspec

from lycheespar.call import Headers, Load


class _Message(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    gc=False,
):
    """Base of all messages."""


class Hello(_Message, frozen=True, tag=1):
    """First message on a channel, from both sides.

    Attributes
    ----------
    node : str
        Identity of the sender.
    incarnation : int
        Grows with each start of the sender.
    revision : int
        Revision of the configuration in force at the sender.
    clock_ms : int
        Clock of the sender in milliseconds, from an origin of its own.
    """

    node: str
    incarnation: int
    revision: int
    clock_ms: int = 0


class Request(_Message, frozen=True, tag=2):
    """Asks the receiver to run a call at its own target.

    Attributes
    ----------
    budget_ms : float
        Time left until the call's deadline, in milliseconds.
    body : bytes
        Whole body, or nothing if `streamed`.
    streamed : bool
        Whether the body follows in chunks.
    echo_ms : int
        Newest clock of the receiver that the sender knows; bounds the age
        of the message without synchronised clocks.
    attach_only : bool
        Whether the receiver acknowledged this call before; it never starts
        such a call, only attaches to its execution.
    objective_ms : float
        Time left until the call's objective, in milliseconds; 0 for none.

    The other attributes are those of `lycheespar.call.Call`.
    """

    call_id: bytes
    service: str
    method: str
    path: str
    headers: Headers
    request_class: str
    weight: float
    idempotent: bool
    budget_ms: float
    idempotency_key: str
    fingerprint: bytes
    traceparent: str
    body: bytes
    streamed: bool
    echo_ms: int = 0
    attach_only: bool = False
    objective_ms: float = 0
    request_id: str = ''


class Accepted(_Message, frozen=True, tag=3):
    """Confirms at once that a request was received.

    Attributes
    ----------
    clock_ms : int
        Clock of the sender in milliseconds, from an origin of its own.
    """

    call_id: bytes
    clock_ms: int = 0


class Refused(_Message, frozen=True, tag=4):
    """The request did not run, or its outcome is unknown, as the code says."""

    call_id: bytes
    code: str
    detail: str
    retry_after_s: float
    load: Load


class ResponseHead(_Message, frozen=True, tag=5):
    """Head of an answer, with the whole body unless it is streamed."""

    call_id: bytes
    status: int
    headers: Headers
    load: Load
    body: bytes
    streamed: bool


class BodyChunk(_Message, frozen=True, tag=6):
    """Part of a streamed body, of a request or of an answer.

    Attributes
    ----------
    offset : int
        Bytes of the body that precede this part.
    """

    call_id: bytes
    offset: int
    payload: bytes


class BodyEnd(_Message, frozen=True, tag=7):
    """End of a streamed body.

    Attributes
    ----------
    length : int
        Bytes of the whole body.
    code : str
        Code of the error that cut the body, empty for a whole body.
    """

    call_id: bytes
    length: int
    code: str


class BodyCredit(_Message, frozen=True, tag=8):
    """Allows the sender of a streamed body so many bytes more."""

    call_id: bytes
    credit: int


class Cancel(_Message, frozen=True, tag=9):
    """The sender no longer wants the answer.

    Attributes
    ----------
    accepted : bool
        Whether the receiver acknowledged the call to the sender.
    """

    call_id: bytes
    accepted: bool = True


class CancelResult(_Message, frozen=True, tag=10):
    """What the cancellation found.

    Attributes
    ----------
    started : bool
        False only if the call did not start and never will.
    """

    call_id: bytes
    started: bool


class Ping(_Message, frozen=True, tag=11):
    """Asks for a `Pong`, to find silent channels."""

    serial: int


class Pong(_Message, frozen=True, tag=12):
    """Answers a `Ping`.

    Attributes
    ----------
    clock_ms : int
        Clock of the sender in milliseconds, from an origin of its own.
    """

    serial: int
    clock_ms: int = 0


class Recall(_Message, frozen=True, tag=13):
    """Asks for the outcome of an idempotency key, which starts nothing.

    The reply is a `ResponseHead` or a `Refused` with this call id.

    Attributes
    ----------
    key : bytes
        Digest of service and key.
    attempt : bytes
        Attempt that the receiver made; empty for any that it executed.
    """

    call_id: bytes
    key: bytes
    attempt: bytes


class AskLoad(_Message, frozen=True, tag=14):
    """Asks for the load of the receiver's target at this instant."""

    serial: int


class LoadReply(_Message, frozen=True, tag=15):
    """Answers an `AskLoad`, from memory."""

    serial: int
    load: Load


Message = (
    Recall
    | AskLoad
    | LoadReply
    | Hello
    | Request
    | Accepted
    | Refused
    | ResponseHead
    | BodyChunk
    | BodyEnd
    | BodyCredit
    | Cancel
    | CancelResult
    | Ping
    | Pong
)
