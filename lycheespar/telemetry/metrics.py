"""Metrics: aggregated in memory, sent to a statsd server in batches."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Final

import statsd
from hdrh.histogram import HdrHistogram

from lycheespar.config.options import Address

FLUSH_PERIOD_S: Final = 1
PREFIX: Final = 'lycheespar'
MAX_LATENCY_US: Final = 600_000_000
_US_PER_MS: Final = 1000
_DIGITS: Final = 2
_PERCENTILES: Final = (50, 99)
_NOT_IN_NAMES: Final = str.maketrans(dict.fromkeys('.:/|@ ', '_'))

Gauges = Callable[[], dict[str, float]]


def metric_name(*parts: str) -> str:
    """Join parts to a metric's name; separators within parts become ``_``."""
    return '.'.join(part.translate(_NOT_IN_NAMES) for part in parts)


class Metrics:
    """Counters and latencies of one process.

    Parameters
    ----------
    server : Address
        Address of the statsd server.
    process : str
        Identity of this process, part of each name.
    """

    __slots__ = ('_client', '_counters', '_latencies', '_sources', '_task')

    def __init__(self, server: Address, process: str) -> None:
        """Start empty; `start` begins to send."""
        self._client = statsd.StatsClient(
            server.host,
            server.port,
            prefix=f'{PREFIX}.{metric_name(process)}',
        )
        self._counters: Counter[str] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}
        self._sources: list[Gauges] = []
        self._task: asyncio.Task[None] | None = None

    def increment(self, name: str, amount: int = 1) -> None:
        """Count events."""
        self._counters[name] += amount

    def observe(self, name: str, latency_ms: float) -> None:
        """Take one latency in milliseconds."""
        histogram = self._latencies.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_US, _DIGITS)
            self._latencies[name] = histogram
        latency_us = max(1, int(latency_ms * _US_PER_MS))
        histogram.record_value(min(latency_us, MAX_LATENCY_US))

    def add_gauges(self, source: Gauges) -> None:
        """Read gauges from a source before each batch."""
        self._sources.append(source)

    def start(self) -> None:
        """Begin to send a batch in each period."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Send the last batch."""
        if self._task is not None:
            self._task.cancel()
        self.flush()
        self._client.close()

    def flush(self) -> None:
        """Send what was gathered since the last batch."""
        with self._client.pipeline() as batch:
            for name, amount in self._counters.items():
                batch.incr(name, amount)
            for name, reading in self._gauges().items():
                batch.gauge(name, reading)
        self._counters.clear()
        self._latencies.clear()

    def _gauges(self) -> dict[str, float]:
        latencies = {
            f'{name}.p{share}_ms': (
                histogram.get_value_at_percentile(share) / _US_PER_MS
            )
            for name, histogram in self._latencies.items()
            for share in _PERCENTILES
        }
        readings = {
            name: reading
            for source in self._sources
            for name, reading in source().items()
        }
        return latencies | readings

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()
