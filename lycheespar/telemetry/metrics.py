"""Counters, latencies and gauges of a process.

They are sent to a statsd server in batches and read by the metrics server.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from lycheespar.background import start_background
from lycheespar.settings.options import Address

if TYPE_CHECKING:
    import statsd
    from hdrh.histogram import HdrHistogram

FLUSH_PERIOD_S: Final = 1
PREFIX: Final = 'lycheespar'
# Upper bound of the latencies recorded for percentiles, in microseconds.
MAX_LATENCY_US: Final = 600_000_000
# Upper bounds of the latency buckets in milliseconds. A typical objective of a
# caller spans several buckets.
BUCKETS_MS: Final = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
_US_PER_MS: Final = 1000
# Significant decimal digits of the recorded latencies.
_PRECISION: Final = 2
_PERCENTILES: Final = (50, 99)
# Replaces characters that are separators in the formats of the metrics.
_SEPARATOR_REPLACEMENTS: Final = str.maketrans(dict.fromkeys('.:/|@ ', '_'))

# Returns the current values of gauges by name.
GaugeSource = Callable[[], dict[str, float]]
# Name of a family of metrics, followed by label values. Keys of latencies end
# with "latency", which is part of the statsd name only.
MetricKey = tuple[str, ...]


def metric_name(*parts: str) -> str:
    """Join parts to a metric name; separators within parts become ``_``."""
    return '.'.join(part.translate(_SEPARATOR_REPLACEMENTS) for part in parts)


class LatencyBuckets:
    """Histogram of the latencies since the start of the process.

    Attributes
    ----------
    counts : list[int]
        Number of latencies in each bucket of `BUCKETS_MS`, and above the last
        bound.
    sum_ms : float
        Sum of all latencies in milliseconds.
    """

    __slots__ = ('counts', 'sum_ms')

    def __init__(self) -> None:
        """Create a histogram without latencies."""
        self.counts = [0 for _ in (*BUCKETS_MS, MAX_LATENCY_US)]
        self.sum_ms = 0.0

    def add(self, latency_ms: float) -> None:
        """Add one latency in milliseconds."""
        self.counts[bisect_left(BUCKETS_MS, latency_ms)] += 1
        self.sum_ms += latency_ms


class Metrics:
    """Counters, latencies and gauges of one process.

    Parameters
    ----------
    server : Address | None
        Address of the statsd server; nothing is sent if it is None.
    process : str
        Identity of this process, part of each metric name sent to statsd.

    Attributes
    ----------
    totals : Counter[MetricKey]
        Counters since the start.
    buckets : dict[MetricKey, LatencyBuckets]
        Latencies since the start.
    """

    __slots__ = (
        '_client',
        '_flush_task',
        '_gauge_sources',
        '_unsent_counters',
        '_unsent_latencies',
        'buckets',
        'totals',
    )

    def __init__(self, server: Address | None, process: str) -> None:
        """Create empty metrics; `start` begins to send them."""
        self._client = (
            None if server is None else _new_statsd_client(server, process)
        )
        self.totals: Counter[MetricKey] = Counter()
        self.buckets: dict[MetricKey, LatencyBuckets] = {}
        self._unsent_counters: Counter[MetricKey] = Counter()
        self._unsent_latencies: dict[MetricKey, HdrHistogram] = {}
        self._gauge_sources: list[GaugeSource] = []
        self._flush_task: asyncio.Task[None] | None = None

    def increment(self, *key: str, amount: int = 1) -> None:
        """Increase a counter."""
        self.totals[key] += amount
        if self._client is not None:
            self._unsent_counters[key] += amount

    def observe(self, *key: str, latency_ms: float) -> None:
        """Record one latency in milliseconds."""
        buckets = self.buckets.get(key)
        if buckets is None:
            buckets = LatencyBuckets()
            self.buckets[key] = buckets
        buckets.add(latency_ms)
        if self._client is None:
            return
        histogram = self._unsent_latencies.get(key)
        if histogram is None:
            histogram = _new_histogram()
            self._unsent_latencies[key] = histogram
        latency_us = max(1, int(latency_ms * _US_PER_MS))
        histogram.record_value(min(latency_us, MAX_LATENCY_US))

    def add_gauges(self, source: GaugeSource) -> None:
        """Add a source of gauges, which is called for each report."""
        self._gauge_sources.append(source)

    def gauges(self) -> dict[str, float]:
        """Return the current values of all gauges by name."""
        return {
            name: value
            for source in self._gauge_sources
            for name, value in source().items()
        }

    def start(self) -> None:
        """Start to send a batch to statsd every `FLUSH_PERIOD_S` seconds."""
        if self._client is not None:
            self._flush_task = start_background(
                'metrics', self._flush_periodically
            )

    def stop(self) -> None:
        """Send the last batch and close the statsd client."""
        if self._flush_task is not None:
            self._flush_task.cancel()
        self.flush()
        if self._client is not None:
            self._client.close()

    def flush(self) -> None:
        """Send the gauges and everything recorded since the last batch."""
        if self._client is None:
            return
        with self._client.pipeline() as batch:
            for key, amount in self._unsent_counters.items():
                batch.incr(metric_name(*key), amount)
            for name, value in (self._percentiles() | self.gauges()).items():
                batch.gauge(name, value)
        self._unsent_counters.clear()
        self._unsent_latencies.clear()

    def _percentiles(self) -> dict[str, float]:
        return {
            f'{metric_name(*key)}.p{percentile}_ms': (
                histogram.get_value_at_percentile(percentile) / _US_PER_MS
            )
            for key, histogram in self._unsent_latencies.items()
            for percentile in _PERCENTILES
        }

    async def _flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()


def _new_statsd_client(server: Address, process: str) -> statsd.StatsClient:
    import statsd  # noqa: PLC0415

    return statsd.StatsClient(
        server.host,
        server.port,
        prefix=f'{PREFIX}.{metric_name(process)}',
    )


def _new_histogram() -> HdrHistogram:
    from hdrh.histogram import HdrHistogram  # noqa: PLC0415

    return HdrHistogram(1, MAX_LATENCY_US, _PRECISION)
