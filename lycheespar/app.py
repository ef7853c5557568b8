"""Composition root of nodes: creates and connects their components."""

from __future__ import annotations

import asyncio
import random
import time
from functools import partial
from pathlib import Path

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
from lycheespar.control.claims.claims_quorum import ClaimQuorum
from lycheespar.control.following.configuration_follower import (
    ConfigurationFollower,
)
from lycheespar.control.following.departures import ControlDepartures
from lycheespar.control.following.directory import ControlDirectory, Link
from lycheespar.control.following.saved import SavedConfiguration
from lycheespar.drain import GracefulStop, wait_until_current
from lycheespar.heap import tune_garbage_collector
from lycheespar.ingress.call_builder import CallBuilder
from lycheespar.ingress.limits import settings_limits
from lycheespar.ingress.server import IngressServer
from lycheespar.membership import own_records
from lycheespar.membership.broadcast import BroadcastTable
from lycheespar.membership.endpoint import host_ports
from lycheespar.membership.gossip import Gossip
from lycheespar.membership.join_wait import JoinWait
from lycheespar.membership.view import MembershipView
from lycheespar.node_interfaces import (
    DefaultInterfaces,
    NodeInterfaces,
)
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.server import ChannelServer
from lycheespar.quotas.dispatch import QuotaDispatch
from lycheespar.quotas.owner import QuotaOwner
from lycheespar.quotas.reserve import QuotaReserve
from lycheespar.quotas.ring import QuotaRing
from lycheespar.rollouts.node import NodeRollouts
from lycheespar.routing.attempts import AttemptRunner
from lycheespar.routing.budget import RetryBudgets
from lycheespar.routing.keyed import KeyedDispatch
from lycheespar.routing.picker import Picker
from lycheespar.routing.recall import OutcomeLookup
from lycheespar.routing.router import Router
from lycheespar.routing.suspects import SuspectDispatch, SuspectPlacement
from lycheespar.settings.definitions import NodeSettings
from lycheespar.settings.options import Address
from lycheespar.targets.announcement import LocalTarget
from lycheespar.targets.probes import Prober
from lycheespar.telemetry.gauges import (
    follower_gauges,
    node_gauges,
    retry_and_gossip_gauges,
)
from lycheespar.telemetry.node_telemetry import Telemetry

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
            host_ports(settings.seeds),
            self._members,
            self._configuration,
            self._broadcasts,
        )
        self._executor = Executor(
            self._target,
            self._configuration,
            settings.data_centre,
            float('inf') if settings.serve_stale else settings.stale_after_s,
            lambda announcement: self._rollouts.wrap_client(
                self._telemetry.new_target_client(announcement)
            ),
            profile,
        )
        self._prober = Prober(self._target, self._executor, profile)
        self._claim_links: tuple[Link, ...] = ()
        self._directory: ControlDirectory | None = None
        self._key_records = KeyRecords()
        self._suspects = SuspectTable(self._broadcasts)
        self._rollouts = NodeRollouts(
            settings.name,
            incarnation,
            self._members,
            self._configuration,
            self._target,
            enabled=settings.versions_by_order,
        )
        self._suspect_placement = SuspectPlacement(
            settings.name,
            self._members,
            self._configuration,
            self._rollouts.versions,
        )
        self._retry_budgets = RetryBudgets(
            settings.saved_retries,
            settings.most_retry_share,
        )
        quota_ring = QuotaRing(self._members)
        self._quotas = QuotaOwner(
            settings.name,
            quota_ring,
            self._configuration,
            settings.quota_excess,
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
                QuotaDispatch(
                    self._build_dispatch(execution, incarnation),
                    self._configuration,
                    quota_ring,
                    self._quotas,
                    self._pool,
                    QuotaReserve(random.Random()),
                ),
            ),
            profile,
            log_answers=settings.log_answers,
            limits=settings_limits(settings),
        )
        self._channel_server = ChannelServer(
            CallTable(execution),
            lambda: self._executor.load,
            hello,
            self._key_records,
            self._quotas,
        )
        self._announcement_server = self._interfaces.announcement_server(
            self._target,
            ControlDepartures(settings.name, self._control_links),
        )
        self._readiness_server = self._interfaces.readiness_server(
            self._is_ready
        )
        self._serving = False
        self._accepts_callers = False
        self._target.changes.subscribe(lambda _: self._publish_target())
        self._telemetry.add_gauges(self._quotas.gauges)
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
        self._directory = directory
        follower = ConfigurationFollower(
            self._settings.name,
            self._configuration,
            lambda: directory.links,
            self._saved_configuration,
        )
        self._telemetry.add_gauges(partial(follower_gauges, follower))
        follower.start()
        self._rollouts.start_reporting(lambda: directory.links)
        await self._start(stopped)
        if not stopped.is_set():
            await self._serve(stopped)
        await self._stop()
        self._rollouts.stop_reporting()
        follower.stop()
        directory.close()
        context.destroy(linger=0)
        log.info("Node '{}' has stopped.", self._settings.name)

    def replace_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the gossip seeds after a change of the settings."""
        self._gossip.seeds = host_ports(seeds)

    def _control_links(self) -> tuple[Link, ...]:
        """Return links to the control hosts known now."""
        return () if self._directory is None else self._directory.links

    def _is_ready(self) -> bool:
        """Return whether the node serves and has a configuration."""
        return self._serving and self._configuration.current.revision > 0

    def _build_execution(self) -> Execution:
        """Build the chain that runs calls at this node's target."""
        guard = CrashGuard(
            self._rollouts.wrap_execution(
                self._telemetry.wrap_execution(self._executor)
            ),
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
                self._rollouts.versions,
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

    async def _serve(self, stopped: asyncio.Event) -> None:
        """Open the port for callers; serve until the event is set."""
        await self._ingress_server.start(self._settings.http)
        self._accepts_callers = True
        self._publish_target()
        tune_garbage_collector()
        self._serving = True
        log.info("Node '{}' is serving.", self._settings.name)
        await stopped.wait()
        self._serving = False

    async def _start(self, stopped: asyncio.Event) -> None:
        """Join the cluster, and wait until callers can be served."""
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
            JoinWait(settings.name, self._members),
            settings.stale_after_s,
            stopped,
        )

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

    def _publish_target(self) -> None:
        """Update this node's member record with the state of its target.

        A target is published once this node accepts callers: it calls other
        services through this node.
        """
        announcement = self._target.current
        if not self._accepts_callers:
            announcement = None
        own = self._gossip.own_record
        self._gossip.update_own_record(
            own_records.with_target(own, announcement),
        )
