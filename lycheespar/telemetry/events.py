"""Structured events, each logged as one line.

An event reports a decision about a request or a change of what the process
knows, together with the inputs of the decision and their age or version. The
classes below are the schema of the events. The reference page is generated
from them; it contains the first line of each docstring.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec


class Event(msgspec.Struct, frozen=True, tag_field='event', tag=True):
    """Base class of all events.

    Attributes
    ----------
    part : str
        Part of the process that reports the event, as in log lines.
    rate_limited : bool
        Whether events are dropped if there are too many of their kind.
    """

    part: ClassVar[str] = 'app'
    rate_limited: ClassVar[bool] = False


class RequestEvent(Event, frozen=True):
    """Base class of the events about one request.

    Attributes
    ----------
    request : str
        Id of the request, from its caller or generated at the ingress.
    """

    rate_limited: ClassVar[bool] = True

    request: str


class RequestFailed(RequestEvent, frozen=True, tag='refused'):
    """A request ended without an answer from a target.

    Attributes
    ----------
    code : str
        Code of the error.
    status : int
        HTTP status sent to the caller.
    outcome : str
        Whether the request may have run: ``not_run`` or ``unknown``.
    detail : str
        Short description of the error.
    retry_after_s : float
        Time in seconds after which the caller may retry.
    revision : int
        Revision of the configuration in force at this node.
    age_s : float
        Time in seconds since the revision was last confirmed as current.
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
    """A target answered a request.

    Attributes
    ----------
    route : str
        Route or request class that the request matched.
    service : str
        Service to which the request was sent.
    status : int
        HTTP status of the answer.
    revision : int
        Revision of the configuration in force at this node.
    """

    part: ClassVar[str] = 'ingress'

    route: str
    service: str
    status: int
    revision: int


class AnswerTruncated(RequestEvent, frozen=True, tag='answer_cut'):
    """An answer broke off after its head; the caller's connection was reset.

    Attributes
    ----------
    code : str
        Code of the error that ended the answer.
    """

    part: ClassVar[str] = 'ingress'

    code: str


class AttemptFailed(RequestEvent, frozen=True, tag='attempt_failed'):
    """One attempt of a request got no answer or an error answer.

    Attributes
    ----------
    node : str
        Node whose target was chosen.
    code : str
        Code of the error, or HTTP status of the answer.
    running, queued, limit : int
        Running requests, queued requests and concurrency limit of the target,
        as known at this node when the target was chosen.
    load_age_ms : float
        Age of these load values in milliseconds; -1 if none were known.
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


class NoRoom(RequestEvent, frozen=True, tag='no_room'):
    """A request was refused unsent: it would wait too long at all targets.

    Attributes
    ----------
    targets : int
        Number of targets that report that they are full.
    wait_ms : float
        Shortest expected wait at these targets, in milliseconds.
    oldest_ms : float
        Age of the oldest of their load reports, in milliseconds.
    """

    part: ClassVar[str] = 'routing'

    targets: int
    wait_ms: float
    oldest_ms: float


class Hedged(RequestEvent, frozen=True, tag='hedged'):
    """A slow request was also sent to a second target.

    Attributes
    ----------
    node : str
        Node of the second target.
    after_ms : float
        Time in milliseconds without an answer from the first target.
    """

    part: ClassVar[str] = 'routing'

    node: str
    after_ms: float


class AnswerRejected(RequestEvent, frozen=True, tag='answer_rejected'):
    """The target's answer was invalid or belonged to another request.

    Attributes
    ----------
    target : str
        Identity of the target, or the node that passed the answer on.
    reason : str
        Short description of the fault.
    """

    part: ClassVar[str] = 'targets'

    target: str
    reason: str


class TargetChanged(Event, frozen=True, tag='target_changed'):
    """This node's target started or announced a new phase.

    Attributes
    ----------
    target, service : str
        Identity and service of the target.
    phase : str
        Announced phase.
    slots : int
        Maximum number of concurrent requests.
    cold_s : float
        Remaining time of the cold start in seconds.
    """

    part: ClassVar[str] = 'admission'

    target: str
    service: str
    phase: str
    slots: int
    cold_s: float


class TargetLimitChanged(Event, frozen=True, tag='target_limit'):
    """This node's target named another limit on its calls, or none any more.

    Attributes
    ----------
    target : str
        Identity of the target.
    calls_per_s : float | None
        Calls per second that are sent to it from now on; None for no limit.
    """

    part: ClassVar[str] = 'admission'
    rate_limited: ClassVar[bool] = True

    target: str
    calls_per_s: float | None


class TargetLeaving(Event, frozen=True, tag='target_leaving'):
    """This node's target said in an answer that it leaves.

    Attributes
    ----------
    target : str
        Identity of the target.
    phase : str
        Phase that it has announced.
    """

    part: ClassVar[str] = 'admission'
    rate_limited: ClassVar[bool] = True

    target: str
    phase: str


class HeaderIgnored(Event, frozen=True, tag='header_ignored'):
    """A header of the target's answer could not be read.

    Attributes
    ----------
    target : str
        Identity of the target.
    header, value : str
        The header.
    """

    part: ClassVar[str] = 'targets'
    rate_limited: ClassVar[bool] = True

    target: str
    header: str
    value: str


class TargetLeaseExpired(Event, frozen=True, tag='target_silent'):
    """The lease of this node's target expired; no target is known now.

    Attributes
    ----------
    target : str
        Identity of the target; empty at the start of the node.
    """

    part: ClassVar[str] = 'admission'

    target: str


class BroadcastDropped(Event, frozen=True, tag='broadcast_dropped'):
    """A broadcast was not added to the table, or was evicted from it.

    Attributes
    ----------
    topic : str
        Kind of the broadcast.
    reason : str
        ``full``, ``evicted``, ``expired`` or ``too large``.
    known : int
        Number of broadcasts in the table.
    """

    part: ClassVar[str] = 'membership'
    rate_limited: ClassVar[bool] = True

    topic: str
    reason: str
    known: int


class TableReceived(Event, frozen=True, tag='table_received'):
    """Another member's table had records that were new to this node.

    Attributes
    ----------
    source : str
        Identity of the other member.
    new_records : int
        Number of new records.
    known_members : int
        Number of known members afterwards.
    """

    part: ClassVar[str] = 'membership'

    source: str
    new_records: int
    known_members: int


class MemberChanged(Event, frozen=True, tag='member_changed'):
    """The known liveness or target phase of a member changed.

    Attributes
    ----------
    node : str
        Identity of the member.
    liveness : str
        Verdict of the failure detector.
    phase : str
        Phase of the member's target.
    incarnation, version : int
        Incarnation and version of the member's record.
    """

    part: ClassVar[str] = 'membership'

    node: str
    liveness: str
    phase: str
    incarnation: int
    version: int


class ConfigurationApplied(Event, frozen=True, tag='configuration_taken'):
    """A new configuration took effect at this node.

    Attributes
    ----------
    revision : int
        Revision of the configuration.
    label : int
        Label of its route plan.
    out : tuple[str, ...]
        Data centres that are taken out.
    """

    part: ClassVar[str] = 'configuration'

    revision: int
    label: int
    out: tuple[str, ...]


class OperatorCallEnded(Event, frozen=True, tag='order_ended'):
    """An operator's API call succeeded or failed.

    Attributes
    ----------
    order : str
        Name of the call.
    status : int
        HTTP status sent to the operator.
    detail : str
        Short description of the error; empty on success.
    revision : int
        Revision created by the call; 0 if there is none.
    """

    part: ClassVar[str] = 'control'

    order: str
    status: int
    detail: str
    revision: int
