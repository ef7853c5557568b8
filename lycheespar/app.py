"""Composition root: builds the parts of a process and wires them."""

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
from lycheespar.admission.duplicates import DuplicateCheck
from lycheespar.admission.executor import Executor
from lycheespar.admission.key_records import KeyRecords
from lycheespar.admission.recorded import RecordedExecution
from lycheespar.admission.suspects import SuspectTable
from lycheespar.call import Dispatch, Execution
from lycheespar.config.options import Address
from lycheespar.config.settings import ControlSettings, NodeSettings
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.claims_quorum import ClaimQuorum
from lycheespar.control.directory import ControlDirectory, Link
from lycheespar.control.follower import ConfigurationFollower
from lycheespar.control.saved import SavedConfiguration
from lycheespar.drain import GracefulStop, wait_until_current
from lycheespar.edge import DefaultEdge, Edge, Port
from lycheespar.heap import settle_heap
from lycheespar.ingress.classify import Classifier
from lycheespar.ingress.server import IngressServer
from lycheespar.membership import presence
from lycheespar.membership.broadcast import BroadcastTable
from lycheespar.membership.endpoint import HostPort
from lycheespar.membership.gossip import Gossip
from lycheespar.membership.view import MembershipView
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.server import ChannelServer
from lycheespar.routing.attempts import Attempts
from lycheespar.routing.budget import RetryBudgets
from lycheespar.routing.keyed import KeyedDispatch
from lycheespar.routing.picker import Picker
from lycheespar.routing.recall import Recall
from lycheespar.routing.router import Router
from lycheespar.routing.suspects import Designation, SuspectDispatch
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.probes import Prober
from lycheespar.telemetry.gauges import (
    control_gauges,
    message_gauges,
    node_gauges,
)
from lycheespar.telemetry.parts import Telemetry

if TYPE_CHECKING:
    from lycheespar.control.host import ControlHost

log = logger.bind(part='app')


class NodeApp:
    """A node: ingress, routing, admission and membership.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    edge : Edge | None
        Interfaces to the callers, the target and the host; the project's own
        where none are given.
    """

    def __init__(
        self,
        settings: NodeSettings,
        edge: Edge | None = None,
    ) -> None:
        """Build the parts."""
        self._settings = settings
        self._edge = edge or DefaultEdge()
        profile = self._edge.profile
        incarnation = time.time_ns()
        self._telemetry = Telemetry(settings, profile)
        self._target = LocalTarget()
        self._saved = (
            SavedConfiguration(Path(settings.data_folder))
            if settings.data_folder
            else None
        )
        self._configuration = ConfigurationView(
            self._saved.load() if self._saved else Configuration(),
            float('inf') if settings.serve_stale else settings.stale_after_s,
        )
        self._members = MembershipView()
        self._broadcasts = BroadcastTable()
        self._gossip = Gossip(
            presence.own_record(settings, incarnation),
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
            self._telemetry.connect,
            profile,
        )
        self._prober = Prober(self._target, self._executor, profile)
        self._claim_links: tuple[Link, ...] = ()
        self._records = KeyRecords()
        self._suspects = SuspectTable(self._broadcasts)
        self._designation = Designation(
            settings.name,
            self._members,
            self._configuration,
        )
        self._budgets = RetryBudgets(
            settings.saved_retries,
            settings.most_retry_share,
        )
        hello = Hello(settings.name, incarnation, 0)
        self._pool = self._telemetry.pool(hello, settings.inner.host)
        execution = self._build_execution()
        self._ingress = IngressServer(
            Classifier(
                self._configuration,
                settings.max_body_bytes,
                profile,
                self._edge.own_service,
            ),
            self._telemetry.around_dispatch(
                self._build_dispatch(execution, incarnation),
            ),
            profile,
            log_answers=settings.log_answers,
        )
        self._channels = ChannelServer(
            DuplicateCheck(execution),
            lambda: self._executor.load,
            hello,
            self._records,
        )
        self._announcements = self._edge.announcements(self._target)
        self._readiness = self._edge.readiness(self._is_ready)
        self._serving = False
        self._target.changes.subscribe(self._publish)
        self._telemetry.add_gauges(
            partial(message_gauges, self._budgets, self._gossip.endpoint),
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
        """Serve until told to stop, then drain."""
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
            self._saved,
        )
        follower.start()
        await self._start()
        settle_heap()
        self._serving = True
        log.info("Node '{}' serves.", self._settings.name)
        await stopped.wait()
        self._serving = False
        await self._stop()
        follower.stop()
        directory.close()
        context.destroy(linger=0)
        log.info("Node '{}' has stopped.", self._settings.name)

    def meet(self, seeds: tuple[Address, ...]) -> None:
        """Take new seeds, as the settings have changed."""
        self._gossip.seeds = _host_ports(seeds)

    def _is_ready(self) -> bool:
        """Whether callers may use this node."""
        return self._serving and self._configuration.current.revision > 0

    def _build_execution(self) -> Execution:
        """Build what runs calls at the own target."""
        guard = CrashGuard(
            self._telemetry.around_execution(self._executor),
            self._target,
            self._suspects,
            self._designation.is_own,
        )
        return RecordedExecution(
            guard,
            self._records,
            self._configuration.key_retention_s,
        )

    def _build_dispatch(
        self,
        execution: Execution,
        incarnation: int,
    ) -> Dispatch:
        """Build what dispatches the calls of this node's callers."""
        name = self._settings.name
        router = Router(
            Attempts(
                name,
                self._members,
                self._configuration,
                execution,
                self._pool,
                Picker(self._settings.data_centre, random.Random()),
                lambda: self._executor.load,
            ),
            self._configuration,
            self._budgets,
        )
        return KeyedDispatch(
            SuspectDispatch(
                router,
                self._suspects,
                self._designation,
                self._pool,
                execution,
            ),
            ClaimQuorum(lambda: self._claim_links),
            self._records,
            Recall(name, incarnation, self._members, self._pool, self._records),
            self._configuration.key_retention_s,
        )

    async def _start(self) -> None:
        """Join the other nodes, then open the port for callers."""
        settings = self._settings
        await self._telemetry.start()
        await self._gossip.start()
        await self._channels.start(settings.inner.host, settings.inner.port)
        await self._announcements.start(settings.announce)
        if self._readiness is not None:
            await self._readiness.start(settings.ready)
        self._prober.start()
        await wait_until_current(
            self._configuration,
            self._gossip,
            settings.stale_after_s,
        )
        await self._ingress.start(settings.http)

    async def _stop(self) -> None:
        """Finish what is under way, then close all ports."""
        await GracefulStop(
            self._target,
            self._executor,
            self._ingress,
            self._channels,
            self._settings.drain_s,
            self._settings.drain_spread_s,
        ).run()
        await self._prober.stop()
        await self._pool.close()
        await self._executor.close()
        await self._announcements.stop()
        if self._readiness is not None:
            await self._readiness.stop()
        await self._gossip.stop()
        await self._telemetry.stop()

    def _publish(self, announcement: Announcement | None) -> None:
        """Tell the other nodes about the local target."""
        own = self._gossip.own
        self._gossip.update(presence.with_target(own, announcement))


