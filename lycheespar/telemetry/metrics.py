"""Metrics: counted in memory, sent to statsd in batches, read as text."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from lycheespar.config.options import Address

if TYPE_CHECKING:
    import statsd
    from hdrh.histogram import HdrHistogram

FLUSH_PERIOD_S: Final = 1
PREFIX: Final = 'lycheespar'
MAX_LATENCY_US: Final = 600_000_000
# Upper bounds of the latency buckets in milliseconds: a caller's objective is
# a few of them.
BUCKETS_MS: Final = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
_US_PER_MS: Final = 1000
_DIGITS: Final = 2
_PERCENTILES: Final = (50, 99)
_NOT_IN_NAMES: Final = str.maketrans(dict.fromkeys('.:/|@ ', '_'))

Gauges = Callable[[], dict[str, float]]
# Name of a family of counters, and what tells its members apart.
Key = tuple[str, ...]


def metric_name(*parts: str) -> str:
    """Join parts to a metric's name; separators within parts become ``_``."""
    return '.'.join(part.translate(_NOT_IN_NAMES) for part in parts)


class LatencyBuckets:
    """Latencies since the start, counted in buckets.

    Attributes
    ----------
    counts : list[int]
        Latencies in each bucket of `BUCKETS_MS`, and above the last.
    sum_ms : float
        Sum of all latencies in milliseconds.
    """

    __slots__ = ('counts', 'sum_ms')

    def __init__(self) -> None:
        """Start empty."""
        self.counts = [0 for _ in (*BUCKETS_MS, MAX_LATENCY_US)]
        self.sum_ms = 0.0

    def add(self, latency_ms: float) -> None:
        """Count one latency."""
        self.counts[bisect_left(BUCKETS_MS, latency_ms)] += 1
        self.sum_ms += latency_ms


class Metrics:
    """Counters and latencies of one process.

    Parameters
    ----------
    server : Address | None
        Address of the statsd server; nothing is sent without one.
    process : str
        Identity of this process, part of each name that is sent.

    Attributes
    ----------
    totals : Counter[Key]
        Events since the start.
    buckets : dict[Key, LatencyBuckets]
        Latencies since the start.
    """

    __slots__ = (
        '_client',
        '_counters',
        '_latencies',
        '_sources',
        '_task',
        'buckets',
        'totals',
    )

    def __init__(self, server: Address | None, process: str) -> None:
        """Start empty; `start` begins to send."""
        self._client = None if server is None else _client(server, process)
        self.totals: Counter[Key] = Counter()
        self.buckets: dict[Key, LatencyBuckets] = {}
        self._counters: Counter[Key] = Counter()
        self._latencies: dict[Key, HdrHistogram] = {}
        self._sources: list[Gauges] = []
        self._task: asyncio.Task[None] | None = None

    def increment(self, *key: str, amount: int = 1) -> None:
        """Count events."""
        self.totals[key] += amount
        if self._client is not None:
            self._counters[key] += amount

    def observe(self, *key: str, latency_ms: float) -> None:
        """Take one latency in milliseconds."""
        known = self.buckets.get(key)
        if known is None:
            known = LatencyBuckets()
            self.buckets[key] = known
        known.add(latency_ms)
        if self._client is None:
            return
        histogram = self._latencies.get(key)
        if histogram is None:
            histogram = _histogram()
            self._latencies[key] = histogram
        latency_us = max(1, int(latency_ms * _US_PER_MS))
        histogram.record_value(min(latency_us, MAX_LATENCY_US))

    def add_gauges(self, source: Gauges) -> None:
        """Read gauges from a source when they are needed."""
        self._sources.append(source)

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name, read now."""
        return {
            name: reading
            for source in self._sources
            for name, reading in source().items()
        }

    def start(self) -> None:
        """Begin to send a batch in each period."""
        if self._client is not None:
            self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Send the last batch."""
        if self._task is not None:
            self._task.cancel()
        self.flush()
        if self._client is not None:
            self._client.close()

    def flush(self) -> None:
        """Send what was gathered since the last batch."""
        if self._client is None:
            return
        with self._client.pipeline() as batch:
            for key, amount in self._counters.items():
                batch.incr(metric_name(*key), amount)
            for name, reading in (self._percentiles() | self.gauges()).items():
                batch.gauge(name, reading)
        self._counters.clear()
        self._latencies.clear()

    def _percentiles(self) -> dict[str, float]:
        return {
            f'{metric_name(*key)}.p{share}_ms': (
                histogram.get_value_at_percentile(share) / _US_PER_MS
            )
            for key, histogram in self._latencies.items()
            for share in _PERCENTILES
        }

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()


def _client(server: Address, process: str) -> statsd.StatsClient:
    import statsd  # noqa: PLC0415

    return statsd.StatsClient(
        server.host,
        server.port,
        prefix=f'{PREFIX}.{metric_name(process)}',
    )


def _histogram() -> HdrHistogram:
    from hdrh.histogram import HdrHistogram  # noqa: PLC0415

    return HdrHistogram(1, MAX_LATENCY_US, _DIGITS)
