"""Refusals by the caller's node while no target has room."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest
from msgspec.structs import replace

from lycheespar.admission import useful_wait
from lycheespar.admission.gate import Gate
from lycheespar.admission.limiter import GateLimits, Limiter
from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.routes import RoutePlan, ServiceProfile
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import OverloadedError, RefusedError
from lycheespar.membership.records import MemberRecord
from lycheespar.membership.view import MembershipView
from lycheespar.rollouts.versions import VersionRouting
from lycheespar.routing import attempts as attempts_module
from lycheespar.routing.attempts import AttemptRunner
from lycheespar.routing.budget import RetryBudgets
from lycheespar.routing.picker import Picker
from lycheespar.routing.room import has_room
from lycheespar.routing.router import Router
from lycheespar.teams.profile import TeamProfile
from lycheespar.tests.routing.fakes import make_call, make_record
from lycheespar.tests.virtual_loop import VirtualLoop, run_virtual

SERVICE = 'orders'
TARGETS, SLOTS = 12, 6
WORK_S, OBJECTIVE_S, DEADLINE_S = 0.2, 0.8, 2.5
CAPACITY_PER_S = TARGETS * SLOTS / WORK_S
ROUND_TRIP_S = 0.001
URGENT, PATIENT = 1 / 2, 1 / 3
FULL = Load(6, 9, 6, 200, waits=((0, 900), (PATIENT, 900), (URGENT, 100)))
FREE = Load(2, 0, 6, 200)


def _steady_s(source: random.Random) -> float:
    """Return how long a call runs on a host with steady load."""
    return WORK_S * source.uniform(0.5, 1.5)


def _noisy_s(source: random.Random) -> float:
    """Return how long a call runs on a host that is slow a quarter of the time.

    It works five times more slowly then, for 150 ms at a time. Three calls in a
    hundred need seven times the usual work.
    """
    work_s = _steady_s(source) * (7 if source.random() < 0.03 else 1)
    run_s = 0.0
    while work_s > 0:
        pace = 5 if source.random() < 0.25 else 1
        step_s = min(0.15, work_s * pace)
        work_s -= step_s / pace
        run_s += step_s
    return run_s


class _Channel:
    """Runs calls at one target, behind the gate of its node."""

    def __init__(
        self,
        source: random.Random,
        run_s: Callable[[random.Random], float],
    ) -> None:
        self.limiter = Limiter()
        self.gate = Gate(self.limiter)
        self.gate.configure(
            GateLimits(slots=SLOTS, queue_limit=32, queue_s=5, by_cost=True)
        )
        self.attempts = 0
        self._source = source
        self._run_s = run_s

    async def execute(self, call: Call) -> Answer:
        """Run a call."""
        await asyncio.sleep(ROUND_TRIP_S)
        self.attempts += 1
        await self.gate.acquire(call)
        work_s = self._run_s(self._source)
        loop = asyncio.get_running_loop()
        try:
            await asyncio.sleep(work_s)
        finally:
            self.gate.release(work_s)
        self.limiter.record_success(
            call.request_class, work_s, loop.time(), self.gate.running
        )
        return Answer(200, (), b'', self.gate.load)


class _Service:
    """Targets of one service and the router of a caller's node."""

    def __init__(
        self,
        *,
        by_cost: bool = True,
        run_s: Callable[[random.Random], float] = _steady_s,
    ) -> None:
        members = MembershipView()
        source = random.Random(5)
        self.channels: dict[str, _Channel] = {}
        self.loads: dict[str, Load] = {}
        self.silent: set[str] = set()
        for index in range(TARGETS):
            record = make_record(index, service=SERVICE, slots=SLOTS)
            members.merge(record)
            self.channels[record.node] = _Channel(source, run_s)
        teams = {'team': TeamProfile('team', ('key',))} if by_cost else {}
        plan = RoutePlan(
            1, services={SERVICE: ServiceProfile(SERVICE)}, teams=teams
        )
        view = ConfigurationView(Configuration(1, plan=plan))
        self.budgets = RetryBudgets(40, 1)
        self.router = Router(
            AttemptRunner(
                'caller',
                members,
                view,
                None,
                self,
                Picker('ijmuiden', source),
                Load,
                VersionRouting(members, view, source, enabled=False),
            ),
            view,
            self.budgets,
        )

    @property
    def attempts(self) -> int:
        """Number of calls that were sent to any target."""
        return sum(channel.attempts for channel in self.channels.values())

    async def get(self, record: MemberRecord) -> _Channel:
        """Return the channel to a node."""
        return self.channels[record.node]

    def query_load(self, record: MemberRecord) -> asyncio.Future[Load]:
        """Reply with the load of the gate, or a given one."""
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Load] = loop.create_future()
        load = self.loads.get(record.node)
        if record.node in self.silent:
            return reply
        loop.call_later(
            ROUND_TRIP_S,
            reply.set_result,
            self.channels[record.node].gate.load if load is None else load,
        )
        return reply

    def fill(self, *, except_for: int = 0) -> None:
        """Let all targets but some report that they are full."""
        for index, node in enumerate(self.channels):
            self.loads[node] = FREE if index < except_for else FULL


