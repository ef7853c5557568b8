"""What this node knows of the load and the failures of each target."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.call import Load
from lycheespar.membership.records import MemberRecord, Phase

# Time in which half of the trust in a report of load is lost.
LOAD_HALF_LIFE_S: Final = 0.5
# Time in which half of the trust in a reported latency is lost.
LATENCY_HALF_LIFE_S: Final = 0.3
# Time in which half of the trust in a told pace is lost: it changes many
# times a second.
PACE_HALF_LIFE_S: Final = 0.1
# Share of its limit up to which a target is free for a hedge.
FREE_SHARE: Final = 0.8
# Pace from which on a target is no better than the one that is late.
SLOW_PACE: Final = 2
# Time for which a node counts as silent that did not answer.
SILENT_S: Final = 0.5
# Rest of a target that is away: first, and longest after further ones.
SHORTEST_REST_S: Final = 0.5
LONGEST_REST_S: Final = 8
# Time in which half of the weight of the outcomes is lost.
OUTCOME_HALF_LIFE_S: Final = 1
# Weight of one outcome against all earlier ones.
OUTCOME_WEIGHT: Final = 0.3
# Share of its slots that a cold target is taken to bear before it reports.
COLD_SHARE: Final = 0.2
# A target that answers quicker than others is not trusted any further.
LEAST_SLOWNESS: Final = 0.5
_AVERAGE_WEIGHT: Final = 0.05


def decay(age_s: float, half_life_s: float) -> float:
    """Weight that is left of something of the given age, 0 to 1."""
    return 2 ** (-max(age_s, 0) / half_life_s)


class Average:
    """Load of an ordinary target of one service, as reported lately.

    Attributes
    ----------
    usage : float
        Used share of its limit.
    latency_ms : float
        Latency in milliseconds.
    """

    __slots__ = ('latency_ms', 'usage')

    def __init__(self) -> None:
        """Start idle."""
        self.usage = 0.0
        self.latency_ms = 0.0

    def add(self, usage: float, latency_ms: float) -> None:
        """Take in one report."""
        if not self.latency_ms:
            self.usage = usage
            self.latency_ms = latency_ms
        self.usage += _AVERAGE_WEIGHT * (usage - self.usage)
        self.latency_ms += _AVERAGE_WEIGHT * (latency_ms - self.latency_ms)


class TargetState:
    """One target as seen from this node.

    Attributes
    ----------
    record : MemberRecord
        Newest record of the target's node.
    in_flight : int
        Calls that this node has under way at the target.
    load : Load
        Newest load that the target's node reported.
    load_at : float
        Instant of that report on the event loop's clock, in seconds.
    rest_until : float
        Instant until which the target is asked last.
    """

    __slots__ = (
        '_average',
        '_failure_share',
        '_missed_at',
        '_others',
        '_outcome_at',
        '_rest_s',
        '_tells_pace',
        'in_flight',
        'load',
        'load_at',
        'record',
        'rest_until',
    )

    def __init__(
        self,
        record: MemberRecord,
        average: Average | None = None,
    ) -> None:
        """Start without reports."""
        share = COLD_SHARE if record.phase is Phase.cold else 1
        self.record = record
        self.in_flight = 0
        self.load = Load(limit=max(int(record.slots * share), 1))
        self.load_at = float('-inf')
        self.rest_until = float('-inf')
        self._rest_s = SHORTEST_REST_S
        self._average = Average() if average is None else average
        self._others = 0
        self._tells_pace = False
        self._missed_at = float('-inf')
        self._failure_share = 0.0
        self._outcome_at = float('-inf')

    def end_call(self) -> None:
        """Count a call of this node as done."""
        self.in_flight -= 1

    def report(self, load: Load, now: float) -> None:
        """Take in the load that came with an answer or a refusal."""
        self.load = load
        self.load_at = now
        self._tells_pace = self._tells_pace or load.pace != 1
        busy = load.running + load.queued
        self._others = max(busy - self.in_flight, 0)
        self._average.add(busy / max(load.limit, 1), load.latency_ms)

    def note_outcome(self, *, failed: bool, now: float) -> None:
        """Count the outcome of one call."""
        share = self._own_failure_share(now)
        self._failure_share = share + OUTCOME_WEIGHT * (failed - share)
        self._outcome_at = now

    def rest(self, now: float) -> None:
        """Ask the target last for a while, longer each time."""
        if self.rest_until <= now:
            self.rest_until = now + self._rest_s
            self._rest_s = min(self._rest_s * 2, LONGEST_REST_S)

    def wake(self) -> None:
        """End the rest: the target takes work."""
        self.rest_until = float('-inf')
        self._rest_s = SHORTEST_REST_S

    def usage(self, now: float) -> float:
        """Estimate the used share of the limit with one call more.

        The calls of this node are known; those of the others are as
        reported, and fade into the average of the service.
        """
        limit = max(self.load.limit, 1)
        trust = decay(now - self.load_at, LOAD_HALF_LIFE_S)
        others = self._others / limit * trust
        usual = max(self._average.usage - self.in_flight / limit, 0)
        return (self.in_flight + 1) / limit + others + usual * (1 - trust)

    def slowness(self, now: float) -> float:
        """Latency as a multiple of that of an ordinary target.

        Where the target tells its pace, `slowdown` counts instead.
        """
        if self._tells_pace:
            return 1
        usual = self._average.latency_ms
        if not usual:
            return 1
        trust = decay(now - self.load_at, LATENCY_HALF_LIFE_S)
        ratio = max(self.load.latency_ms / usual, LEAST_SLOWNESS)
        return 1 + (ratio - 1) * trust

    def slowdown(self, now: float) -> float:
        """Return by how many times more than usual work takes, at least 0."""
        trust = decay(now - self.load_at, PACE_HALF_LIFE_S)
        return max(self.load.pace - 1, 0) * trust

    @property
    def is_free(self) -> bool:
        """Whether a call could run at once at the usual pace, as reported."""
        load = self.load
        waits = load.queued or load.running >= load.limit * FREE_SHARE
        return not waits and load.pace < SLOW_PACE

    @property
    def load_age_s(self) -> float:
        """Age of the newest report in seconds; infinite without one."""
        return asyncio.get_running_loop().time() - self.load_at

    def miss(self, now: float) -> None:
        """Note that the node did not tell its load when it was asked."""
        self._missed_at = now

    def is_silent(self, now: float) -> bool:
        """Whether the node did not tell its load lately."""
        missed_at = self._missed_at
        return missed_at > self.load_at and now - missed_at < SILENT_S

    def failure_share(self, now: float) -> float:
        """Share of failures among the latest calls, 0 to 1."""
        own = self._own_failure_share(now)
        trust = decay(now - self.load_at, OUTCOME_HALF_LIFE_S)
        return max(own, self.load.failure_share * trust)

    def _own_failure_share(self, now: float) -> float:
        if not self._failure_share:
            return 0
        age_s = now - self._outcome_at
        return self._failure_share * decay(age_s, OUTCOME_HALF_LIFE_S)


class TargetTable:
    """States of the targets by node."""

    __slots__ = ('_averages', '_states')

    def __init__(self) -> None:
        """Start empty."""
        self._states: dict[str, TargetState] = {}
        self._averages: dict[str, Average] = {}

    def state(self, record: MemberRecord) -> TargetState:
        """Return the state of a target, fresh after a restart of its node."""
        known = self._states.get(record.node)
        if known is None or known.record.incarnation != record.incarnation:
            average = self._averages.setdefault(record.service, Average())
            known = TargetState(record, average)
            self._states[record.node] = known
        known.record = record
        return known
