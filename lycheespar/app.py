"""Composition root: creates and connects the components of a process."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import zmq.asyncio
from loguru import logger

from lycheespar.admission.crash_guard import CrashGuard
from lycheespar.admission.duplicates import CallTable
from lycheespar.admission.executor import Executor
from lycheespar.admission.key_records import KeyRecords
from lycheespar.admission.recorded import RecordedExecution
from lycheespar.admission.suspects import SuspectTable
from lycheespar.call import Dispatch, Execution
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.claims_quorum import ClaimQuorum
from lycheespar.control.configuration_follower import ConfigurationFollower
from lycheespar.control.directory import ControlDirectory, Link
from lycheespar.control.saved import SavedConfiguration
from lycheespar.drain import GracefulStop, wait_until_current
from lycheespar.heap import tune_garbage_collector
from lycheespar.ingress.call_builder import CallBuilder
from lycheespar.ingress.server import IngressServer
from lycheespar.membership import own_records
from lycheespar.membership.broadcast import BroadcastTable
from lycheespar.membership.endpoint import HostPort
from lycheespar.membership.gossip import Gossip
from lycheespar.membership.view import MembershipView
from lycheespar.node_interfaces import (
    DefaultInterfaces,
    NodeInterfaces,
    PortServer,
)
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.server import ChannelServer
from lycheespar.routing.attempts import AttemptRunner
from lycheespar.routing.budget import RetryBudgets
from lycheespar.routing.keyed import KeyedDispatch
from lycheespar.routing.picker import Picker
from lycheespar.routing.recall import OutcomeLookup
from lycheespar.routing.router import Router
from lycheespar.routing.suspects import SuspectDispatch, SuspectPlacement
from lycheespar.settings.definitions import ControlSettings, NodeSettings
from lycheespar.settings.options import Address
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.probes import Prober
from lycheespar.telemetry.gauges import (
    control_gauges,
    node_gauges,
    retry_and_gossip_gauges,
)
from lycheespar.telemetry.node_telemetry import Telemetry

if TYPE_CHECKING:
    from lycheespar.control.host import ControlHost

log = logger.bind(part='app')


class NodeApp:
    """Node process: ingress, routing, admission and membership.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    interfaces : NodeInterfaces | None
        Interfaces to callers, the target and the host; `DefaultInterfaces` if
        None.
    """

    def __init__(
        self,
        settings: NodeSettings,
        interfaces: NodeInterfaces | None = None,
    ) -> None:
        """Create the components; `run` starts them."""
        self._settings = settings
        self._interfaces = interfaces or DefaultInterfaces()
        profile = self._interfaces.profile
        incarnation = time.time_ns()
        self._telemetry = Telemetry(settings, profile)
        self._target = LocalTarget()
        self._saved_configuration = (
            SavedConfiguration(Path(settings.data_folder))
            if settings.data_folder
            else None
        )
        self._configuration = ConfigurationView(
            self._saved_configuration.load()
            if self._saved_configuration
            else Configuration(),
            float('inf') if settings.serve_stale else settings.stale_after_s,
        )
        self._members = MembershipView()
        self._broadcasts = BroadcastTable()
        self._gossip = Gossip(
            own_records.own_record(settings, incarnation),
            _host_ports(settings.seeds),
            self._members,
            self._configuration,
            self._broadcasts,
        )
        self._executor = Executor(
            self._target,
            self._configuration,
            settings.data_centre,
            float('inf') if settings.serve_stale else settings.stale_after_s,
            self._telemetry.new_target_client,
            profile,
        )
        self._prober = Prober(self._target, self._executor, profile)
        self._claim_links: tuple[Link, ...] = ()
        self._key_records = KeyRecords()
        self._suspects = SuspectTable(self._broadcasts)
        self._suspect_placement = SuspectPlacement(
            settings.name,
            self._members,
            self._configuration,
        )
        self._retry_budgets = RetryBudgets(
            settings.saved_retries,
            settings.most_retry_share,
        )
        hello = Hello(settings.name, incarnation, 0)
        self._pool = self._telemetry.new_channel_pool(
            hello,
            settings.inner.host,
        )
        execution = self._build_execution()
        self._ingress_server = IngressServer(
            CallBuilder(
                self._configuration,
                settings.max_body_bytes,
                profile,
                self._interfaces.own_service,
            ),
            self._telemetry.wrap_dispatch(
                self._build_dispatch(execution, incarnation),
            ),
            profile,
            log_answers=settings.log_answers,
        )
        self._channel_server = ChannelServer(
            CallTable(execution),
            lambda: self._executor.load,
            hello,
            self._key_records,
        )
        self._announcement_server = self._interfaces.announcement_server(
            self._target
        )
        self._readiness_server = self._interfaces.readiness_server(
            self._is_ready
        )
        self._serving = False
        self._target.changes.subscribe(self._publish_target)
        self._telemetry.add_gauges(
            partial(
                retry_and_gossip_gauges,
                self._retry_budgets,
                self._gossip.endpoint,
            ),
        )
        self._telemetry.add_gauges(
            partial(
                node_gauges,
                self._executor,
                self._prober,
                self._configuration,
                self._members,
            ),
        )

    async def run(self, stopped: asyncio.Event) -> None:
        """Serve until the event is set, then drain and stop."""
        context = zmq.asyncio.Context()
        directory = ControlDirectory(
            context,
            self._settings.control.values(),
            self._members,
        )
        self._claim_links = directory.configured
        follower = ConfigurationFollower(
            self._settings.name,
            self._configuration,
            lambda: directory.links,
            self._saved_configuration,
        )
        follower.start()
        await self._start()
        tune_garbage_collector()
        self._serving = True
        log.info("Node '{}' is serving.", self._settings.name)
        await stopped.wait()
        self._serving = False
        await self._stop()
        follower.stop()
        directory.close()
        context.destroy(linger=0)
        log.info("Node '{}' has stopped.", self._settings.name)

    def replace_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the gossip seeds after a change of the settings."""
        self._gossip.seeds = _host_ports(seeds)

    def _is_ready(self) -> bool:
        """Return whether the node serves and has a configuration."""
        return self._serving and self._configuration.current.revision > 0

    def _build_execution(self) -> Execution:
        """Build the chain that runs calls at this node's target."""
        guard = CrashGuard(
            self._telemetry.wrap_execution(self._executor),
            self._target,
            self._suspects,
            self._suspect_placement.runs_here,
        )
        return RecordedExecution(
            guard,
            self._key_records,
            self._configuration.key_retention_s,
        )

    def _build_dispatch(
        self,
        execution: Execution,
        incarnation: int,
    ) -> Dispatch:
        """Build the chain that dispatches the calls of this node's callers."""
        name = self._settings.name
        router = Router(
            AttemptRunner(
                name,
                self._members,
                self._configuration,
                execution,
                self._pool,
                Picker(self._settings.data_centre, random.Random()),
                lambda: self._executor.load,
            ),
            self._configuration,
            self._retry_budgets,
        )
        return KeyedDispatch(
            SuspectDispatch(
                router,
                self._suspects,
                self._suspect_placement,
                self._pool,
                execution,
            ),
            ClaimQuorum(lambda: self._claim_links),
            self._key_records,
            OutcomeLookup(
                name,
                incarnation,
                self._members,
                self._pool,
                self._key_records,
            ),
            self._configuration.key_retention_s,
        )

    async def _start(self) -> None:
        """Join the cluster, then open the port for callers."""
        settings = self._settings
        await self._telemetry.start()
        await self._gossip.start()
        await self._channel_server.start(
            settings.inner.host,
            settings.inner.port,
        )
        await self._announcement_server.start(settings.announce)
        if self._readiness_server is not None:
            await self._readiness_server.start(settings.ready)
        self._prober.start()
        await wait_until_current(
            self._configuration,
            self._gossip,
            settings.stale_after_s,
        )
        await self._ingress_server.start(settings.http)

    async def _stop(self) -> None:
        """Finish the requests in progress, then close all ports."""
        await GracefulStop(
            self._target,
            self._executor,
            self._ingress_server,
            self._channel_server,
            self._settings.drain_s,
            self._settings.drain_spread_s,
        ).run()
        await self._prober.stop()
        await self._pool.close()
        await self._executor.close()
        await self._announcement_server.stop()
        if self._readiness_server is not None:
            await self._readiness_server.stop()
        await self._gossip.stop()
        await self._telemetry.stop()

    def _publish_target(self, announcement: Announcement | None) -> None:
        """Update this node's member record with the state of its target."""
        own = self._gossip.own_record
        self._gossip.update_own_record(
            own_records.with_target(own, announcement),
        )


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
        from lycheespar.control.api import OperatorApi  # noqa: PLC0415
        from lycheespar.control.host import ControlHost  # noqa: PLC0415

        settings = self._settings
        context = zmq.asyncio.Context()
        host = ControlHost(settings, context)
        api = (self._api or OperatorApi)(host)
        gossip = self._build_gossip(host)
        metrics_server = self._build_metrics_server(host)
        await host.start()
        if gossip is not None:
            await gossip.start()
        if metrics_server is not None:
            await metrics_server.start(settings.metrics)
        await api.start(settings.http)
        log.info("Control host '{}' is serving.", settings.name)
        await stopped.wait()
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
            self._gossip.seeds = _host_ports(seeds)

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

    def _build_gossip(self, host: ControlHost) -> Gossip | None:
        """Create the gossip endpoint of this host if the settings enable it.

        Through gossip, nodes find the control hosts, and control hosts find
        each other.
        """
        from lycheespar.control.stamps import GroupStamps  # noqa: PLC0415

        settings = self._settings
        if settings.gossip is None:
            return None
        members = MembershipView()
        members.changes.subscribe(host.add_peer)
        self._gossip = Gossip(
            own_records.control_record(settings, host.address, time.time_ns()),
            _host_ports(settings.seeds),
            members,
            GroupStamps(host.group),
            BroadcastTable(),
        )
        return self._gossip


def _host_ports(seeds: tuple[Address, ...]) -> tuple[HostPort, ...]:
    return tuple((seed.host, seed.port) for seed in seeds)
