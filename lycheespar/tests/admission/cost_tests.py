"""Who waits and who is refused when there is too little room, by cost.

The plays compare the two orders of the queue under the same load.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from itertools import pairwise

import pytest
from msgspec.structs import replace

from lycheespar.admission.gate import Gate
from lycheespar.admission.limiter import GateLimits, Limiter
from lycheespar.admission.queue import CallQueue
from lycheespar.configuration.model import (
    Configuration,
    Team,
    TeamService,
    Template,
    resolve_services,
)
from lycheespar.configuration.routes import (
    HostRoute,
    RoutePlan,
    ServiceProfile,
)
from lycheespar.errors import RefusedError
from lycheespar.teams.profile import TeamProfile
from lycheespar.tests.admission.calls import make_call
from lycheespar.tests.virtual_loop import run_virtual

SLOTS = 6
# Work and objective in seconds, part of the calls, and weight of each kind.
KINDS = {
    'status': (0.2, 0.8, 0.6, 1 / 3),
    'order': (0.26, 0.8, 0.25, 1 / 2),
    'report': (0.9, 1.4, 0.15, 1 / 3),
}
MEAN_WORK_S = sum(work * part for work, _, part, _ in KINDS.values())
PLAY_S = 40


def _call(kind: str):
    work_s, objective_s, _, weight = KINDS[kind]
    call = make_call(weight, budget_s=3)
    now = asyncio.get_running_loop().time()
    return replace(
        call, request_class=kind, objective_at=now + objective_s
    ), work_s


class _Play:
    """Callers who send more than a target can do."""

    def __init__(self, *, by_cost: bool) -> None:
        self.limiter = Limiter()
        self.gate = Gate(self.limiter)
        self.gate.configure(
            GateLimits(SLOTS, 24, 0.6, cold_share=1, by_cost=by_cost)
        )
        self.sent: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.waited_for_nothing_s = 0.0

    async def run(self, load: float) -> None:
        loop = asyncio.get_running_loop()
        source = random.Random(3)
        parts = [part for _, _, part, _ in KINDS.values()]
        tasks = set()
        ends_at = loop.time() + PLAY_S
        while loop.time() < ends_at:
            kind = source.choices(list(KINDS), parts)[0]
            noise = source.lognormvariate(0, 0.3)
            tasks.add(asyncio.create_task(self._send(kind, noise)))
            per_s = load * SLOTS / MEAN_WORK_S
            await asyncio.sleep(source.expovariate(per_s))
        await asyncio.gather(*tasks)

    async def _send(self, kind: str, noise: float) -> None:
        loop = asyncio.get_running_loop()
        call, work_s = _call(kind)
        self.sent[kind] += 1
        sent_at = loop.time()
        try:
            await self.gate.acquire(call)
        except RefusedError:
            self.waited_for_nothing_s += loop.time() - sent_at
            return
        work_s *= noise
        await asyncio.sleep(work_s)
        self.limiter.record_success(
            kind, work_s, loop.time(), self.gate.running
        )
        self.gate.release(work_s)
        self.in_time[kind] += loop.time() <= call.objective_at

    def value(self) -> float:
        """Return what callers got in time, by the weight of the calls."""
        return sum(
            count * KINDS[kind][3] for kind, count in self.in_time.items()
        )


def _played(load: float, *, by_cost: bool) -> _Play:
    plays = []

    async def scenario(loop) -> None:
        play = _Play(by_cost=by_cost)
        plays.append(play)
        await play.run(load)

    run_virtual(scenario)
    return plays[0]


@pytest.mark.parametrize('load', [1.2, 2, 4])
def test_callers_get_more_in_time_by_cost_than_by_deadline(load):
    by_cost = _played(load, by_cost=True)
    by_deadline = _played(load, by_cost=False)
    assert by_cost.value() >= by_deadline.value()


def test_what_is_served_in_time_does_not_fall_as_the_load_grows():
    values = [_played(load, by_cost=True).value() for load in (1, 1.5, 2, 4)]
    assert all(later >= 0.95 * earlier for earlier, later in pairwise(values))


@pytest.mark.parametrize('load', [1.2, 2])
def test_the_more_urgent_kind_is_not_served_less_often(load):
    play = _played(load, by_cost=True)
    shares = {kind: play.in_time[kind] / play.sent[kind] for kind in KINDS}
    assert shares['order'] >= shares['status']
    assert shares['order'] >= shares['report']


async def test_a_call_that_cannot_be_in_time_gives_way_to_one_that_can():
    queue = CallQueue()
    queue.by_cost = True
    now = asyncio.get_running_loop().time()
    late = queue.push(replace(make_call(), objective_at=now + 0.1), 0.2)
    timely = queue.push(replace(make_call(), objective_at=now + 0.5), 0.2)
    assert [queue.pop(now), queue.pop(now)] == [timely, late]


async def test_a_heavier_call_goes_first_even_if_it_is_late():
    queue = CallQueue()
    queue.by_cost = True
    now = asyncio.get_running_loop().time()
    queue.push(replace(make_call(1), objective_at=now + 0.5), 0.2)
    heavy = queue.push(replace(make_call(2), objective_at=now - 1), 0.2)
    assert queue.pop(now) is heavy


@pytest.mark.parametrize(
    ('new_weight', 'new_work_s', 'expected'),
    [
        # The late one goes first, whatever its work.
        (1, 0.1, 'late'),
        # A lighter call is refused itself.
        (0.5, 0.1, None),
        (2, 0.1, 'late'),
    ],
)
async def test_the_refused_call_is_the_one_that_costs_least(
    new_weight, new_work_s, expected
):
    queue = CallQueue()
    queue.by_cost = True
    now = asyncio.get_running_loop().time()
    names = {}
    for name, objective_s, work_s in (
        ('late', 0.1, 0.2),
        ('long', 2, 0.9),
        ('short', 2, 0.1),
    ):
        call = replace(make_call(), objective_at=now + objective_s)
        names[queue.push(call, work_s)] = name
    new = replace(make_call(new_weight), objective_at=now + 2)
    victim = queue.find_victim(new, new_work_s, now)
    assert names.get(victim) == expected


async def test_of_calls_in_time_the_longest_work_is_refused():
    queue = CallQueue()
    queue.by_cost = True
    now = asyncio.get_running_loop().time()
    long = queue.push(replace(make_call(), objective_at=now + 2), 0.9)
    queue.push(replace(make_call(), objective_at=now + 2), 0.1)
    new = replace(make_call(), objective_at=now + 2)
    assert queue.find_victim(new, 0.2, now) is long
    assert queue.find_victim(new, 1.5, now) is None


@pytest.mark.parametrize(
    ('plan', 'expected'),
    [
        ({}, False),
        ({'teams': {'hule': TeamProfile('hule')}}, True),
        ({'routes': {'r': HostRoute('r', 'a', '/', upload=True)}}, True),
    ],
)
def test_plans_with_teams_or_uploads_refuse_by_cost(plan, expected):
    whole = RoutePlan(services={'records': ServiceProfile('records')}, **plan)
    services = resolve_services(Configuration(1, plan=whole))
    assert services['records'].refuses_by_cost is expected


def test_templates_say_whether_their_services_refuse_by_cost():
    template = Template('desk', refuse_by_cost=True)
    team = Team('tuvshin', {'lending': TeamService('desk')})
    configuration = Configuration(1, {'desk': template}, {'tuvshin': team})
    services = resolve_services(configuration)
    assert services['tuvshin/lending'].refuses_by_cost
