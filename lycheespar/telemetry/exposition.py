"""HTTP endpoint with the metrics of a process in the Prometheus format."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator
from typing import Final

from aiohttp import web
from loguru import logger
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from lycheespar.http_limits.limits import port_limits
from lycheespar.http_limits.server import BoundedServer
from lycheespar.settings.options import Address
from lycheespar.telemetry.metrics import (
    BUCKETS_MS,
    PREFIX,
    LatencyBuckets,
    MetricKey,
    Metrics,
)

PATH: Final = '/metrics'
# Label names of each family of counters.
_COUNTER_LABELS: Final = {
    'call': ('service', 'class', 'outcome'),
    'target': ('outcome',),
}
_LATENCY_LABELS: Final = ('service', 'class')
_CONTENT_TYPE: Final = 'text/plain'

log = logger.bind(part='telemetry')


class _Collector:
    """Converts the metrics to Prometheus families for each request."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families."""
        totals = sorted(self._metrics.totals.items())
        for family, counters in itertools.groupby(totals, _family_name):
            yield _counter_family(family, counters)
        yield _latency_family(self._metrics.buckets)
        for name, value in self._metrics.gauges().items():
            plain_name = name.replace('.', '_')
            yield GaugeMetricFamily(
                f'{PREFIX}_{plain_name}',
                name,
                value=value,
            )


class MetricsServer:
    """HTTP server for ``GET /metrics``.

    Parameters
    ----------
    metrics : Metrics
        Metrics of this process.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Create a stopped server; `start` opens the port."""
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(_Collector(metrics))
        self._runner = web.ServerRunner(
            BoundedServer(self._handle, port_limits())
        )

    async def start(self, address: Address) -> None:
        """Listen on an address.

        If that fails, an error is logged and the process runs without this
        server.
        """
        await self._runner.setup()
        try:
            site = web.TCPSite(self._runner, address.host, address.port)
            await site.start()
        except OSError as error:
            log.error(
                "The metrics server can't listen on '{}': {}.",
                address,
                error,
            )

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path != PATH:
            return web.Response(status=404)
        return web.Response(
            body=generate_latest(self._registry),
            content_type=_CONTENT_TYPE,
        )


def _family_name(counter: tuple[MetricKey, int]) -> str:
    return counter[0][0]


def _counter_family(
    name: str,
    counters: Iterable[tuple[MetricKey, int]],
) -> CounterMetricFamily:
    labels = _COUNTER_LABELS.get(name, ())
    family = CounterMetricFamily(f'{PREFIX}_{name}', name, labels=labels)
    for key, total in counters:
        family.add_metric(key[1:], total)
    return family


def _latency_family(
    buckets: dict[MetricKey, LatencyBuckets],
) -> HistogramMetricFamily:
    family = HistogramMetricFamily(
        f'{PREFIX}_call_latency_ms',
        'Time until the head of the answer, in milliseconds',
        labels=_LATENCY_LABELS,
    )
    bounds = (*map(str, BUCKETS_MS), '+Inf')
    for key, latencies in buckets.items():
        cumulative = itertools.accumulate(latencies.counts)
        family.add_metric(
            key[1:3],
            list(zip(bounds, cumulative, strict=True)),
            latencies.sum_ms,
        )
    return family
