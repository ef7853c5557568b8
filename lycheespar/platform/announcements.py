"""Announcements of the target beside a node, as the platform sends them."""

from __future__ import annotations

import time
from typing import Final, Literal

import msgspec
from aiohttp import web
from loguru import logger

from lycheespar.config.options import Address, parse_address
from lycheespar.platform.calls import is_call, reply
from lycheespar.platform.durations import MS_PER_S, parse_s
from lycheespar.targets.announcement import Announcement, LocalTarget

# Announcements that may be missed before a target counts as gone.
MISSED_HEARTBEATS: Final = 4
# Connections kept beyond the slots, for probes and replaced ones.
SPARE_CONNECTIONS: Final = 8

log = logger.bind(part='platform')


class _Info(msgspec.Struct):
    """What does not change while a target runs."""

    service: str
    slots: int
    zone: str = ''
    version: str = ''


class _Status(msgspec.Struct):
    """What a target says of this moment.

    Attributes
    ----------
    cold_remaining : str
        Time for which it stays cold.
    """

    state: Literal['ready', 'draining']
    sequence: int
    cold_remaining: str = '0ms'


class _Heartbeat(msgspec.Struct):
    """Body of a heartbeat.

    Attributes
    ----------
    born : int
        Unix millisecond of the target's start; 0 where it is not told.
    """

    address: str
    info: _Info
    status: _Status
    born: int = 0


_decoder = msgspec.json.Decoder(_Heartbeat)


class _Departure(msgspec.Struct):
    """Body of a deregistration, which may be empty.

    Attributes
    ----------
    born : int
        Unix millisecond of the target's start; 0 where it is not told.
    """

    born: int = 0


_departures = msgspec.json.Decoder(_Departure)


class _Known(msgspec.Struct):
    """Newest start of one target, and its newest announcement.

    Attributes
    ----------
    born : int
        Unix millisecond of the start, or of the departure where a target
        that was not known before left without telling its start.
    sequence : int
        Number of the newest heartbeat.
    left : bool
        Whether the target takes no new work any more.
    """

    born: int
    sequence: int
    left: bool = False

    def is_past(self, born: int, sequence: int) -> bool:
        """Whether an announcement was overtaken by what is known."""
        if self.left:
            return born <= self.born
        return self.born == born and sequence <= self.sequence


class HeartbeatServer:
    """Takes the heartbeats of the target on this machine.

    A heartbeat that is older than one taken before, or of an earlier start,
    changes nothing: it is acknowledged, so that its sender goes on.

    Parameters
    ----------
    target : LocalTarget
        Told of each announcement.
    own_service : str
        Service that the platform says runs here; others are not taken.
    interval_s : float
        Time between two heartbeats in seconds.
    """

    def __init__(
        self,
        target: LocalTarget,
        own_service: str,
        interval_s: float,
    ) -> None:
        """Keep the target; `start` opens the port."""
        self._target = target
        self._own_service = own_service
        self._lease_s = interval_s * MISSED_HEARTBEATS
        self._known: dict[str, _Known] = {}
        self._newest_born = 0
        self._runner = web.ServerRunner(web.Server(self._handle))

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.host, address.port)
        await site.start()

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if not is_call(request):
            return reply(404, 'there is no such call')
        target = request.query.get('of', '')
        body = await request.read()
        match request.query.get('call'):
            case 'instances.heartbeat':
                return self._take(target, body)
            case 'instances.deregister':
                return self._leave(target, body)
            case _:
                return reply(404, 'there is no such call')

    def _take(self, target: str, body: bytes) -> web.Response:
        try:
            heartbeat = _decoder.decode(body)
            announced = self._announcement(target, heartbeat)
        except ValueError as error:
            log.warning("A heartbeat of '{}' is invalid: {}.", target, error)
            return reply(400, str(error))
        if self._is_news(target, heartbeat.born, heartbeat.status.sequence):
            self._target.announce(announced)
        else:
            log.info("A heartbeat of '{}' comes late.", target)
        return reply(200)

    def _announcement(
        self,
        target: str,
        heartbeat: _Heartbeat,
    ) -> Announcement:
        """Return what a heartbeat announces.

        Raises
        ------
        ValueError
            It names no target of this machine.
        """
        info, status = heartbeat.info, heartbeat.status
        if not target or info.slots < 1:
            raise ValueError('names no target')
        if self._own_service and info.service != self._own_service:
            raise ValueError(f"'{info.service}' does not run here")
        parse_address(heartbeat.address)
        cold_s = parse_s(status.cold_remaining)
        return Announcement(
            target=target,
            team='',
            service=info.service,
            address=heartbeat.address,
            slots=info.slots,
            connections=info.slots + SPARE_CONNECTIONS,
            phase='cold'
            if status.state == 'ready' and cold_s
            else status.state,
            incarnation=str(heartbeat.born),
            lease_s=self._lease_s,
            cold_s=cold_s,
        )

    def _is_news(self, target: str, born: int, sequence: int) -> bool:
        """Whether an announcement is newer than all taken before."""
        if self._target.current is None:
            # Nothing holds any more; the target's clock may have gone back.
            self._newest_born = 0
        if born < self._newest_born:
            return False
        known = self._known.get(target)
        if known is not None and known.is_past(born, sequence):
            return False
        self._newest_born = born
        self._known[target] = _Known(born, sequence)
        return True

    def _leave(self, target: str, body: bytes) -> web.Response:
        """Take that a target takes no new work from now on.

        This holds also for one that was not known, as this process may have
        just started: a heartbeat that comes late must not bring it back.
        """
        known = self._known.get(target)
        born = max(_born(body), known.born if known else 0)
        self._known[target] = _Known(born or _now_ms(), 0, left=True)
        current = self._target.current
        if current is not None and current.target == target:
            self._target.leave()
        log.info("Target '{}' leaves.", target)
        return reply(200)


def _born(body: bytes) -> int:
    """Return the start that a deregistration tells, 0 for none."""
    try:
        return _departures.decode(body).born if body else 0
    except msgspec.DecodeError as error:
        log.warning('The body of a deregistration is invalid: {}.', error)
        return 0


def _now_ms() -> int:
    return int(time.time() * MS_PER_S)
