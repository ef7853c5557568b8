"""Composition root: builds the parts of a process and wires them."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import zmq.asyncio
from loguru import logger
from msgspec.structs import replace

from lycheespar.admission.executor import Executor
from lycheespar.config.settings import ControlSettings, NodeSettings
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.follower import ConfigurationFollower
from lycheespar.control.link import ControlLink
from lycheespar.control.messages import ControlReply
from lycheespar.control.saved import SavedConfiguration
from lycheespar.drain import GracefulStop, wait_until_current
from lycheespar.ingress.server import IngressServer
from lycheespar.membership.broadcast import BroadcastTable
from lycheespar.membership.gossip import Gossip
from lycheespar.membership.records import MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.server import ChannelServer
from lycheespar.routing.picker import Picker
from lycheespar.routing.pool import ChannelPool
from lycheespar.routing.router import Router
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.api import AnnouncementApi
from lycheespar.targets.probes import Prober

log = logger.bind(part='app')


class NodeApp:
    """A node: ingress, routing, admission and membership.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        """Build the parts."""
        self._settings = settings
        incarnation = time.time_ns()
        self._target = LocalTarget()
        self._saved = (
            SavedConfiguration(Path(settings.data_folder))
            if settings.data_folder
            else None
        )
        self._configuration = ConfigurationView(
            self._saved.load() if self._saved else Configuration(),
        )
        self._members = MembershipView()
        advertised = settings.advertise_inner or settings.inner
        own = MemberRecord(
            settings.name,
            incarnation,
            0,
            advertised.host,
            advertised.port,
            settings.gossip.port,
            settings.data_centre,
        )
        hello = Hello(settings.name, incarnation, 0)
        self._broadcasts = BroadcastTable()
        self._gossip = Gossip(
            own,
            settings.seeds,
            self._members,
            self._configuration,
            self._broadcasts,
        )
        self._executor = Executor(
            self._target,
            self._configuration,
            settings.data_centre,
            float('inf') if settings.serve_stale else settings.stale_after_s,
        )
        self._prober = Prober(self._target, self._executor)
        self._pool = ChannelPool(hello, settings.inner.host)
        self._router = Router(
            settings.name,
            self._members,
            self._configuration,
            self._executor,
            self._pool,
            Picker(settings.data_centre, random.Random()),
        )
        self._ingress = IngressServer(self._configuration, self._router)
        self._channels = ChannelServer(
            self._executor,
            lambda: self._executor.load,
            hello,
        )
        self._announcements = AnnouncementApi(self._target)
        self._target.changes.subscribe(self._publish)

    async def run(self, stopped: asyncio.Event) -> None:
        """Serve until told to stop, then drain."""
        settings = self._settings
        context = zmq.asyncio.Context()
        follower = ConfigurationFollower(
            settings.name,
            self._configuration,
            [
                ControlLink(context, address, ControlReply)
                for address in settings.control.values()
            ],
            self._saved,
        )
        follower.start()
        await self._gossip.start()
        await self._start()
        log.info("Node '{}' serves.", settings.name)
        await stopped.wait()
        await self._stop()
        follower.stop()
        await self._gossip.stop()
        context.destroy(linger=0)
        log.info("Node '{}' has stopped.", settings.name)

    async def _start(self) -> None:
        """Open the ports; the callers' port once callers can be served."""
        settings = self._settings
        await self._channels.start(settings.inner.host, settings.inner.port)
        await self._announcements.start(settings.announce)
        self._prober.start()
        await wait_until_current(
            self._configuration,
            self._members,
            settings.stale_after_s,
        )
        await self._ingress.start(settings.http)

    async def _stop(self) -> None:
        """Finish what is under way, then close the request path."""
        await GracefulStop(
            self._target,
            self._executor,
            self._ingress,
            self._channels,
            self._settings.drain_s,
        ).run()
        await self._prober.stop()
        await self._pool.close()
        await self._executor.close()
        await self._announcements.stop()

    def _publish(self, announcement: Announcement | None) -> None:
        """Tell the other nodes about the local target."""
        own = self._gossip.own
        self._gossip.update(_with_target(own, announcement))


class ControlApp:
    """A control host: replicated configuration and operators' API.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    """

    def __init__(self, settings: ControlSettings) -> None:
        """Keep the settings."""
        self._settings = settings

    async def run(self, stopped: asyncio.Event) -> None:
        """Serve until told to stop."""
        from lycheespar.control.api import OperatorApi  # noqa: PLC0415
        from lycheespar.control.host import ControlHost  # noqa: PLC0415

        settings = self._settings
        context = zmq.asyncio.Context()
        host = ControlHost(settings, context)
        api = OperatorApi(host)
        await host.start()
        await api.start(settings.http)
        log.info("Control host '{}' serves.", settings.name)
        await stopped.wait()
        await api.stop()
        host.stop()
        context.destroy(linger=0)


def _with_target(
    record: MemberRecord,
    announcement: Announcement | None,
) -> MemberRecord:
    if announcement is None:
        return _retarget(record, '', '', Phase.absent, 0)
    return _retarget(
        record,
        announcement.service_name,
        announcement.target,
        announcement.state,
        announcement.slots,
    )


def _retarget(
    record: MemberRecord,
    service: str,
    target: str,
    phase: Phase,
    slots: int,
) -> MemberRecord:

    return replace(
        record,
        service=service,
        target=target,
        phase=phase,
        slots=slots,
    )