def _call(weight: float = PATIENT) -> Call:
    now = asyncio.get_running_loop().time()
    return replace(
        make_call(
            service=SERVICE,
            weight=weight,
            deadline=now + DEADLINE_S,
            objective_at=now + OBJECTIVE_S,
        ),
        call_id=random.randbytes(16),
    )


def test_a_call_without_room_anywhere_is_refused_unsent():
    async def scenario(_: VirtualLoop) -> None:
        service = _Service()
        service.fill()
        with pytest.raises(OverloadedError) as caught:
            await service.router.dispatch(_call())
        assert not service.attempts
        assert service.budgets.totals == (0, 0)
        assert 0.03 <= caught.value.retry_after_s <= DEADLINE_S / 3

    run_virtual(scenario)


def test_callers_that_are_refused_together_are_told_different_times():
    async def scenario(_: VirtualLoop) -> None:
        service = _Service()
        service.fill()
        refusals = await asyncio.gather(
            *(service.router.dispatch(_call()) for _ in range(20)),
            return_exceptions=True,
        )
        assert len({error.retry_after_s for error in refusals}) > 10

    run_virtual(scenario)


def test_a_few_targets_with_room_are_found_among_many_full_ones():
    """One sample would miss them, and refuse what could be served."""

    async def scenario(_: VirtualLoop) -> None:
        service = _Service()
        service.fill(except_for=4)
        calls = [service.router.dispatch(_call()) for _ in range(40)]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        refused = sum(isinstance(found, RefusedError) for found in answers)
        assert refused <= 2

    run_virtual(scenario)


def test_a_silent_target_does_not_count_as_one_with_room():
    """After a loss of power, calls would go to targets that are gone."""

    async def scenario(_: VirtualLoop) -> None:
        service = _Service()
        service.fill()
        service.silent = set(tuple(service.channels)[:6])
        for _ in range(20):
            with pytest.raises(OverloadedError):
                await service.router.dispatch(_call())
        assert not service.attempts

    run_virtual(scenario)


def test_calls_are_still_sent_if_no_node_answers():
    """The node itself may have been paused; its targets may be well."""

    async def scenario(_: VirtualLoop) -> None:
        service = _Service()
        service.silent = set(service.channels)
        await service.router.dispatch(_call())
        assert service.attempts == 1

    run_virtual(scenario)


def test_an_urgent_call_is_sent_where_only_lighter_ones_wait():
    async def scenario(_: VirtualLoop) -> None:
        service = _Service()
        service.fill()
        await service.router.dispatch(_call(URGENT))
        assert service.attempts == 1

    run_virtual(scenario)


