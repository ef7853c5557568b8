"""Serves the metrics of a process as text, in the Prometheus format."""

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

from lycheespar.config.options import Address
from lycheespar.telemetry.metrics import (
    BUCKETS_MS,
    PREFIX,
    Key,
    LatencyBuckets,
    Metrics,
)

PATH: Final = '/metrics'
# What tells the members of each family apart.
_LABELS: Final = {
    'call': ('service', 'class', 'outcome'),
    'target': ('outcome',),
}
_LATENCY_LABELS: Final = ('service', 'class')
_CONTENT_TYPE: Final = 'text/plain'

log = logger.bind(part='telemetry')


class _Collector:
    """Turns the metrics into families when they are asked for."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all families."""
        totals = sorted(self._metrics.totals.items())
        for family, members in itertools.groupby(totals, _family):
            yield _counters(family, members)
        yield _latencies(self._metrics.buckets)
        for name, reading in self._metrics.gauges().items():
            plain = name.replace('.', '_')
            yield GaugeMetricFamily(f'{PREFIX}_{plain}', name, value=reading)


class MetricsServer:
    """Answers ``GET /metrics``.

    Parameters
    ----------
    metrics : Metrics
        Metrics of this process.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Keep the metrics; `start` opens the port."""
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(_Collector(metrics))
        self._runner = web.ServerRunner(web.Server(self._handle))

    async def start(self, address: Address) -> None:
        """Listen on an address; without it the process serves all the same."""
        await self._runner.setup()
        try:
            site = web.TCPSite(self._runner, address.host, address.port)
            await site.start()
        except OSError as error:
            log.error("No metrics at '{}': {}.", address, error)

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


def _family(member: tuple[Key, int]) -> str:
    return member[0][0]


def _counters(
    family: str,
    members: Iterable[tuple[Key, int]],
) -> CounterMetricFamily:
    labels = _LABELS.get(family, ())
    counted = CounterMetricFamily(f'{PREFIX}_{family}', family, labels=labels)
    for key, total in members:
        counted.add_metric(key[1:], total)
    return counted


def _latencies(
    buckets: dict[Key, LatencyBuckets],
) -> HistogramMetricFamily:
    family = HistogramMetricFamily(
        f'{PREFIX}_call_latency_ms',
        'Time until the head of the answer, in milliseconds',
        labels=_LATENCY_LABELS,
    )
    bounds = (*map(str, BUCKETS_MS), '+Inf')
    for key, found in buckets.items():
        cumulated = itertools.accumulate(found.counts)
        family.add_metric(
            key[1:3],
            list(zip(bounds, cumulated, strict=True)),
            found.sum_ms,
        )
    return family
