"""Probes the load endpoint of the local target within a time budget."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

import aiohttp
import msgspec
from multidict import CIMultiDict

from lycheespar.background import start_background
from lycheespar.membership.records import Phase
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.connection import StrictConnector
from lycheespar.targets.headers import decode_values
from lycheespar.targets.load import LoadReport, decode_body, decode_headers

# Estimated cost of a probe at the target in milliseconds, which is charged even
# if the probe is answered sooner.
MIN_PROBE_COST_MS: Final = 6
# Time in seconds after which a probe without a response fails.
PROBE_TIMEOUT_S: Final = 0.25
# Maximum bytes of a response body that are read.
MAX_RESPONSE_BYTES: Final = 4096
# Estimated bytes of the heads of a probe and its response.
ESTIMATED_HEAD_BYTES: Final = 300
# Time in seconds without an ended call after which the target is probed. Calls
# that end more often show its state well enough.
QUIET_PERIOD_S: Final = 1
MS_PER_S: Final = 1000
# Minimum time in seconds between two checks whether a probe is due.
MIN_POLL_INTERVAL_S: Final = 0.1


class ProbeBudget:
    """Token bucket that limits the time spent on probes, in milliseconds.

    Its capacity is the estimated cost of one probe, so that there are no
    bursts. A probe that takes longer makes the balance negative, which delays
    the next one.
    """

    __slots__ = ('_balance_ms', '_rate', '_refilled_at')

    def __init__(self, now: float) -> None:
        """Create a full bucket with a refill rate of zero."""
        self._refilled_at = now
        self._rate = 0.0
        self._balance_ms = float(MIN_PROBE_COST_MS)

    def adjust_rate(self, rate_ms_per_s: float, now: float) -> None:
        """Set the refill rate in milliseconds per second."""
        self._refill(now)
        self._rate = rate_ms_per_s

    def wait_s(self, now: float) -> float:
        """Return the time in seconds until the next probe is allowed."""
        self._refill(now)
        missing_ms = MIN_PROBE_COST_MS - self._balance_ms
        if missing_ms <= 0:
            return 0
        return missing_ms / self._rate if self._rate else float('inf')

    def spend(self, cost_ms: float) -> None:
        """Deduct the cost of a probe."""
        self._balance_ms -= cost_ms

    def _refill(self, now: float) -> None:
        refilled_ms = self._rate * (now - self._refilled_at)
        self._balance_ms = min(
            MIN_PROBE_COST_MS, self._balance_ms + refilled_ms
        )
        self._refilled_at = now


class ProbeOwner(Protocol):
    """Owner of a prober: parameters of the probes, handlers of results."""

    @property
    def idle_s(self) -> float:
        """Time in seconds since the end of the last call."""

    @property
    def probe_budget_ms_per_s(self) -> float:
        """Time that may be spent on probes, in milliseconds per second."""

    @property
    def load_path(self) -> str:
        """Path of the load endpoint of the service's targets; may be empty."""

    def record_load_report(self, report: LoadReport) -> None:
        """Handle a load report of the target."""

    def begin_cold_start(self) -> None:
        """Handle a failure to connect, as the target may have restarted."""


class ProbeCounts:
    """Counters of probes and of their cost.

    Attributes
    ----------
    probes, failures : int
        Probes sent, and probes without a valid response.
    cost_ms : float
        Time deducted from the budget, in milliseconds.
    link_bytes : int
        Estimated bytes on the link to the target.
    """

    __slots__ = ('cost_ms', 'failures', 'link_bytes', 'probes')

    def __init__(self) -> None:
        """Start all counters at zero."""
        self.probes = 0
        self.failures = 0
        self.cost_ms = 0.0
        self.link_bytes = 0


class Prober:
    """Probes the local target while no recent calls show its state.

    Parameters
    ----------
    target : LocalTarget
        The target of this node.
    owner : ProbeOwner
        Sets the parameters of the probes and receives their results.
    profile : HeaderProfile
        Names of the headers. If it names a header for the load, the load is
        read from this header and the target is also probed while calls end.
    """

    __slots__ = (
        '_budget',
        '_counts',
        '_owner',
        '_profile',
        '_session',
        '_target',
        '_task',
    )

    def __init__(
        self,
        target: LocalTarget,
        owner: ProbeOwner,
        profile: HeaderProfile = DEFAULT_PROFILE,
    ) -> None:
        """Create a stopped prober; `start` begins to probe."""
        self._profile = profile
        self._target = target
        self._owner = owner
        self._counts = ProbeCounts()
        self._budget = ProbeBudget(asyncio.get_running_loop().time())
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def counts(self) -> ProbeCounts:
        """Counters of the probes sent so far."""
        return self._counts

    def start(self) -> None:
        """Start the task that probes the target."""
        self._task = start_background('probes', self._run)

    async def stop(self) -> None:
        """Stop probing and close the connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _run(self) -> None:
        while True:
            url = _load_url(self._target.current, self._owner.load_path)
            wait_s = self._budget_wait_s()
            wanted = self._profile.load or self._owner.idle_s >= QUIET_PERIOD_S
            if url and not wait_s and wanted:
                await self._probe(url)
            await asyncio.sleep(
                min(max(wait_s, MIN_POLL_INTERVAL_S), QUIET_PERIOD_S)
            )

    def _budget_wait_s(self) -> float:
        now = asyncio.get_running_loop().time()
        self._budget.adjust_rate(self._owner.probe_budget_ms_per_s, now)
        return self._budget.wait_s(now)

    async def _probe(self, url: str) -> None:
        """Send one probe and charge its cost."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._counts.probes += 1
        try:
            report = await self._fetch(url)
        except aiohttp.ClientConnectorError:
            self._counts.failures += 1
            self._owner.begin_cold_start()
        except (aiohttp.ClientError, OSError, msgspec.DecodeError):
            self._counts.failures += 1
        else:
            self._owner.record_load_report(report)
        finally:
            cost_ms = (loop.time() - started_at) * MS_PER_S
            self._charge(max(cost_ms, MIN_PROBE_COST_MS))

    def _charge(self, cost_ms: float) -> None:
        self._budget.spend(cost_ms)
        self._counts.cost_ms += cost_ms

    async def _fetch(self, url: str) -> LoadReport:
        if self._session is None:
            self._session = _open_session()
        self._counts.link_bytes += ESTIMATED_HEAD_BYTES
        async with self._session.get(url, allow_redirects=False) as response:
            body = await response.content.read(MAX_RESPONSE_BYTES)
            self._counts.link_bytes += len(body)
            if self._profile.load:
                headers = CIMultiDict(decode_values(response.headers.items()))
                return decode_headers(headers, self._profile)
        return decode_body(body)


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=StrictConnector(limit=1),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
    )


def _load_url(announcement: Announcement | None, service_path: str) -> str:
    """Return the URL of the load endpoint; empty if it is not probed."""
    if announcement is None:
        return ''
    path = announcement.load_path or service_path
    if not path:
        return ''
    if announcement.membership_phase not in {Phase.cold, Phase.ready}:
        return ''
    return f'http://{announcement.address}{path}'