class ControlApp:
    """A control host: replicated configuration and operators' API.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    api : Callable[[ControlHost], Port] | None
        Makes the operators' interface; the project's own where it is None.
    """

    def __init__(
        self,
        settings: ControlSettings,
        api: Callable[[ControlHost], Port] | None = None,
    ) -> None:
        """Keep the parts."""
        self._settings = settings
        self._api = api
        self._gossip: Gossip | None = None

    async def run(self, stopped: asyncio.Event) -> None:
        """Serve until told to stop."""
        from lycheespar.control.api import OperatorApi  # noqa: PLC0415
        from lycheespar.control.host import ControlHost  # noqa: PLC0415

        settings = self._settings
        context = zmq.asyncio.Context()
        host = ControlHost(settings, context)
        api = (self._api or OperatorApi)(host)
        gossip = self._join(host)
        served = self._serve_metrics(host)
        await host.start()
        if gossip is not None:
            await gossip.start()
        if served is not None:
            await served.start(settings.metrics)
        await api.start(settings.http)
        log.info("Control host '{}' serves.", settings.name)
        await stopped.wait()
        await api.stop()
        if served is not None:
            await served.stop()
        if gossip is not None:
            await gossip.stop()
        host.stop()
        context.destroy(linger=0)

    def meet(self, seeds: tuple[Address, ...]) -> None:
        """Take new seeds, as the settings have changed."""
        if self._gossip is not None:
            self._gossip.seeds = _host_ports(seeds)

    def _serve_metrics(self, host: ControlHost) -> Port | None:
        """Return the server of the metrics, if the settings ask for it."""
        if self._settings.metrics is None:
            return None
        from lycheespar.telemetry.exposition import (  # noqa: PLC0415
            MetricsServer,
        )
        from lycheespar.telemetry.metrics import Metrics  # noqa: PLC0415

        metrics = Metrics(self._settings.statsd, self._settings.name)
        metrics.add_gauges(partial(control_gauges, host.group))
        return MetricsServer(metrics)

    def _join(self, host: ControlHost) -> Gossip | None:
        """Become a member among the nodes, if the settings say so.

        So nodes find the control hosts, and these find each other.
        """
        from lycheespar.control.stamps import GroupStamps  # noqa: PLC0415

        settings = self._settings
        if settings.gossip is None:
            return None
        members = MembershipView()
        members.changes.subscribe(host.meet)
        self._gossip = Gossip(
            presence.control_record(settings, host.address, time.time_ns()),
            _host_ports(settings.seeds),
            members,
            GroupStamps(host.group),
            BroadcastTable(),
        )
        return self._gossip


def _host_ports(seeds: tuple[Address, ...]) -> tuple[HostPort, ...]:
    return tuple((seed.host, seed.port) for seed in seeds)
