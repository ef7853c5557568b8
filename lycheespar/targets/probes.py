"""Probes of the local target's load endpoint, within their budget."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

import aiohttp
import msgspec

from lycheespar.membership.records import Phase
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.load import LoadReport, decode_body, decode_headers

# Cost of one probe at the target, counted even if the answer comes sooner.
PROBE_COST_MS: Final = 6
PROBE_TIMEOUT_S: Final = 0.25
LARGEST_ANSWER_BYTES: Final = 4096
# Bytes of a request's and an answer's heads, roughly.
HEAD_BYTES: Final = 300
# While calls end more often than this, they tell enough.
QUIET_S: Final = 1
MS_PER_S: Final = 1000
SHORTEST_POLL_S: Final = 0.1


class ProbeBudget:
    """Token bucket of milliseconds that probes may cost.

    It holds the cost of one probe at most, so that there are no bursts. A
    probe that took long leaves a debt, which is paid off before the next.
    """

    __slots__ = ('_at', '_left_ms', '_rate')

    def __init__(self, now: float) -> None:
        """Start with the cost of one probe and without income."""
        self._at = now
        self._rate = 0.0
        self._left_ms = float(PROBE_COST_MS)

    def configure(self, rate_ms_per_s: float, now: float) -> None:
        """Change the income in milliseconds a second."""
        self._earn(now)
        self._rate = rate_ms_per_s

    def wait_s(self, now: float) -> float:
        """Return the time in seconds until a probe is allowed."""
        self._earn(now)
        missing_ms = PROBE_COST_MS - self._left_ms
        if missing_ms <= 0:
            return 0
        return missing_ms / self._rate if self._rate else float('inf')

    def spend(self, cost_ms: float) -> None:
        """Pay for a probe."""
        self._left_ms -= cost_ms

    def _earn(self, now: float) -> None:
        earned_ms = self._rate * (now - self._at)
        self._left_ms = min(PROBE_COST_MS, self._left_ms + earned_ms)
        self._at = now


class Watched(Protocol):
    """Who wants to know how the target is."""

    @property
    def quiet_s(self) -> float:
        """Seconds since a call last ended."""

    @property
    def probe_budget_ms_per_s(self) -> float:
        """Time that probes may cost, in milliseconds a second."""

    @property
    def load_path(self) -> str:
        """Path of the load endpoint of the service's targets, or empty."""

    def report(self, report: LoadReport) -> None:
        """Take what the target says of its load."""

    def restarted(self) -> None:
        """Take that the target takes no connections."""


class ProbeCounts:
    """What probes have cost so far.

    Attributes
    ----------
    probes, failures : int
        Probes sent, and those without a valid answer.
    cost_ms : float
        Time that was counted against the budget, in milliseconds.
    link_bytes : int
        Bytes on the link to the target.
    """

    __slots__ = ('cost_ms', 'failures', 'link_bytes', 'probes')

    def __init__(self) -> None:
        """Start at zero."""
        self.probes = 0
        self.failures = 0
        self.cost_ms = 0.0
        self.link_bytes = 0


class Prober:
    """Probes the local target while no calls tell how it is.

    Parameters
    ----------
    target : LocalTarget
        The target of this node.
    watched : Watched
        Told what the probes find.
    profile : HeaderProfile
        Names of the headers; where it names one for the load, the target
        tells it there, and is probed also while calls end.
    """

    __slots__ = (
        '_budget',
        '_counts',
        '_profile',
        '_session',
        '_target',
        '_task',
        '_watched',
    )

    def __init__(
        self,
        target: LocalTarget,
        watched: Watched,
        profile: HeaderProfile = DEFAULT_PROFILE,
    ) -> None:
        """Keep the parts; `start` begins to probe."""
        self._profile = profile
        self._target = target
        self._watched = watched
        self._counts = ProbeCounts()
        self._budget = ProbeBudget(asyncio.get_running_loop().time())
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def counts(self) -> ProbeCounts:
        """What the probes have cost so far."""
        return self._counts

    def start(self) -> None:
        """Start to probe."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop and close the connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _run(self) -> None:
        while True:
            url = _load_url(self._target.current, self._watched.load_path)
            wait_s = self._wait_s()
            wanted = self._profile.load or self._watched.quiet_s >= QUIET_S
            if url and not wait_s and wanted:
                await self._probe(url)
            await asyncio.sleep(min(max(wait_s, SHORTEST_POLL_S), QUIET_S))

    def _wait_s(self) -> float:
        now = asyncio.get_running_loop().time()
        self._budget.configure(self._watched.probe_budget_ms_per_s, now)
        return self._budget.wait_s(now)

    async def _probe(self, url: str) -> None:
        """Send one probe and pay for it."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        self._counts.probes += 1
        try:
            report = await self._fetch(url)
        except aiohttp.ClientConnectorError:
            self._counts.failures += 1
            self._watched.restarted()
        except (aiohttp.ClientError, OSError, msgspec.DecodeError):
            self._counts.failures += 1
        else:
            self._watched.report(report)
        finally:
            cost_ms = (loop.time() - began_at) * MS_PER_S
            self._pay(max(cost_ms, PROBE_COST_MS))

    def _pay(self, cost_ms: float) -> None:
        self._budget.spend(cost_ms)
        self._counts.cost_ms += cost_ms

    async def _fetch(self, url: str) -> LoadReport:
        if self._session is None:
            self._session = _open_session()
        self._counts.link_bytes += HEAD_BYTES
        async with self._session.get(url, allow_redirects=False) as response:
            body = await response.content.read(LARGEST_ANSWER_BYTES)
            self._counts.link_bytes += len(body)
            if self._profile.load:
                return decode_headers(response.headers, self._profile)
        return decode_body(body)


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
    )


def _load_url(announced: Announcement | None, service_path: str) -> str:
    """Return the URL of the load endpoint, empty where none is probed."""
    if announced is None:
        return ''
    path = announced.load_path or service_path
    if not path:
        return ''
    if announced.state not in {Phase.cold, Phase.ready}:
        return ''
    return f'http://{announced.address}{path}'
