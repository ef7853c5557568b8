"""Adds metrics and traces to a node if the settings enable them.

Disabled metrics or traces cost nothing: components are returned unchanged, and
the libraries are imported only if the settings need them.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from lycheespar.call import Dispatch, Execution
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.protocol.messages import Hello
from lycheespar.routing.pool import ChannelPool
from lycheespar.settings.definitions import NodeSettings
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import TargetClient

if TYPE_CHECKING:
    from lycheespar.settings.options import Address
    from lycheespar.telemetry.exposition import MetricsServer
    from lycheespar.telemetry.metrics import GaugeSource, Metrics
    from lycheespar.telemetry.traces import Tracer


class Telemetry:
    """Metrics and traces of one node.

    Parameters
    ----------
    settings : NodeSettings
        Settings that enable metrics and traces.
    profile : HeaderProfile
        Names of the HTTP headers, for target clients.
    """

    __slots__ = ('_address', '_metrics', '_profile', '_server', '_tracer')

    def __init__(
        self,
        settings: NodeSettings,
        profile: HeaderProfile = DEFAULT_PROFILE,
    ) -> None:
        """Create the metrics and the tracer that are enabled."""
        self._profile = profile
        self._address: Address | None = settings.metrics
        self._server: MetricsServer | None = None
        self._metrics = _new_metrics(settings)
        self._tracer = _new_tracer(settings)

    def wrap_dispatch(self, dispatch: Dispatch) -> Dispatch:
        """Wrap a dispatch to count its calls and start their traces."""
        if self._metrics is not None:
            from lycheespar.telemetry.observed import (  # noqa: PLC0415
                ObservedDispatch,
            )

            dispatch = ObservedDispatch(dispatch, self._metrics)
        if self._tracer is not None:
            from lycheespar.telemetry.traces import (  # noqa: PLC0415
                TracedDispatch,
            )

            dispatch = TracedDispatch(dispatch, self._tracer)
        return dispatch

    def wrap_execution(self, execution: Execution) -> Execution:
        """Wrap the execution at this node's target to count and trace calls."""
        if self._metrics is not None:
            from lycheespar.telemetry.observed import (  # noqa: PLC0415
                ObservedExecution,
            )

            execution = ObservedExecution(execution, self._metrics)
        return self.trace_hop('admission', execution)

    def trace_hop(self, hop: str, execution: Execution) -> Execution:
        """Wrap an execution to record a span for each traced call."""
        if self._tracer is None:
            return execution
        from lycheespar.telemetry.traces import (  # noqa: PLC0415
            TracedExecution,
        )

        return TracedExecution(hop, execution, self._tracer)

    def new_channel_pool(self, hello: Hello, source: str) -> ChannelPool:
        """Create a channel pool, with tracing if it is enabled."""
        if self._tracer is None:
            return ChannelPool(hello, source)
        from lycheespar.telemetry.hops import TracedPool  # noqa: PLC0415

        return TracedPool(hello, source, self._tracer)

    def new_target_client(self, announcement: Announcement) -> TargetClient:
        """Create a client of a target, with tracing if it is enabled."""
        if self._tracer is None:
            return TargetClient(announcement, self._profile)
        from lycheespar.telemetry.hops import (  # noqa: PLC0415
            TracedTargetClient,
        )

        return TracedTargetClient(announcement, self._tracer, self._profile)

    def add_gauges(self, source: GaugeSource) -> None:
        """Add a source of gauges, which is called for each report."""
        if self._metrics is not None:
            self._metrics.add_gauges(source)

    async def start(self) -> None:
        """Start to send and to serve the metrics that are enabled."""
        if self._metrics is None:
            return
        self._metrics.start()
        if self._address is not None:
            from lycheespar.telemetry.exposition import (  # noqa: PLC0415
                MetricsServer,
            )

            self._server = MetricsServer(self._metrics)
            await self._server.start(self._address)

    async def stop(self) -> None:
        """Send the last metrics and write the last spans."""
        if self._server is not None:
            await self._server.stop()
        if self._metrics is not None:
            self._metrics.stop()
        if self._tracer is not None:
            self._tracer.stop()


def _new_metrics(settings: NodeSettings) -> Metrics | None:
    if settings.statsd is None and settings.metrics is None:
        return None
    from lycheespar.telemetry.metrics import Metrics  # noqa: PLC0415

    return Metrics(settings.statsd, settings.name)


def _new_tracer(settings: NodeSettings) -> Tracer | None:
    if settings.trace_file is None:
        return None
    from lycheespar.telemetry.traces import Tracer  # noqa: PLC0415

    path = Path(settings.trace_file)
    return Tracer(settings.name, settings.trace_share, path)
