"""Compares ways to choose a target on one trace of shifting load.

Discrete events: each target is a queue with a limit, and slows down, recovers
and fails fast within milliseconds. All ways see the same arrivals and the
same faults. Load travels only on answers and refusals, as in the system.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any, Final

import msgspec

from lycheespar.call import Load
from lycheespar.membership.records import MemberRecord, Phase
from lycheespar.routing.picker import Picker
from lycheespar.routing.table import TargetState, TargetTable

DATA_CENTRES: Final = ('ijmuiden', 'rotterdam', 'den-helder')
NEAR_S: Final = 0.0002
FAR_S: Final = 0.001
SERVICE_S: Final = 0.008
FAIL_S: Final = 0.0003
SLOTS: Final = 12
QUEUE: Final = 32
MAX_ATTEMPTS: Final = 3
WEIGHTS: Final = {'urgent': 4, 'bulk': 1}
URGENT_SHARE: Final = 0.2
DEADLINE_S: Final = 2
MS_PER_S: Final = 1000

Choose = Callable[[Sequence[TargetState], float], TargetState]


class Event(msgspec.Struct, frozen=True):
    """A change of a target's behaviour."""

    at: float
    target: int
    slowdown: float
    failing: bool


class Trace(msgspec.Struct, frozen=True):
    """Arrivals and faults, the same for all ways to choose."""

    arrivals: list[tuple[float, int, str, float]]
    events: list[Event]


def make_trace(
    seed: int,
    ingresses: int,
    targets: int,
    usage: float,
    seconds: float,
) -> Trace:
    """Draw arrivals at a share of the targets' mean capacity, and faults."""
    source = random.Random(seed)
    rate = usage * targets * SLOTS / SERVICE_S
    arrivals = []
    at = 0.0
    while at < seconds:
        at += source.expovariate(rate)
        kind = 'urgent' if source.random() < URGENT_SHARE else 'bulk'
        work = source.gammavariate(4, SERVICE_S / 4)
        arrivals.append((at, source.randrange(ingresses), kind, work))
    events = []
    for target in range(targets):
        at = 0.0
        while at < seconds:
            at += source.expovariate(1 / 0.4)
            failing = source.random() < 0.1
            slowdown = 1 if failing else source.choice((2, 3, 5))
            events.append(Event(at, target, slowdown, failing))
            at += source.uniform(0.02, 0.3)
            events.append(Event(at, target, 1, failing=False))
    events.sort(key=lambda event: event.at)
    return Trace(arrivals, events)


class Target:
    """A target behind its node: a limit and a queue by class weight."""

    def __init__(self) -> None:
        """Start idle and quick."""
        self.running = 0
        self.queue: list[tuple[float, int, Any]] = []
        self.slowdown = 1.0
        self.failing = False
        self.latency_s = SERVICE_S

    @property
    def load(self) -> Load:
        """Load as its node reports it."""
        latency_ms = self.latency_s * MS_PER_S
        return Load(self.running, len(self.queue), SLOTS, latency_ms)


class Job(msgspec.Struct):
    """One call on its way."""

    born: float
    ingress: int
    kind: str
    work: float
    tried: list[int]
    started: float = 0
    failed: bool = False


class Simulation:
    """Runs a trace with one way to choose."""

    def __init__(self, trace: Trace, targets: int, choosers: list[Choose]):
        """Wire the targets and what each ingress knows of them."""
        self._choosers = choosers
        self._targets = [Target() for _ in range(targets)]
        self._tables = [TargetTable() for _ in choosers]
        self._states = [
            [table.state(_record(index)) for index in range(targets)]
            for table in self._tables
        ]
        self._serial = itertools.count()
        self._heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self.times: dict[str, list[float]] = {kind: [] for kind in WEIGHTS}
        self.failed = 0
        self.refused = 0
        self.attempts = 0
        for arrival in trace.arrivals:
            self._at(arrival[0], self._arrive, Job(*arrival, tried=[]))
        for event in trace.events:
            self._at(event.at, self._shift, event)

    def run(self) -> None:
        """Run all events."""
        while self._heap:
            now, _, action, subject = heapq.heappop(self._heap)
            action(now, subject)

    def _at(self, at: float, action: Callable[..., None], subject: Any):
        heapq.heappush(self._heap, (at, next(self._serial), action, subject))

    def _shift(self, now: float, event: Event) -> None:
        target = self._targets[event.target]
        target.slowdown = event.slowdown
        target.failing = event.failing

    def _arrive(self, now: float, job: Job) -> None:
        states = [
            state
            for index, state in enumerate(self._states[job.ingress])
            if index not in job.tried
        ]
        state = self._choosers[job.ingress](states, now)
        index = int(state.record.node)
        job.tried.append(index)
        state.in_flight += 1
        self.attempts += 1
        self._at(now + _delay(job.ingress, index), self._admit, job)

    def _admit(self, now: float, job: Job) -> None:
        target = self._targets[job.tried[-1]]
        if target.running < SLOTS and not target.queue:
            self._start(now, job)
        elif len(target.queue) < QUEUE:
            order = (-WEIGHTS[job.kind], next(self._serial), job)
            heapq.heappush(target.queue, order)
        else:
            reply = (job, target.load, 'refused')
            self._at(now + self._way_back(job), self._reply, reply)

    def _start(self, now: float, job: Job) -> None:
        target = self._targets[job.tried[-1]]
        target.running += 1
        job.started = now
        job.failed = target.failing
        busy = FAIL_S if job.failed else job.work * target.slowdown
        self._at(now + busy, self._finish, job)

    def _finish(self, now: float, job: Job) -> None:
        target = self._targets[job.tried[-1]]
        target.running -= 1
        target.latency_s += 0.1 * (now - job.started - target.latency_s)
        if target.queue:
            self._start(now, heapq.heappop(target.queue)[2])
        outcome = 'failed' if job.failed else 'done'
        reply = (job, target.load, outcome)
        self._at(now + self._way_back(job), self._reply, reply)

    def _way_back(self, job: Job) -> float:
        return _delay(job.ingress, job.tried[-1])

    def _reply(self, now: float, reply: tuple[Job, Load, str]) -> None:
        job, load, outcome = reply
        state = self._states[job.ingress][job.tried[-1]]
        state.in_flight -= 1
        state.report(load, now)
        if outcome != 'refused':
            state.note_outcome(failed=outcome == 'failed', now=now)
        if outcome == 'done':
            self.times[job.kind].append(now - job.born)
        elif outcome == 'refused' and len(job.tried) < MAX_ATTEMPTS:
            self._arrive(now, job)
        elif outcome == 'refused':
            self.refused += 1
        else:
            self.failed += 1


