"""Compares policies that choose a target, by simulation under changing load.

In this discrete-event simulation, each target has a concurrency limit and a
queue. From time to time it slows down or fails fast, and recovers within tens
or hundreds of milliseconds. All policies get the same arrivals and the same
faults. As in the real system, an ingress learns the load of a target only from
answers and refusals.
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
# One-way delays within a data centre and between data centres.
LOCAL_DELAY_S: Final = 0.0002
REMOTE_DELAY_S: Final = 0.001
# Mean time of a request at a target, and time of one that fails at once.
SERVICE_S: Final = 0.008
FAILURE_S: Final = 0.0003
SLOTS: Final = 12
QUEUE_LIMIT: Final = 32
MAX_ATTEMPTS: Final = 3
WEIGHTS: Final = {'urgent': 4, 'bulk': 1}
URGENT_SHARE: Final = 0.2
DEADLINE_S: Final = 2
MS_PER_S: Final = 1000

Selector = Callable[[Sequence[TargetState], float], TargetState]


class Event(msgspec.Struct, frozen=True):
    """A change of a target's behaviour.

    Attributes
    ----------
    at : float
        Time of the change in seconds.
    target : int
        Position of the target.
    slowdown : float
        Factor by which calls take longer from then on.
    failing : bool
        Whether calls fail at once from then on.
    """

    at: float
    target: int
    slowdown: float
    failing: bool


class Trace(msgspec.Struct, frozen=True):
    """Arrivals and faults, the same for all policies.

    Attributes
    ----------
    arrivals : list[tuple]
        Time, position of the ingress, class and work in seconds of each call.
    events : list[Event]
        Changes of the targets' behaviour, by time.
    """

    arrivals: list[tuple[float, int, str, float]]
    events: list[Event]


def make_trace(
    seed: int,
    ingresses: int,
    targets: int,
    usage: float,
    seconds: float,
) -> Trace:
    """Generate random arrivals and faults.

    Usage is the ratio of the arrival rate to the capacity of all targets.
    """
    source = random.Random(seed)
    rate = usage * targets * SLOTS / SERVICE_S
    arrivals = []
    at = 0.0
    while at < seconds:
        at += source.expovariate(rate)
        request_class = 'urgent' if source.random() < URGENT_SHARE else 'bulk'
        work_s = source.gammavariate(4, SERVICE_S / 4)
        arrivals.append(
            (at, source.randrange(ingresses), request_class, work_s)
        )
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
    """A target with its node: a limit, and a queue ordered by class weight."""

    def __init__(self) -> None:
        """Create an idle target that works at normal speed."""
        self.running = 0
        self.queue: list[tuple[float, int, Any]] = []
        self.slowdown = 1.0
        self.failing = False
        self.latency_s = SERVICE_S

    @property
    def load(self) -> Load:
        """Load as the target's node reports it."""
        latency_ms = self.latency_s * MS_PER_S
        return Load(self.running, len(self.queue), SLOTS, latency_ms)


class Job(msgspec.Struct):
    """One call with its attempts."""

    arrived_at: float
    ingress: int
    request_class: str
    work_s: float
    tried: list[int]
    started_at: float = 0
    failed: bool = False


