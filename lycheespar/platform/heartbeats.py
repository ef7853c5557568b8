"""Receives the platform's heartbeats of the target beside a node."""

from __future__ import annotations

import time
from typing import Final, Literal

import msgspec
from aiohttp import web
from loguru import logger

from lycheespar.bodies import BodyReader
from lycheespar.decoding import (
    MAX_NAME_LENGTH,
    Integer,
    Name,
    Slots,
    decode,
)
from lycheespar.errors import BodyTooLargeError
from lycheespar.http_limits.limits import port_limits
from lycheespar.http_limits.server import BoundedServer
from lycheespar.platform.formats import MS_PER_S, parse_s
from lycheespar.platform.rpc import is_rpc_call, rpc_response
from lycheespar.settings.options import Address
from lycheespar.targets.announcement import (
    Announcement,
    LocalTarget,
    parse_target_address,
)

# Heartbeat intervals without a heartbeat after which a target counts as gone.
LEASE_HEARTBEATS: Final = 4
# Connections to the target beyond its slots, for probes and for connections
# that are being replaced.
SPARE_CONNECTIONS: Final = 8
# Targets whose last report is remembered; the one reported least recently is
# forgotten first.
MAX_LAST_REPORTS: Final = 256
# Largest body of a heartbeat, and all bodies that are being received, in bytes.
MAX_BODY_BYTES: Final = 1024 * 1024
SHARED_BODY_BYTES: Final = 4 * 1024 * 1024

log = logger.bind(part='platform')


class _TargetInfo(msgspec.Struct):
    """Part of a heartbeat that stays the same while a target runs."""

    service: Name
    slots: Slots
    data_centre: Name = msgspec.field(default='', name='zone')
    version: Name = ''


class _TargetStatus(msgspec.Struct):
    """Part of a heartbeat with the present state of a target.

    Attributes
    ----------
    sequence : int
        Number of the heartbeat, which grows with each.
    cold_remaining : str
        Duration for which the target stays cold.
    """

    state: Literal['ready', 'draining']
    sequence: Integer
    cold_remaining: str = '0ms'


class _Heartbeat(msgspec.Struct):
    """Body of a heartbeat.

    Attributes
    ----------
    started_at_ms : int
        Unix time of the target's start in milliseconds; 0 if not given.
    """

    address: str
    info: _TargetInfo
    status: _TargetStatus
    started_at_ms: Integer = msgspec.field(default=0, name='born')


_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)


class _Deregistration(msgspec.Struct):
    """Body of a deregistration, which may be empty.

    Attributes
    ----------
    started_at_ms : int
        Unix time of the target's start in milliseconds; 0 if not given.
    """

    started_at_ms: Integer = msgspec.field(default=0, name='born')


_deregistration_decoder = msgspec.json.Decoder(_Deregistration)


class _LastReport(msgspec.Struct):
    """Newest heartbeat or deregistration of one target.

    Attributes
    ----------
    started_at_ms : int
        Unix time of the target's start in milliseconds; the time of the
        deregistration if the start is not known.
    sequence : int
        Number of the newest heartbeat; 0 after a deregistration.
    deregistered : bool
        Whether the target was deregistered.
    """

    started_at_ms: int
    sequence: int
    deregistered: bool = False

    def supersedes(self, started_at_ms: int, sequence: int) -> bool:
        """Whether a heartbeat is outdated by this report."""
        if self.deregistered:
            return started_at_ms <= self.started_at_ms
        return self.started_at_ms == started_at_ms and sequence <= self.sequence


