"""Messages that forward calls between two nodes.

Messages are encoded as msgpack arrays with an integer tag. Deadlines are sent
as durations in milliseconds, never as instants, since the clocks of nodes are
not synchronised. A `clock_ms` is only ever compared with the clock of the node
that sent it.
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
    """Base class of all messages."""


class Hello(_Message, frozen=True, tag=1):
    """First message on a channel, sent by both ends.

    Attributes
    ----------
    node : str
        Name of the sending node.
    incarnation : int
        Number that grows with each start of the sender.
    revision : int
        Revision of the configuration in force at the sender.
    clock_ms : int
        Monotonic clock of the sender in milliseconds, with any origin.
    """

    node: str
    incarnation: int
    revision: int
    clock_ms: int = 0


class Request(_Message, frozen=True, tag=2):
    """Asks the receiver to run a call at its local target.

    Attributes
    ----------
    budget_ms : float
        Time left until the call's deadline, in milliseconds.
    body : bytes
        Complete body, or empty if `streamed`.
    streamed : bool
        Whether the body follows in chunks.
    echoed_clock_ms : int
        Newest clock value that the sender has from the receiver. The
        receiver derives from it how old the message can be.
    attach_only : bool
        Whether the receiver has acknowledged this call before. It then only
        attaches the sender to the existing execution and starts none.
    objective_ms : float
        Time left until the call's objective, in milliseconds; 0 for none.

    The other attributes are described at `lycheespar.call.Call`.
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
    echoed_clock_ms: int = 0
    attach_only: bool = False
    objective_ms: float = 0
    request_id: str = ''


class Accepted(_Message, frozen=True, tag=3):
    """Acknowledges the receipt of a request, before the call is run.

    Attributes
    ----------
    clock_ms : int
        Monotonic clock of the sender in milliseconds, with any origin.
    """

    call_id: bytes
    clock_ms: int = 0


class Refused(_Message, frozen=True, tag=4):
    """Ends a call with an error, whose code tells if the call may have run."""

    call_id: bytes
    code: str
    detail: str
    retry_after_s: float
    load: Load


class AnswerHead(_Message, frozen=True, tag=5):
    """Head of an answer, with the complete body unless it is streamed."""

    call_id: bytes
    status: int
    headers: Headers
    load: Load
    body: bytes
    streamed: bool


class BodyChunk(_Message, frozen=True, tag=6):
    """Chunk of the streamed body of a request or an answer.

    Attributes
    ----------
    offset : int
        Number of bytes of the body that precede this chunk.
    """

    call_id: bytes
    offset: int
    payload: bytes


class BodyEnd(_Message, frozen=True, tag=7):
    """End of a streamed body.

    Attributes
    ----------
    length : int
        Number of bytes that were sent.
    code : str
        Code of the error that aborted the body; empty if it is complete.
    """

    call_id: bytes
    length: int
    code: str


class BodyCredit(_Message, frozen=True, tag=8):
    """Grants the sender of a streamed body that many further bytes."""

    call_id: bytes
    credit: int


class Cancel(_Message, frozen=True, tag=9):
    """Cancels a call.

    Attributes
    ----------
    accepted : bool
        Whether the receiver's acknowledgement of the call has arrived.
    unless_started : bool
        Whether a call that has started runs on.
    """

    call_id: bytes
    accepted: bool = True
    unless_started: bool = False


class CancelResult(_Message, frozen=True, tag=10):
    """Result of a cancellation.

    Attributes
    ----------
    started : bool
        False only if the call did not start and never will.
    """

    call_id: bytes
    started: bool


class Ping(_Message, frozen=True, tag=11):
    """Asks for a `Pong`, to detect channels that have gone silent."""

    serial: int


class Pong(_Message, frozen=True, tag=12):
    """Answers a `Ping`.

    Attributes
    ----------
    clock_ms : int
        Monotonic clock of the sender in milliseconds, with any origin.
    """

    serial: int
    clock_ms: int = 0


class OutcomeQuery(_Message, frozen=True, tag=13):
    """Asks for the outcome of an idempotency key; starts no call.

    The reply is an `AnswerHead` or a `Refused` with this call id.

    Attributes
    ----------
    key : bytes
        Digest of the service and the idempotency key.
    attempt : bytes
        Id of the attempt that the receiver made; empty for any attempt that
        it executed.
    """

    call_id: bytes
    key: bytes
    attempt: bytes


class LoadRequest(_Message, frozen=True, tag=14):
    """Asks for the current load of the receiver's target."""

    serial: int


class LoadReply(_Message, frozen=True, tag=15):
    """Answers a `LoadRequest` without asking the target."""

    serial: int
    load: Load


class QuotaRequest(_Message, frozen=True, tag=16):
    """Asks the owner of a team's quota for one call."""

    serial: int
    team: str


class QuotaReply(_Message, frozen=True, tag=17):
    """Answers a `QuotaRequest`.

    Attributes
    ----------
    wait_s : float
        0 if the call is granted; else the time in seconds until a call may be
        granted, negative if the receiver does not own the quota.
    run_share : float
        Share of the team's recently granted calls that were run, 0 to 1.
    """

    serial: int
    wait_s: float
    run_share: float = 1.0


class QuotaReturn(_Message, frozen=True, tag=18):
    """Returns a call that was granted, but did not run."""

    team: str


Message = (
    OutcomeQuery
    | LoadRequest
    | LoadReply
    | Hello
    | Request
    | Accepted
    | Refused
    | AnswerHead
    | BodyChunk
    | BodyEnd
    | BodyCredit
    | Cancel
    | CancelResult
    | Ping
    | Pong
    | QuotaRequest
    | QuotaReply
    | QuotaReturn
)
