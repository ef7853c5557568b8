"""Receives the platform's heartbeats of the target beside a node."""

from __future__ import annotations

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
from lycheespar.platform.formats import parse_s
from lycheespar.platform.rpc import is_rpc_call, rpc_response
from lycheespar.settings.options import Address
from lycheespar.targets.announcement import (
    Announcement,
    LocalTarget,
    parse_target_address,
)
from lycheespar.targets.departures import DepartureStore
from lycheespar.targets.reports import Report, TargetReports

# Heartbeat intervals without a heartbeat after which a target counts as gone.
LEASE_HEARTBEATS: Final = 4
# Connections to the target beyond its slots, for probes and for connections
# that are being replaced.
SPARE_CONNECTIONS: Final = 8
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


class HeartbeatServer:
    """Receives heartbeats and deregistrations of the target on this host.

    An outdated heartbeat has no effect. It is still acknowledged, so that its
    sender continues. A drain or a deregistration is acknowledged when it is
    stored.

    Parameters
    ----------
    target : LocalTarget
        Updated with each new announcement.
    own_service : str
        Service that the platform runs on this host; heartbeats of other
        services are rejected. Empty to accept any.
    interval_s : float
        Time between two heartbeats, in seconds.
    departures : DepartureStore
        Stores departures before they are acknowledged.
    """

    def __init__(
        self,
        target: LocalTarget,
        own_service: str,
        interval_s: float,
        departures: DepartureStore,
    ) -> None:
        """Create a stopped server; `start` opens the port."""
        self._reports = TargetReports(target, departures)
        self._own_service = own_service
        self._lease_s = interval_s * LEASE_HEARTBEATS
        self._bodies = BodyReader(MAX_BODY_BYTES, SHARED_BODY_BYTES)
        self._runner = web.ServerRunner(
            BoundedServer(self._handle, port_limits())
        )

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        self._reports.start()
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.host, address.port)
        await site.start()

    async def stop(self) -> None:
        """Close the port."""
        self._reports.stop()
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
                return await self._handle_heartbeat(target, body)
            case 'instances.deregister':
                return await self._handle_deregistration(target, body)
            case _:
                return rpc_response(404, 'unknown call')

    async def _handle_heartbeat(self, target: str, body: bytes) -> web.Response:
        try:
            heartbeat = decode(_heartbeat_decoder, body)
            announcement = self._to_announcement(target, heartbeat)
        except ValueError as error:
            log.warning(
                "Rejected a heartbeat of target '{}': {}.", target, error
            )
            return rpc_response(400, str(error))
        return _acknowledgement(
            certain=await self._reports.receive(
                Report(
                    announcement,
                    heartbeat.started_at_ms,
                    heartbeat.status.sequence,
                )
            )
        )

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

    async def _handle_deregistration(
        self, target: str, body: bytes
    ) -> web.Response:
        """Mark a target as leaving, so that it gets no new work."""
        try:
            _check_name(target)
        except ValueError as error:
            return rpc_response(400, str(error))
        return _acknowledgement(
            certain=await self._reports.deregister(
                target, _deregistered_start_ms(body)
            )
        )


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


def _acknowledgement(*, certain: bool) -> web.Response:
    """Build the response to a report that was used."""
    if certain:
        return rpc_response(200)
    return rpc_response(503, 'the departure is not stored yet')
