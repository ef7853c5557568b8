"""Load and failure state of each target as seen from this node."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Final

from lycheespar.call import Load
from lycheespar.membership.records import MemberRecord, Phase

# Half-lives in seconds of the weights of a reported load, latency and pace:
# the older a report, the less it counts.
LOAD_HALF_LIFE_S: Final = 0.5
LATENCY_HALF_LIFE_S: Final = 0.3
# The pace changes many times a second, so that it has the shortest half-life.
PACE_HALF_LIFE_S: Final = 0.1
# A target whose usage is below this share of its limit is free for a hedge.
FREE_USAGE: Final = 0.8
# A target of this pace or more gets no hedge: it is probably no faster than the
# target whose answer is late.
SLOW_PACE_LIMIT: Final = 2
# Time in seconds for which a node that did not answer a load query counts as
# unresponsive.
UNRESPONSIVE_S: Final = 0.5
# Reply time in seconds of load queries from which on a target is far away.
# Within one region, most data centres reply in 5 ms.
FAR_REPLY_S: Final = 0.006
# Longest reply time that counts; a paused node may reply after seconds.
MAX_REPLY_S: Final = 0.05
# Weight of one reply in the moving average of the reply times.
REPLY_WEIGHT: Final = 0.2
# First and longest back-off in seconds of an unavailable target; the back-off
# doubles each time.
MIN_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 8
# Half-life in seconds of the weight of the outcomes of calls.
OUTCOME_HALF_LIFE_S: Final = 1
# Weight of one outcome in the moving average of failures.
OUTCOME_WEIGHT: Final = 0.3
# Assumed limit of a cold target without a report, as a share of its slots.
COLD_SHARE: Final = 0.2
# Lower bound of the latency ratio, so that a target with very quick answers
# does not attract all calls.
MIN_LATENCY_RATIO: Final = 0.5
_AVERAGE_WEIGHT: Final = 0.05


def decay(age_s: float, half_life_s: float) -> float:
    """Exponential decay: weight of a value of the given age, 0 to 1."""
    return 2 ** (-max(age_s, 0) / half_life_s)


class ServiceAverage:
    """Moving averages over the load reports of one service's targets.

    Attributes
    ----------
    usage : float
        Used share of the targets' limits.
    latency_ms : float
        Latency in milliseconds.
    """

    __slots__ = ('latency_ms', 'usage')

    def __init__(self) -> None:
        """Create averages without reports."""
        self.usage = 0.0
        self.latency_ms = 0.0

    def add(self, usage: float, latency_ms: float) -> None:
        """Add one load report."""
        if not self.latency_ms:
            self.usage = usage
            self.latency_ms = latency_ms
        self.usage += _AVERAGE_WEIGHT * (usage - self.usage)
        self.latency_ms += _AVERAGE_WEIGHT * (latency_ms - self.latency_ms)


class TargetState:
    """State of one target as seen from this node.

    Attributes
    ----------
    record : MemberRecord
        Newest member record of the target's node.
    in_flight : int
        Calls of this node that are in progress at the target.
    load : Load
        Latest load that the target's node reported.
    load_at : float
        Instant of that report on the event loop's clock, in seconds.
    backoff_until : float
        Instant until which the target is used only if there are no others.
    reply_s : float
        Usual time in seconds in which the node replies to load queries; 0
        before the first reply.
    """

    __slots__ = (
        '_average',
        '_backoff_s',
        '_failure_share',
        '_open_query',
        '_other_calls',
        '_outcome_at',
        '_reports_pace',
        '_unanswered_at',
        'backoff_until',
        'in_flight',
        'load',
        'load_at',
        'record',
        'reply_s',
    )

    def __init__(
        self,
        record: MemberRecord,
        average: ServiceAverage | None = None,
    ) -> None:
        """Create the state of a target that has not reported its load."""
        share = COLD_SHARE if record.phase is Phase.cold else 1
        self.record = record
        self.in_flight = 0
        self.load = Load(limit=max(int(record.slots * share), 1))
        self.load_at = float('-inf')
        self.backoff_until = float('-inf')
        self.reply_s = 0.0
        self._open_query: asyncio.Future[Load] | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._average = ServiceAverage() if average is None else average
        self._other_calls = 0
        self._reports_pace = False
        self._unanswered_at = float('-inf')
        self._failure_share = 0.0
        self._outcome_at = float('-inf')

    def end_call(self) -> None:
        """Remove a finished call of this node from `in_flight`."""
        self.in_flight -= 1

    def update_load(self, load: Load, now: float) -> None:
        """Update the load from an answer, a refusal or a query's reply."""
        self.load = load
        self.load_at = now
        self._reports_pace = self._reports_pace or load.pace != 1
        busy = load.running + load.queued
        self._other_calls = max(busy - self.in_flight, 0)
        self._average.add(busy / max(load.limit, 1), load.latency_ms)

    def record_outcome(self, *, failed: bool, now: float) -> None:
        """Add the outcome of one call to the share of failures."""
        share = self._observed_failure_share(now)
        self._failure_share = share + OUTCOME_WEIGHT * (failed - share)
        self._outcome_at = now

    def start_backoff(self, now: float) -> None:
        """Start a back-off unless one is running; its length doubles."""
        if self.backoff_until <= now:
            self.backoff_until = now + self._backoff_s
            self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def end_backoff(self) -> None:
        """End the back-off and reset its length: the target accepts calls."""
        self.backoff_until = float('-inf')
        self._backoff_s = MIN_BACKOFF_S

    def usage(self, now: float) -> float:
        """Estimate the used share of the limit with one more call.

        The calls of this node are counted exactly. The calls of other nodes
        come from the latest load report; as it ages, the service's average
        replaces them.
        """
        limit = max(self.load.limit, 1)
        trust = decay(now - self.load_at, LOAD_HALF_LIFE_S)
        others = self._other_calls / limit * trust
        usual = max(self._average.usage - self.in_flight / limit, 0)
        return (self.in_flight + 1) / limit + others + usual * (1 - trust)

    def latency_ratio(self, now: float) -> float:
        """Latency as a multiple of the service's average latency.

        It is 1 for a target that reports its pace: `excess_pace` counts then.
        """
        if self._reports_pace:
            return 1
        usual = self._average.latency_ms
        if not usual:
            return 1
        trust = decay(now - self.load_at, LATENCY_HALF_LIFE_S)
        ratio = max(self.load.latency_ms / usual, MIN_LATENCY_RATIO)
        return 1 + (ratio - 1) * trust

    def excess_pace(self, now: float) -> float:
        """Excess of the pace over its usual value of 1, at least 0."""
        trust = decay(now - self.load_at, PACE_HALF_LIFE_S)
        return max(self.load.pace - 1, 0) * trust

    @property
    def is_free(self) -> bool:
        """Whether a call could start at once and run at about usual pace.

        This is judged by the latest load report.
        """
        load = self.load
        is_busy = load.queued or load.running >= load.limit * FREE_USAGE
        return not is_busy and load.pace < SLOW_PACE_LIMIT

    @property
    def load_age_s(self) -> float:
        """Age in seconds of the latest load report; infinite without one."""
        return asyncio.get_running_loop().time() - self.load_at

    @property
    def is_far(self) -> bool:
        """Whether replies of the target's node usually take long."""
        return self.reply_s > FAR_REPLY_S

    def begin_query(self, query: asyncio.Future[Load], now: float) -> None:
        """Take the reply to a query, also if nobody waits for it any more.

        Calls that choose at the same time share one query.
        """
        if query is not self._open_query:
            self._open_query = query
            query.add_done_callback(partial(self._record_reply, now))

    def record_unanswered_query(self, now: float) -> None:
        """Record that the node did not answer a load query in time."""
        self._unanswered_at = now

    def is_unresponsive(self, now: float) -> bool:
        """Whether the latest load query was recent and is unanswered."""
        unanswered_at = self._unanswered_at
        return (
            unanswered_at > self.load_at
            and now - unanswered_at < UNRESPONSIVE_S
        )

    def failure_share(self, now: float) -> float:
        """Share of failures among recent calls, 0 to 1.

        It is the larger of the shares that this node observed and that the
        target's node reported.
        """
        own = self._observed_failure_share(now)
        trust = decay(now - self.load_at, OUTCOME_HALF_LIFE_S)
        return max(own, self.load.failure_share * trust)

    def _record_reply(
        self, asked_at: float, query: asyncio.Future[Load]
    ) -> None:
        self._open_query = None
        if query.cancelled() or query.exception() is not None:
            return
        now = asyncio.get_running_loop().time()
        self.update_load(query.result(), now)
        reply_s = min(now - asked_at, MAX_REPLY_S)
        if self.reply_s:
            reply_s = self.reply_s + REPLY_WEIGHT * (reply_s - self.reply_s)
        self.reply_s = reply_s

    def _observed_failure_share(self, now: float) -> float:
        if not self._failure_share:
            return 0
        age_s = now - self._outcome_at
        return self._failure_share * decay(age_s, OUTCOME_HALF_LIFE_S)


class TargetTable:
    """States of all targets, by the identity of their nodes."""

    __slots__ = ('_averages', '_states')

    def __init__(self) -> None:
        """Create a table without targets."""
        self._states: dict[str, TargetState] = {}
        self._averages: dict[str, ServiceAverage] = {}

    def state(self, record: MemberRecord) -> TargetState:
        """Return the state of a target; a restart of its node resets it."""
        known = self._states.get(record.node)
        if known is None or known.record.incarnation != record.incarnation:
            average = self._averages.setdefault(
                record.service,
                ServiceAverage(),
            )
            known = TargetState(record, average)
            self._states[record.node] = known
        known.record = record
        return known