class HeartbeatServer:
    """Receives heartbeats and deregistrations of the target on this host.

    A heartbeat that is older than one received before, or that belongs to an
    earlier start of the target, has no effect. It is still acknowledged, so
    that its sender continues.

    Parameters
    ----------
    target : LocalTarget
        Updated with each new announcement.
    own_service : str
        Service that the platform runs on this host; heartbeats of other
        services are rejected. Empty to accept any.
    interval_s : float
        Time between two heartbeats, in seconds.
    """

    def __init__(
        self,
        target: LocalTarget,
        own_service: str,
        interval_s: float,
    ) -> None:
        """Create a stopped server; `start` opens the port."""
        self._target = target
        self._own_service = own_service
        self._lease_s = interval_s * LEASE_HEARTBEATS
        self._last_reports: dict[str, _LastReport] = {}
        self._latest_start_ms = 0
        self._bodies = BodyReader(MAX_BODY_BYTES, SHARED_BODY_BYTES)
        self._runner = web.ServerRunner(
            BoundedServer(self._handle, port_limits())
        )

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.host, address.port)
        await site.start()

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if not is_rpc_call(request):
            return rpc_response(404, 'unknown call')
        target = request.query.get('of', '')
        try:
            body = await self._bodies.read(request)
        except BodyTooLargeError as error:
            return rpc_response(error.status, error.detail)
        match request.query.get('call'):
            case 'instances.heartbeat':
                return self._handle_heartbeat(target, body)
            case 'instances.deregister':
                return self._handle_deregistration(target, body)
            case _:
                return rpc_response(404, 'unknown call')

    def _handle_heartbeat(self, target: str, body: bytes) -> web.Response:
        try:
            heartbeat = decode(_heartbeat_decoder, body)
            announcement = self._to_announcement(target, heartbeat)
        except ValueError as error:
            log.warning(
                "Rejected a heartbeat of target '{}': {}.", target, error
            )
            return rpc_response(400, str(error))
        if self._record_if_newer(
            target, heartbeat.started_at_ms, heartbeat.status.sequence
        ):
            self._target.announce(announcement)
        else:
            log.info("Ignored an outdated heartbeat of target '{}'.", target)
        return rpc_response(200)

    def _to_announcement(
        self,
        target: str,
        heartbeat: _Heartbeat,
    ) -> Announcement:
        """Convert a heartbeat to an announcement.

        Raises
        ------
        ValueError
            The heartbeat is invalid, or its service does not run here.
        """
        info, status = heartbeat.info, heartbeat.status
        _check_name(target)
        if self._own_service and info.service != self._own_service:
            raise ValueError(
                f"service '{info.service}' does not run on this host"
            )
        parse_target_address(heartbeat.address)
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
            incarnation=str(heartbeat.started_at_ms),
            lease_s=self._lease_s,
            cold_s=cold_s,
            version=info.version,
        )

    def _record_if_newer(
        self,
        target: str,
        started_at_ms: int,
        sequence: int,
    ) -> bool:
        """Record a heartbeat and return True if it is newer than all others."""
        if self._target.current is None:
            # The last announcement has expired. The clock that gives the start
            # times may have been set back since.
            self._latest_start_ms = 0
        if started_at_ms < self._latest_start_ms:
            return False
        last_report = self._last_reports.get(target)
        if last_report is not None and last_report.supersedes(
            started_at_ms, sequence
        ):
            return False
        self._latest_start_ms = started_at_ms
        self._remember(target, _LastReport(started_at_ms, sequence))
        return True

    def _remember(self, target: str, report: _LastReport) -> None:
        """Store the newest report of a target."""
        self._last_reports.pop(target, None)
        if len(self._last_reports) >= MAX_LAST_REPORTS:
            self._last_reports.pop(next(iter(self._last_reports)))
        self._last_reports[target] = report

    def _handle_deregistration(self, target: str, body: bytes) -> web.Response:
        """Mark a target as leaving, so that it gets no new work.

        A target without an earlier heartbeat is recorded too, as this process
        may have just started: a delayed heartbeat must not announce the
        target again.
        """
        try:
            _check_name(target)
        except ValueError as error:
            return rpc_response(400, str(error))
        last_report = self._last_reports.get(target)
        started_at_ms = max(
            _deregistered_start_ms(body),
            last_report.started_at_ms if last_report else 0,
        )
        self._remember(
            target,
            _LastReport(started_at_ms or _now_ms(), 0, deregistered=True),
        )
        current = self._target.current
        if current is not None and current.target == target:
            self._target.mark_leaving()
        log.info("Target '{}' was deregistered.", target)
        return rpc_response(200)


def _check_name(target: str) -> None:
    """Raise ValueError for a target without a name or with a very long one."""
    if not 0 < len(target) <= MAX_NAME_LENGTH:
        raise ValueError('the target has no name, or a very long one')


def _deregistered_start_ms(body: bytes) -> int:
    """Return the start time in a deregistration, 0 if it has none."""
    try:
        deregistration = decode(_deregistration_decoder, body or b'{}')
    except msgspec.DecodeError as error:
        log.warning('Ignored the invalid body of a deregistration: {}.', error)
        return 0
    return deregistration.started_at_ms


def _now_ms() -> int:
    return int(time.time() * MS_PER_S)
