"""What a target tells its node, and the lease under which it holds."""

from __future__ import annotations

import asyncio
from typing import Literal

import msgspec
from msgspec.structs import replace
from reactivex import Observable
from reactivex.subject import BehaviorSubject

from lycheespar.membership.records import Phase


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/announce``.

    Attributes
    ----------
    target : str
        Identity of the target.
    team, service : str
        What the target serves.
    address : str
        ``host:port`` of the target's HTTP server.
    slots : int
        Requests that the target bears at once.
    connections : int
        Connections that the target bears at once.
    phase : str
        ``cold`` until it is warm, ``ready``, ``draining`` or ``leaving``.
    incarnation : str
        Differs after each start of the target.
    lease_s : float
        Time in seconds for which the announcement holds.
    load_path : str
        Path of its load endpoint, empty without one.
    cold_s : float
        Time for which the target stays cold, in seconds.
    """

    target: str
    team: str
    service: str
    address: str
    slots: int = 8
    connections: int = 64
    phase: Literal['cold', 'ready', 'draining', 'leaving'] = 'ready'
    incarnation: str = ''
    lease_s: float = 5
    load_path: str = ''
    cold_s: float = 0

    @property
    def service_name(self) -> str:
        """``team/service``, or the service alone where it has no team."""
        if not self.team:
            return self.service
        return f'{self.team}/{self.service}'

    @property
    def start(self) -> tuple[str, str, str]:
        """What differs between two starts of a target."""
        return (self.target, self.incarnation, self.address)

    @property
    def state(self) -> Phase:
        """Phase as the nodes tell each other."""
        return _PHASES[self.phase]


_PHASES = {
    'cold': Phase.cold,
    'ready': Phase.ready,
    'draining': Phase.draining,
    'leaving': Phase.left,
}


class LocalTarget:
    """The target of this node, as far as its announcements hold."""

    __slots__ = ('_draining', '_expiry', '_subject')

    def __init__(self) -> None:
        """Start without a target."""
        self._subject: BehaviorSubject[Announcement | None] = BehaviorSubject(
            None,
        )
        self._expiry: asyncio.TimerHandle | None = None
        self._draining = False

    @property
    def current(self) -> Announcement | None:
        """Newest announcement that holds."""
        return self._subject.value

    @property
    def changes(self) -> Observable[Announcement | None]:
        """Stream of announcements; nothing when the lease has run out."""
        return self._subject

    def announce(self, announcement: Announcement) -> None:
        """Take an announcement and renew the lease.

        While the node drains, the target counts as draining at least.
        """
        if self._draining and announcement.state is not Phase.left:
            announcement = replace(announcement, phase='draining')
        if self._expiry is not None:
            self._expiry.cancel()
        loop = asyncio.get_running_loop()
        self._expiry = loop.call_later(announcement.lease_s, self._expire)
        if announcement != self.current:
            self._subject.on_next(announcement)

    def drain(self) -> None:
        """Mark the target as draining, for a stop of its node."""
        self._draining = True
        current = self.current
        if current is not None and current.state is not Phase.left:
            self._subject.on_next(replace(current, phase='draining'))

    def leave(self) -> None:
        """Mark the target as leaving: it takes no new work."""
        current = self.current
        if current is not None and current.state is not Phase.left:
            self._subject.on_next(replace(current, phase='leaving'))

    def _expire(self) -> None:
        self._expiry = None
        self._subject.on_next(None)
