"""Composition root of control hosts: creates and connects their components."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import zmq.asyncio
from loguru import logger

from lycheespar.membership import own_records
from lycheespar.membership.broadcast import BroadcastTable
from lycheespar.membership.endpoint import host_ports
from lycheespar.membership.gossip import Gossip
from lycheespar.membership.view import MembershipView
from lycheespar.node_interfaces import PortServer
from lycheespar.settings.definitions import ControlSettings
from lycheespar.settings.options import Address
from lycheespar.telemetry.gauges import control_gauges

if TYPE_CHECKING:
    from lycheespar.control.host import ControlHost
    from lycheespar.rollouts.controller import RolloutController

log = logger.bind(part='app')


class ControlApp:
    """Control host process: replicated configuration and operators' API.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    api : Callable[[ControlHost], PortServer] | None
        Creates the server of the operators' API; `OperatorApi` if None.
    """

    def __init__(
        self,
        settings: ControlSettings,
        api: Callable[[ControlHost], PortServer] | None = None,
    ) -> None:
        """Create an idle control host; `run` starts it."""
        self._settings = settings
        self._api = api
        self._gossip: Gossip | None = None

    async def run(self, stopped: asyncio.Event) -> None:
        """Serve until the event is set, then stop."""
        from lycheespar.control.api.api import OperatorApi  # noqa: PLC0415
        from lycheespar.control.host import ControlHost  # noqa: PLC0415

        settings = self._settings
        context = zmq.asyncio.Context()
        host = ControlHost(settings, context)
        api = (self._api or OperatorApi)(host)
        members = MembershipView()
        gossip = self._build_gossip(host, members)
        controller = self._build_rollout_controller(host, members)
        metrics_server = self._build_metrics_server(host)
        await host.start()
        if gossip is not None:
            await gossip.start()
        if metrics_server is not None:
            await metrics_server.start(settings.metrics)
        await api.start(settings.http)
        if controller is not None:
            controller.start()
        log.info("Control host '{}' is serving.", settings.name)
        await host.leave_after(stopped)
        if controller is not None:
            controller.stop()
        await api.stop()
        if metrics_server is not None:
            await metrics_server.stop()
        if gossip is not None:
            await gossip.stop()
        host.stop()
        context.destroy(linger=0)

    def replace_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the gossip seeds after a change of the settings."""
        if self._gossip is not None:
            self._gossip.seeds = host_ports(seeds)

    def _build_metrics_server(self, host: ControlHost) -> PortServer | None:
        """Create the metrics server if the settings enable it."""
        if self._settings.metrics is None:
            return None
        from lycheespar.telemetry.exposition import (  # noqa: PLC0415
            MetricsServer,
        )
        from lycheespar.telemetry.metrics import Metrics  # noqa: PLC0415

        metrics = Metrics(self._settings.statsd, self._settings.name)
        metrics.add_gauges(partial(control_gauges, host.group))
        return MetricsServer(metrics)

    def _build_rollout_controller(
        self, host: ControlHost, members: MembershipView
    ) -> RolloutController | None:
        """Create the controller of roll-outs if the settings enable them."""
        if not self._settings.max_exposure:
            return None
        from lycheespar.rollouts.controller import (  # noqa: PLC0415
            RolloutController,
        )

        return RolloutController(host, members, self._settings.max_exposure)

    def _build_gossip(
        self, host: ControlHost, members: MembershipView
    ) -> Gossip | None:
        """Create the gossip endpoint of this host if the settings enable it.

        Through gossip, nodes find the control hosts, and control hosts find
        each other.
        """
        from lycheespar.control.agreement.stamps import GroupStamps  # noqa: PLC0415

        settings = self._settings
        if settings.gossip is None:
            return None
        members.changes.subscribe(host.add_peer)
        self._gossip = Gossip(
            own_records.control_record(settings, host.address, time.time_ns()),
            host_ports(settings.seeds),
            members,
            GroupStamps(host.group),
            BroadcastTable(),
        )
        return self._gossip
