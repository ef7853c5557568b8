"""Events that are logged, one structured line each.

An event says what was decided about a request, or what a process believes from
now on, with the inputs of the decision and their age or version. The classes
below are the schema; the reference page is made from them.
"""

from __future__ import annotations

import time
from typing import ClassVar, Final

import msgspec
from loguru import logger

# Lines a second of one kind of event on requests, and how many may come at
# once; events on beliefs are rare and always written.
LINES_A_S: Final = 20
BURST_LINES: Final = 60


class Event(msgspec.Struct, frozen=True, tag_field='event', tag=True):
    """Base of all events."""

    part: ClassVar[str] = 'app'
    bounded: ClassVar[bool] = False


class RequestEvent(Event, frozen=True):
    """Base of the events that touch one request.

    Attributes
    ----------
    request : str
        Id of the request, as its caller gave it or this system made it.
    """

    bounded: ClassVar[bool] = True

    request: str


class Refused(RequestEvent, frozen=True, tag='refused'):
    """A request ended without an answer of its target.

    Attributes
    ----------
    code : str
        Code of the error.
    status : int
        HTTP status told to the caller.
    outcome : str
        Whether it is known not to have run.
    detail : str
        Short sentence.
    retry_after_s : float
        When the caller may come back, in seconds.
    revision : int
        Revision of the configuration in force here.
    age_s : float
        Age in seconds of the last proof that the revision was current.
    """

    part: ClassVar[str] = 'ingress'

    code: str
    status: int
    outcome: str
    detail: str
    retry_after_s: float
    revision: int
    age_s: float


class Answered(RequestEvent, frozen=True, tag='answered'):
    """A request was answered by a target.

    Attributes
    ----------
    route : str
        Route or class that it was matched to.
    service : str
        Service that the route led to.
    status : int
        HTTP status.
    revision : int
        Revision of the configuration in force here.
    """

    part: ClassVar[str] = 'ingress'

    route: str
    service: str
    status: int
    revision: int


class AnswerCut(RequestEvent, frozen=True, tag='answer_cut'):
    """An answer broke off behind its head; the caller's connection was reset.

    Attributes
    ----------
    code : str
        Code of the error.
    """

    part: ClassVar[str] = 'ingress'

    code: str


class AttemptFailed(RequestEvent, frozen=True, tag='attempt_failed'):
    """One attempt of a request gave no answer, or a failed one.

    Attributes
    ----------
    node : str
        Node whose target was asked.
    code : str
        Code of the error, or the status of the answer.
    running, queued, limit : int
        Load of the target when it was chosen, as known here.
    load_age_ms : float
        Age of that load in milliseconds; negative if none was known.
    again : bool
        Whether another attempt follows.
    """

    part: ClassVar[str] = 'routing'

    node: str
    code: str
    running: int
    queued: int
    limit: int
    load_age_ms: float
    again: bool


class Hedged(RequestEvent, frozen=True, tag='hedged'):
    """A request that took long was sent to a second target as well.

    Attributes
    ----------
    node : str
        Node of the second target.
    after_ms : float
        Time without an answer, in milliseconds.
    """

    part: ClassVar[str] = 'routing'

    node: str
    after_ms: float


class AnswerRejected(RequestEvent, frozen=True, tag='answer_rejected'):
    """What came from the target is no answer to the request.

    Attributes
    ----------
    target : str
        Identity of the target.
    reason : str
        Short sentence.
    """

    part: ClassVar[str] = 'targets'

    target: str
    reason: str


class TargetChanged(Event, frozen=True, tag='target_changed'):
    """The own target announced itself in another phase.

    Attributes
    ----------
    target, service : str
        Identity and service.
    phase : str
        Phase as announced.
    slots : int
        Requests that it bears at once.
    cold_s : float
        Time for which it stays cold, in seconds.
    """

    part: ClassVar[str] = 'admission'

    target: str
    service: str
    phase: str
    slots: int
    cold_s: float


class TargetSilent(Event, frozen=True, tag='target_silent'):
    """The lease of the own target has run out."""

    part: ClassVar[str] = 'admission'

    target: str


class MemberChanged(Event, frozen=True, tag='member_changed'):
    """What is held of another member has changed.

    Attributes
    ----------
    node : str
        Identity of the member.
    liveness : str
        Verdict of the failure detector.
    phase : str
        Phase of its target.
    incarnation, version : int
        Record that says so.
    """

    part: ClassVar[str] = 'membership'

    node: str
    liveness: str
    phase: str
    incarnation: int
    version: int


class ConfigurationTaken(Event, frozen=True, tag='configuration_taken'):
    """A configuration is in force at this node.

    Attributes
    ----------
    revision : int
        Its revision.
    label : int
        Label of its plan of routes.
    out : tuple[str, ...]
        Data centres that are taken out.
    """

    part: ClassVar[str] = 'configuration'

    revision: int
    label: int
    out: tuple[str, ...]


class OrderEnded(Event, frozen=True, tag='order_ended'):
    """An operator's order was answered.

    Attributes
    ----------
    order : str
        Name of the call.
    status : int
        HTTP status told to the operator.
    detail : str
        Short sentence.
    revision : int
        Revision that it made; 0 for none.
    """

    part: ClassVar[str] = 'control'

    order: str
    status: int
    detail: str
    revision: int


class _Allowance:
    """Token bucket of lines for one kind of event."""

    __slots__ = ('_at', '_left', 'dropped')

    def __init__(self, now: float) -> None:
        self._at = now
        self._left = float(BURST_LINES)
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Whether a line may be written; count it if not."""
        self._left = min(
            self._left + (now - self._at) * LINES_A_S,
            BURST_LINES,
        )
        self._at = now
        if self._left < 1:
            self.dropped += 1
            return False
        self._left -= 1
        return True


class EventLog:
    """Writes events, within a bound for those on requests.

    The first line that is written again says how many were dropped before.
    """

    __slots__ = ('_allowances', 'dropped')

    def __init__(self) -> None:
        """Start without lines."""
        self._allowances: dict[str, _Allowance] = {}
        self.dropped = 0

    def write(self, event: Event) -> None:
        """Write an event, unless there are too many of its kind."""
        fields = msgspec.to_builtins(event)
        if event.bounded:
            now = time.monotonic()
            kind = fields['event']
            allowance = self._allowances.get(kind)
            if allowance is None:
                allowance = _Allowance(now)
                self._allowances[kind] = allowance
            if not allowance.take(now):
                self.dropped += 1
                return
            if allowance.dropped:
                fields['dropped_before'] = allowance.dropped
                allowance.dropped = 0
        logger.bind(part=event.part, fields=fields).info('')


events = EventLog()
