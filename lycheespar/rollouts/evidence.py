"""Evidence on a version: outcomes and latencies of the calls at its targets."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Final

import msgspec

from lycheespar.call import Answer, Call, Load
from lycheespar.errors import (
    DeadlineExceededError,
    InvalidAnswerError,
    TargetLostError,
)
from lycheespar.targets.announcement import Announcement, LocalTarget

if TYPE_CHECKING:
    from lycheespar.targets.client import Client

# Answers from this HTTP status on count as failures.
MIN_FAILURE_STATUS: Final = 500
# Statuses with which targets refuse a call; these are no failures of a version.
REFUSAL_STATUSES: Final = frozenset((503,))
# Ratio of the bounds of adjacent buckets of latencies; the first is 1 ms.
BUCKET_RATIO: Final = 1.25
MS_PER_S: Final = 1000

Histogram = dict[int, int]


class RouteEvidence(msgspec.Struct, array_like=True):
    """Calls of one route at one target since the evidence began.

    Attributes
    ----------
    failures : int
        Calls that failed.
    answered : Histogram
        Numbers of answers by bucket of their latency.
    abandoned : Histogram
        Numbers of calls without an answer until their deadline, or until
        their caller left, by bucket of the time until then.
    """

    failures: int = 0
    answered: Histogram = {}
    abandoned: Histogram = {}

    def minus(self, earlier: RouteEvidence) -> RouteEvidence:
        """Return what has been added since an earlier count."""
        return RouteEvidence(
            self.failures - earlier.failures,
            dict(Counter(self.answered) - Counter(earlier.answered)),
            dict(Counter(self.abandoned) - Counter(earlier.abandoned)),
        )

    def plus(self, other: RouteEvidence) -> RouteEvidence:
        """Return the sum of two counts."""
        return RouteEvidence(
            self.failures + other.failures,
            dict(Counter(self.answered) + Counter(other.answered)),
            dict(Counter(self.abandoned) + Counter(other.abandoned)),
        )


class TargetEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Calls at one target, as totals since the evidence began.

    Attributes
    ----------
    node : str
        Node beside the target.
    start : str
        Identifies one start of the target at one start of the node; totals
        begin anew with each.
    sequence : int
        Number of the report, which grows with each.
    service, version : str
        Service and version of the target.
    routes : dict[str, RouteEvidence]
        Totals by route.
    """

    node: str
    start: str
    sequence: int
    service: str
    version: str
    routes: dict[str, RouteEvidence] = {}


def bucket_of(latency_ms: float) -> int:
    """Return the bucket of a latency in milliseconds."""
    return max(int(math.log(max(latency_ms, 1), BUCKET_RATIO)), 0)


def sum_routes(
    parts: Iterable[dict[str, RouteEvidence]],
) -> dict[str, RouteEvidence]:
    """Return the sums of several counts by route."""
    sums: dict[str, RouteEvidence] = {}
    for part in parts:
        for route, found in part.items():
            sums[route] = sums.get(route, RouteEvidence()).plus(found)
    return sums


class EvidenceCounter:
    """Counts the calls at the local target while its service is rolled out.

    Parameters
    ----------
    node : str
        Identity of this node.
    incarnation : int
        Number that grows with each start of this node.
    target : LocalTarget
        The target of this node.
    is_rolled_out : Callable[[str], bool]
        Whether a roll-out of a service is running.
    """

    __slots__ = (
        '_incarnation',
        '_is_rolled_out',
        '_node',
        '_routes',
        '_sequence',
        '_start_key',
        '_target',
    )

    def __init__(
        self,
        node: str,
        incarnation: int,
        target: LocalTarget,
        is_rolled_out: Callable[[str], bool],
    ) -> None:
        """Create a counter without calls."""
        self._node = node
        self._incarnation = incarnation
        self._target = target
        self._is_rolled_out = is_rolled_out
        self._routes: dict[str, RouteEvidence] = {}
        self._sequence = 0
        self._start_key: tuple[str, str, str] | None = None

    def report(self) -> TargetEvidence | None:
        """Return the totals to report; None without a running roll-out."""
        current = self._active_target()
        if current is None:
            return None
        self._sequence += 1
        return TargetEvidence(
            self._node,
            f'{self._incarnation} {current.target} {current.incarnation}',
            self._sequence,
            current.service_name,
            current.version,
            self._routes,
        )

    def record_answer(self, route: str, status: int, latency_s: float) -> None:
        """Count an answer and its latency; a refusal is not counted."""
        found = self._route(route)
        if found is None or status in REFUSAL_STATUSES:
            return
        if status >= MIN_FAILURE_STATUS:
            found.failures += 1
        else:
            _increment(found.answered, latency_s)

    def record_failure(self, route: str) -> None:
        """Count a call that ended without a valid answer."""
        found = self._route(route)
        if found is not None:
            found.failures += 1

    def record_abandoned(self, route: str, waited_s: float) -> None:
        """Count a call that was given up without an answer."""
        found = self._route(route)
        if found is not None:
            _increment(found.abandoned, waited_s)

    def _active_target(self) -> Announcement | None:
        """Return the target if its service is rolled out.

        The totals begin anew with each start of the target.
        """
        current = self._target.current
        if current is None or not self._is_rolled_out(current.service_name):
            return None
        if self._start_key != current.start_key:
            self._start_key = current.start_key
            self._routes = {}
        return current

    def _route(self, route: str) -> RouteEvidence | None:
        """Return the count of a route; None if its calls are no evidence.

        Cold targets of any version are slow, and calls fail for that.
        """
        current = self._active_target()
        if current is None or current.phase == 'cold':
            return None
        return self._routes.setdefault(route, RouteEvidence())


class CountedClient:
    """Client of the local target that counts its calls as evidence.

    Times are divided by the pace that the target reports: callers choose among
    the targets of the old version by their pace, but know little of the few
    calls of the new one.

    Parameters
    ----------
    client : Client
        Sends the calls.
    counter : EvidenceCounter
        Counts them.
    """

    __slots__ = ('_client', '_counter')

    def __init__(self, client: Client, counter: EvidenceCounter) -> None:
        """Wrap a client."""
        self._client = client
        self._counter = counter

    async def send(self, call: Call, load: Load) -> Answer:
        """Send a call, as the wrapped client does, and count its outcome."""
        loop = asyncio.get_running_loop()
        route = call.request_class
        sent_at = loop.time()
        try:
            answer = await self._client.send(call, load)
        except (InvalidAnswerError, TargetLostError):
            self._counter.record_failure(route)
            raise
        except (DeadlineExceededError, asyncio.CancelledError):
            waited_s = (loop.time() - sent_at) / max(load.pace, 1)
            self._counter.record_abandoned(route, waited_s)
            raise
        latency_s = (loop.time() - sent_at) / max(load.pace, 1)
        self._counter.record_answer(route, answer.status, latency_s)
        return answer

    async def close_when_idle(self) -> None:
        """Close all connections once no call is in progress."""
        await self._client.close_when_idle()

    async def close(self) -> None:
        """Close all connections now."""
        await self._client.close()


def _increment(histogram: Histogram, latency_s: float) -> None:
    bucket = bucket_of(latency_s * MS_PER_S)
    histogram[bucket] = histogram.get(bucket, 0) + 1
