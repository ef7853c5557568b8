"""Announcements that a target sends to its node, and their leases."""

from __future__ import annotations

import asyncio
from typing import Literal

import msgspec
from msgspec.structs import replace
from reactivex import Observable
from reactivex.subject import BehaviorSubject

from lycheespar.decoding import Connections, Name, Seconds, Slots
from lycheespar.membership.records import Phase
from lycheespar.settings.options import (
    Address,
    InvalidOptionError,
    parse_address,
)


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/announce``.

    Attributes
    ----------
    target : str
        Name of the target.
    team, service : str
        Service that the target serves, and its team.
    address : str
        ``host:port`` of the target's HTTP server.
    slots : int
        Requests that the target can run at once.
    connections : int
        Connections that the target accepts at once.
    phase : str
        ``cold`` until it is warm, ``ready``, ``draining`` or ``leaving``.
    incarnation : str
        Identifies one start of the target; differs after each start.
    lease_s : float
        Time in seconds for which the announcement is valid.
    load_path : str
        Path of the target's load endpoint; empty if it has none.
    cold_s : float
        Time for which the target stays cold, in seconds.
    version : str
        Version of the target's software.
    """

    target: Name
    team: Name
    service: Name
    address: str
    slots: Slots = 8
    connections: Connections = 64
    phase: Literal['cold', 'ready', 'draining', 'leaving'] = 'ready'
    incarnation: Name = ''
    lease_s: Seconds = 5
    load_path: str = ''
    cold_s: Seconds = 0
    version: Name = ''

    @property
    def service_name(self) -> str:
        """``team/service``, or the service alone if it has no team."""
        if not self.team:
            return self.service
        return f'{self.team}/{self.service}'

    @property
    def start_key(self) -> tuple[str, str, str]:
        """Key that identifies one start of the target."""
        return (self.target, self.incarnation, self.address)

    @property
    def membership_phase(self) -> Phase:
        """Phase as it is gossiped between nodes."""
        return _PHASES[self.phase]


_PHASES = {
    'cold': Phase.cold,
    'ready': Phase.ready,
    'draining': Phase.draining,
    'leaving': Phase.left,
}
_ENDING = frozenset((Phase.draining, Phase.left))


def parse_target_address(text: str) -> Address:
    """Parse the address of a target, which has a port other than 0.

    Raises
    ------
    InvalidOptionError
        The text is not an IP address with a port.
    """
    address = parse_address(text)
    if not address.port:
        raise InvalidOptionError(f"'{text}' has no valid port")
    return address


class LocalTarget:
    """The target of this node, as long as its announcement is valid."""

    __slots__ = ('_draining', '_expiry', '_leaving_start', '_subject')

    def __init__(self) -> None:
        """Start without an announced target."""
        self._subject: BehaviorSubject[Announcement | None] = BehaviorSubject(
            None,
        )
        self._expiry: asyncio.TimerHandle | None = None
        self._draining = False
        self._leaving_start: tuple[str, str, str] | None = None

    @property
    def current(self) -> Announcement | None:
        """Current announcement; None if there is none or its lease expired."""
        return self._subject.value

    @property
    def changes(self) -> Observable[Announcement | None]:
        """Stream of changed announcements; None when the lease expires."""
        return self._subject

    def announce(self, announcement: Announcement) -> None:
        """Store an announcement and renew the lease.

        While the node drains, and for a target that has said that it leaves,
        any phase but ``leaving`` is replaced by ``draining``.
        """
        drains = self._draining or announcement.start_key == self._leaving_start
        if drains and announcement.membership_phase is not Phase.left:
            announcement = replace(announcement, phase='draining')
        if self._expiry is not None:
            self._expiry.cancel()
        loop = asyncio.get_running_loop()
        self._expiry = loop.call_later(announcement.lease_s, self._expire)
        if announcement != self.current:
            self._subject.on_next(announcement)

    def mark_draining(self) -> None:
        """Mark the target as draining, as its node is about to stop."""
        self._draining = True
        self._drain_current()

    def record_leaving_notice(self) -> None:
        """Mark the target as draining, as it said that it leaves.

        It stays so until it starts again or its lease expires.
        """
        if self.current is not None:
            self._leaving_start = self.current.start_key
            self._drain_current()

    def mark_leaving(self) -> None:
        """Mark the target as leaving, so that it gets no new calls."""
        current = self.current
        if current is not None and current.membership_phase is not Phase.left:
            self._subject.on_next(replace(current, phase='leaving'))

    def _drain_current(self) -> None:
        current = self.current
        if current is not None and current.membership_phase not in _ENDING:
            self._subject.on_next(replace(current, phase='draining'))

    def _expire(self) -> None:
        self._expiry = None
        self._leaving_start = None
        self._subject.on_next(None)