def _record(index: int) -> MemberRecord:
    return MemberRecord(
        str(index),
        1,
        1,
        '',
        0,
        0,
        DATA_CENTRES[index % len(DATA_CENTRES)],
        'team/service',
        str(index),
        Phase.ready,
        SLOTS,
    )


def _delay(ingress: int, target: int) -> float:
    same = (ingress - target) % len(DATA_CENTRES) == 0
    return NEAR_S if same else FAR_S


def least_in_flight(source: random.Random) -> Choose:
    """Fewest calls of this ingress under way, ties at random."""
    return lambda states, now: min(
        states,
        key=lambda state: (state.in_flight, source.random()),
    )


def power_of_two(source: random.Random) -> Choose:
    """Less used, as reported last, of two random ones."""

    def used(state: TargetState) -> float:
        busy = max(state.load.running + state.load.queued, state.in_flight)
        return busy / state.load.limit

    return lambda states, now: min(
        source.sample(list(states), min(2, len(states))),
        key=used,
    )


def round_robin(source: random.Random) -> Choose:
    """One after the other."""
    serial = itertools.count(source.randrange(100))
    return lambda states, now: states[next(serial) % len(states)]


def choosers(name: str, ingresses: int, seed: int) -> list[Choose]:
    """Build the choosers of all ingresses."""
    sources = [random.Random(seed + index) for index in range(ingresses)]
    match name:
        case 'random':
            return [
                lambda states, now, source=source: source.choice(states)
                for source in sources
            ]
        case 'round robin':
            return [round_robin(source) for source in sources]
        case 'least in-flight':
            return [least_in_flight(source) for source in sources]
        case 'power of two':
            return [power_of_two(source) for source in sources]
        case _:
            return [
                Picker(DATA_CENTRES[index % 3], source).choose
                for index, source in enumerate(sources)
            ]


WAYS: Final = (
    'random',
    'round robin',
    'least in-flight',
    'power of two',
    'chosen',
)


def _quantile(times: list[float], share: float) -> float:
    return sorted(times)[int(share * (len(times) - 1))] * MS_PER_S


def run_way(name: str, trace: Trace, ingresses: int, targets: int):
    """Run one way and return the simulation."""
    simulation = Simulation(trace, targets, choosers(name, ingresses, 7))
    simulation.run()
    return simulation


def report(name: str, simulation: Simulation) -> str:
    """Format the figures of one way."""
    count = simulation.failed + simulation.refused
    count += sum(len(times) for times in simulation.times.values())
    parts = [
        f'{kind} p50 {_quantile(times, 0.5):5.1f} p99 '
        f'{_quantile(times, 0.99):6.1f} p99.9 {_quantile(times, 0.999):6.1f}'
        for kind, times in simulation.times.items()
    ]
    return (
        f'  {name: <16}{"  ".join(parts)}  failed '
        f'{simulation.failed / count:.3%} refused '
        f'{simulation.refused / count:.3%} attempts a call '
        f'{simulation.attempts / count:.3f}'
    )


def main() -> None:
    """Compare the ways."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=6)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument('--ingresses', type=int, nargs='+', default=[6, 36])
    parser.add_argument('--usage', type=float, nargs='+', default=[0.4, 0.6])
    options = parser.parse_args()
    grid = itertools.product(
        options.ingresses,
        options.usage,
        options.seeds,
    )
    for ingresses, usage, seed in grid:
        trace = make_trace(seed, ingresses, 12, usage, options.seconds)
        print(f'{ingresses} ingresses, 12 targets, {usage:.0%}, seed {seed}')
        for name in WAYS:
            simulation = run_way(name, trace, ingresses, 12)
            print(report(name, simulation))


if __name__ == '__main__':
    main()