def test_services_that_do_not_refuse_by_cost_are_served_as_before():
    async def scenario(_: VirtualLoop) -> None:
        service = _Service(by_cost=False)
        service.fill()
        await service.router.dispatch(_call())
        assert service.attempts == 1

    run_virtual(scenario)


@pytest.mark.parametrize(
    ('load', 'expected'),
    [
        (FREE, True),
        (FULL, False),
        (replace(FULL, waits=((0, 300), (PATIENT, 300))), True),
        (replace(FULL, waits=((0, 900), (URGENT, 100))), False),
        (
            replace(
                FULL, waits=((0, 3000), (PATIENT / 2, 3000), (PATIENT, 900))
            ),
            True,
        ),
    ],
)
def test_room_depends_on_the_wait_and_on_who_else_waits(load, expected):
    call = make_call_at(0)
    assert has_room(call, load, 0) is expected


def make_call_at(now: float) -> Call:
    """Return a patient call that is sent at an instant."""
    return Call(
        b'',
        SERVICE,
        'GET',
        '/',
        (),
        b'',
        'default',
        PATIENT,
        True,
        now + DEADLINE_S,
        objective_at=now + OBJECTIVE_S,
    )


class _Play:
    """Callers who send more than the targets can do."""

    def __init__(
        self,
        load: float,
        run_s: Callable[[random.Random], float] = _steady_s,
    ) -> None:
        self.service = _Service(run_s=run_s)
        self.in_time = self.refused = self.sent = 0
        self._load = load
        self._random = random.Random(9)

    async def run(self, seconds: float) -> None:
        """Send calls at random moments; wait until all have ended."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        tasks = []
        while loop.time() < ends_at:
            await asyncio.sleep(
                self._random.expovariate(self._load * CAPACITY_PER_S)
            )
            weight = URGENT if self._random.random() < 0.3 else PATIENT
            tasks.append(asyncio.create_task(self._send(_call(weight))))
        await asyncio.gather(*tasks)

    async def _send(self, call: Call) -> None:
        self.sent += 1
        loop = asyncio.get_running_loop()
        try:
            await self.service.router.dispatch(call)
        except RefusedError:
            self.refused += 1
            return
        self.in_time += loop.time() <= call.objective_at


@pytest.mark.parametrize('load', [2, 4])
def test_goodput_stays_up_above_the_capacity_of_the_fleet(load):
    async def scenario(_: VirtualLoop) -> None:
        at_capacity, overloaded = _Play(1), _Play(load)
        await at_capacity.run(10)
        await overloaded.run(10)
        assert overloaded.in_time >= 0.9 * at_capacity.in_time
        # Attempts that are refused at targets are work for nothing.
        assert overloaded.service.attempts <= 2 * at_capacity.service.attempts

    run_virtual(scenario)


def test_attempts_for_nothing_are_few_in_overload(monkeypatch):
    """Without the look for room, each call is sent to several full targets."""

    async def attempts_in_play(_: VirtualLoop) -> int:
        play = _Play(4)
        await play.run(5)
        return play.service.attempts

    with_look = run_virtual(attempts_in_play)
    monkeypatch.setattr(
        attempts_module, 'targets_with_room', lambda _, states, __: list(states)
    )
    assert with_look < 0.7 * run_virtual(attempts_in_play)


@pytest.mark.parametrize('load', [1.1, 2, 4])
def test_calls_leave_time_for_runs_on_noisy_hosts(monkeypatch, load):
    """With waits up to the mean run time, more calls are late than in time."""

    async def play(_: VirtualLoop) -> _Play:
        played = _Play(load, _noisy_s)
        await played.run(10)
        return played

    with_time_left = run_virtual(play)
    monkeypatch.setattr(useful_wait, 'MIN_SLACK_SHARE', 1)
    without = run_virtual(play)
    assert with_time_left.in_time > without.in_time
    assert _late(with_time_left) < _late(without)


def _late(play: _Play) -> int:
    return play.sent - play.refused - play.in_time
