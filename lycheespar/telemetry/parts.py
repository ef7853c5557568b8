"""Puts metrics and traces around the parts of a node, where they are on.

What is off costs nothing: parts are handed back as they are, and libraries are
imported only where the settings ask for them.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from lycheespar.call import Dispatch, Execution
from lycheespar.config.settings import NodeSettings
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.protocol.messages import Hello
from lycheespar.routing.pool import ChannelPool
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import TargetClient

if TYPE_CHECKING:
    from lycheespar.config.options import Address
    from lycheespar.telemetry.exposition import MetricsServer
    from lycheespar.telemetry.metrics import Gauges, Metrics
    from lycheespar.telemetry.traces import Tracer


class Telemetry:
    """Metrics and traces of one node.

    Parameters
    ----------
    settings : NodeSettings
        Say what is on.
    profile : HeaderProfile
        Names of the headers.
    """

    __slots__ = ('_address', '_metrics', '_profile', '_server', '_tracer')

    def __init__(
        self,
        settings: NodeSettings,
        profile: HeaderProfile = DEFAULT_PROFILE,
    ) -> None:
        """Build what is on."""
        self._profile = profile
        self._address: Address | None = settings.metrics
        self._server: MetricsServer | None = None
        self._metrics = _metrics(settings)
        self._tracer = _tracer(settings)

    def around_dispatch(self, dispatch: Dispatch) -> Dispatch:
        """Count the calls of this node's callers, and begin their traces."""
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

    def around_execution(self, execution: Execution) -> Execution:
        """Count the calls that reach the own target, and trace them."""
        if self._metrics is not None:
            from lycheespar.telemetry.observed import (  # noqa: PLC0415
                ObservedExecution,
            )

            execution = ObservedExecution(execution, self._metrics)
        return self.traced('admission', execution)

    def traced(self, hop: str, execution: Execution) -> Execution:
        """Give one hop of traced calls a span."""
        if self._tracer is None:
            return execution
        from lycheespar.telemetry.traces import (  # noqa: PLC0415
            TracedExecution,
        )

        return TracedExecution(hop, execution, self._tracer)

    def pool(self, hello: Hello, source: str) -> ChannelPool:
        """Return a pool of channels, which trace if traces are on."""
        if self._tracer is None:
            return ChannelPool(hello, source)
        from lycheespar.telemetry.hops import TracedPool  # noqa: PLC0415

        return TracedPool(hello, source, self._tracer)

    def connect(self, announcement: Announcement) -> TargetClient:
        """Return a client of a target, which traces if traces are on."""
        if self._tracer is None:
            return TargetClient(announcement, self._profile)
        from lycheespar.telemetry.hops import (  # noqa: PLC0415
            TracedTargetClient,
        )

        return TracedTargetClient(announcement, self._tracer, self._profile)

    def add_gauges(self, source: Gauges) -> None:
        """Read gauges from a source before each batch."""
        if self._metrics is not None:
            self._metrics.add_gauges(source)

    async def start(self) -> None:
        """Begin to send and to serve metrics."""
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


def _metrics(settings: NodeSettings) -> Metrics | None:
    if settings.statsd is None and settings.metrics is None:
        return None
    from lycheespar.telemetry.metrics import Metrics  # noqa: PLC0415

    return Metrics(settings.statsd, settings.name)


def _tracer(settings: NodeSettings) -> Tracer | None:
    if settings.trace_file is None:
        return None
    from lycheespar.telemetry.traces import Tracer  # noqa: PLC0415

    path = Path(settings.trace_file)
    return Tracer(settings.name, settings.trace_share, path)