class Simulation:
    """Runs a trace with one policy."""

    def __init__(self, trace: Trace, targets: int, selectors: list[Selector]):
        """Create idle targets and schedule the events of the trace."""
        self._selectors = selectors
        self._targets = [Target() for _ in range(targets)]
        self._tables = [TargetTable() for _ in selectors]
        self._states = [
            [table.state(_record(index)) for index in range(targets)]
            for table in self._tables
        ]
        self._serial = itertools.count()
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.latencies_s: dict[str, list[float]] = {
            name: [] for name in WEIGHTS
        }
        self.failed = 0
        self.refused = 0
        self.attempts = 0
        for arrival in trace.arrivals:
            self._schedule(arrival[0], self._dispatch, Job(*arrival, tried=[]))
        for event in trace.events:
            self._schedule(event.at, self._apply_event, event)

    def run(self) -> None:
        """Process events until none is left."""
        while self._events:
            now, _, action, subject = heapq.heappop(self._events)
            action(now, subject)

    def _schedule(self, at: float, action: Callable[..., None], subject: Any):
        heapq.heappush(self._events, (at, next(self._serial), action, subject))

    def _apply_event(self, now: float, event: Event) -> None:
        target = self._targets[event.target]
        target.slowdown = event.slowdown
        target.failing = event.failing

    def _dispatch(self, now: float, job: Job) -> None:
        states = [
            state
            for index, state in enumerate(self._states[job.ingress])
            if index not in job.tried
        ]
        state = self._selectors[job.ingress](states, now)
        index = int(state.record.node)
        job.tried.append(index)
        state.in_flight += 1
        self.attempts += 1
        self._schedule(now + _delay(job.ingress, index), self._admit, job)

    def _admit(self, now: float, job: Job) -> None:
        target = self._targets[job.tried[-1]]
        if target.running < SLOTS and not target.queue:
            self._start(now, job)
        elif len(target.queue) < QUEUE_LIMIT:
            queued = (-WEIGHTS[job.request_class], next(self._serial), job)
            heapq.heappush(target.queue, queued)
        else:
            reply = (job, target.load, 'refused')
            self._schedule(
                now + self._reply_delay(job), self._receive_reply, reply
            )

    def _start(self, now: float, job: Job) -> None:
        target = self._targets[job.tried[-1]]
        target.running += 1
        job.started_at = now
        job.failed = target.failing
        busy_s = FAILURE_S if job.failed else job.work_s * target.slowdown
        self._schedule(now + busy_s, self._finish, job)

    def _finish(self, now: float, job: Job) -> None:
        target = self._targets[job.tried[-1]]
        target.running -= 1
        target.latency_s += 0.1 * (now - job.started_at - target.latency_s)
        if target.queue:
            self._start(now, heapq.heappop(target.queue)[2])
        outcome = 'failed' if job.failed else 'done'
        reply = (job, target.load, outcome)
        self._schedule(now + self._reply_delay(job), self._receive_reply, reply)

    def _reply_delay(self, job: Job) -> float:
        return _delay(job.ingress, job.tried[-1])

    def _receive_reply(self, now: float, reply: tuple[Job, Load, str]) -> None:
        job, load, outcome = reply
        state = self._states[job.ingress][job.tried[-1]]
        state.in_flight -= 1
        state.update_load(load, now)
        if outcome != 'refused':
            state.record_outcome(failed=outcome == 'failed', now=now)
        if outcome == 'done':
            self.latencies_s[job.request_class].append(now - job.arrived_at)
        elif outcome == 'refused' and len(job.tried) < MAX_ATTEMPTS:
            self._dispatch(now, job)
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
    same_data_centre = (ingress - target) % len(DATA_CENTRES) == 0
    return LOCAL_DELAY_S if same_data_centre else REMOTE_DELAY_S


def least_in_flight(source: random.Random) -> Selector:
    """Select the target with the fewest calls in flight from this ingress.

    Ties are broken at random.
    """
    return lambda states, now: min(
        states,
        key=lambda state: (state.in_flight, source.random()),
    )


def power_of_two(source: random.Random) -> Selector:
    """Select the less used of two random targets, by the latest reports."""

    def utilisation(state: TargetState) -> float:
        calls = max(state.load.running + state.load.queued, state.in_flight)
        return calls / state.load.limit

    return lambda states, now: min(
        source.sample(list(states), min(2, len(states))),
        key=utilisation,
    )


def round_robin(source: random.Random) -> Selector:
    """Select the targets in turn."""
    serial = itertools.count(source.randrange(100))
    return lambda states, now: states[next(serial) % len(states)]


def make_selectors(name: str, ingresses: int, seed: int) -> list[Selector]:
    """Create the selectors of all ingresses for one policy."""
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


POLICIES: Final = (
    'random',
    'round robin',
    'least in-flight',
    'power of two',
    'picker',
)


def _quantile(latencies_s: list[float], share: float) -> float:
    return sorted(latencies_s)[int(share * (len(latencies_s) - 1))] * MS_PER_S


def run_policy(name: str, trace: Trace, ingresses: int, targets: int):
    """Run a trace with one policy and return the simulation."""
    simulation = Simulation(trace, targets, make_selectors(name, ingresses, 7))
    simulation.run()
    return simulation


def report(name: str, simulation: Simulation) -> str:
    """Format the results of one policy."""
    count = simulation.failed + simulation.refused
    count += sum(
        len(latencies_s) for latencies_s in simulation.latencies_s.values()
    )
    latencies = [
        f'{request_class} p50 {_quantile(latencies_s, 0.5):5.1f} '
        f'p99 {_quantile(latencies_s, 0.99):6.1f} '
        f'p99.9 {_quantile(latencies_s, 0.999):6.1f}'
        for request_class, latencies_s in simulation.latencies_s.items()
    ]
    return (
        f'  {name: <16}{"  ".join(latencies)}  failed '
        f'{simulation.failed / count:.3%} refused '
        f'{simulation.refused / count:.3%} attempts per call '
        f'{simulation.attempts / count:.3f}'
    )


def main() -> None:
    """Compare the policies."""
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
        for name in POLICIES:
            simulation = run_policy(name, trace, ingresses, 12)
            print(report(name, simulation))


if __name__ == '__main__':
    main()
