"""Quotas that all nodes keep together, in calm and in failure."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from lycheespar.membership.records import MemberRecord
from lycheespar.membership.view import MembershipView
from lycheespar.quotas.bucket import TokenBucket
from lycheespar.quotas.owner import MAX_REPORTED_TEAMS
from lycheespar.quotas.ring import SETTLE_S, QuotaRing
from lycheespar.teams.profile import TeamProfile
from lycheespar.tests.quotas.fleet import Clock, Fleet, allowed

NODES = 78
TEAMS = 85
SKEW = 1.2
CALLS_PER_S = 350
# Limits as a multiple of what teams usually send.
QUOTA_RATIO = 1.6
# Part of the calls below the limits that may be refused.
MAX_REFUSED_PART = 1 / 200
BIG = TeamProfile('big', ('k',), calls_per_s=116, burst=116)
SMALL = TeamProfile('small', ('s',), calls_per_s=0.5, burst=0.5)


def _skewed_teams() -> tuple[list[TeamProfile], dict[str, float]]:
    weights = [1 / rank**SKEW for rank in range(1, TEAMS + 1)]
    rates = {
        f'team-{index}': CALLS_PER_S * weight / sum(weights)
        for index, weight in enumerate(weights)
    }
    teams = [
        TeamProfile(
            name,
            (name,),
            calls_per_s=rate * QUOTA_RATIO,
            burst=rate * QUOTA_RATIO,
        )
        for name, rate in rates.items()
    ]
    return teams, rates


def _hot_fleet() -> Fleet:
    """Return a fleet to which one team sends seven times its limit."""
    fleet = Fleet(NODES, [BIG])
    fleet.set_rate('big', 7 * BIG.calls_per_s)
    return fleet


def _check_limits(fleet: Fleet, *teams: TeamProfile) -> None:
    for team in teams:
        assert fleet.most_in_window(team.name) <= allowed(team), team.name


async def test_teams_below_their_limits_are_hardly_refused():
    teams, rates = _skewed_teams()
    fleet = Fleet(NODES, teams)
    for name, rate in rates.items():
        fleet.set_rate(name, rate)
    await fleet.run(10)
    refused = sum(fleet.refused.values())
    assert refused <= MAX_REFUSED_PART * sum(fleet.asked.values())


async def test_a_hot_team_is_held_at_its_limit_and_gets_all_of_it():
    fleet = Fleet(NODES, [BIG, SMALL])
    fleet.set_rate('big', 7 * BIG.calls_per_s)
    fleet.set_rate('small', SMALL.calls_per_s * 0.6)
    await fleet.run(12)
    _check_limits(fleet, BIG, SMALL)
    assert len(fleet.ran['big']) >= 12 * BIG.calls_per_s * 0.98
    assert not fleet.refused['small']


async def test_a_limit_that_is_cut_holds_one_window_later():
    fleet = Fleet(NODES, [BIG])
    fleet.set_rate('big', BIG.calls_per_s)
    await fleet.run(6)
    cut = replace(BIG, calls_per_s=10, burst=10)
    fleet.set_teams([cut])
    fleet.ran.clear()
    await fleet.run(12)
    _check_limits(fleet, cut)


async def test_a_limit_that_is_raised_holds_at_once():
    fleet = Fleet(NODES, [replace(BIG, calls_per_s=10, burst=10)])
    fleet.set_rate('big', 100)
    await fleet.run(6)
    fleet.set_teams([BIG])
    fleet.asked.clear()
    fleet.refused.clear()
    await fleet.run(6)
    assert fleet.refused['big'] <= 0.02 * fleet.asked['big']


async def test_an_owner_that_ends_is_replaced_and_the_limit_holds():
    fleet = _hot_fleet()
    for _ in range(3):
        await fleet.run(5)
        fleet.kill(fleet.owner('big'))
    await fleet.run(5)
    _check_limits(fleet, BIG)
    assert len(fleet.ran['big']) >= 20 * BIG.calls_per_s * 0.9


async def test_an_owner_that_restarts_grants_no_second_burst():
    fleet = _hot_fleet()
    for _ in range(4):
        await fleet.run(2.5)
        fleet.restart(fleet.owner('big'))
    await fleet.run(5)
    _check_limits(fleet, BIG)


async def test_a_silent_owner_leaves_the_reserves_of_the_nodes():
    """It is not known as dead yet, so that no other node owns the quota."""
    fleet = _hot_fleet()
    await fleet.run(5)
    fleet.nodes[fleet.owner('big')].silent = True
    await fleet.run(6)
    fleet.nodes[fleet.owner('big')].silent = False
    await fleet.run(6)
    _check_limits(fleet, BIG)


async def test_an_owner_that_wakes_with_old_beliefs_keeps_the_limit():
    """It was paused meanwhile, and another node owns the quota."""
    fleet = _hot_fleet()
    await fleet.run(5)
    paused = fleet.nodes[fleet.owner('big')]
    others = [node for node in fleet.nodes.values() if node is not paused]
    paused.alive = False
    fleet.declare_dead(paused, by=others)
    await fleet.run(5)
    paused.alive = True
    assert paused.ring.owner('big').node == paused.name
    assert others[0].ring.owner('big').node != paused.name
    await fleet.run(5)
    _check_limits(fleet, BIG)


async def test_an_owner_that_leaves_in_planned_order_refuses_few_calls():
    fleet = Fleet(NODES, [BIG])
    fleet.set_rate('big', 0.8 * BIG.calls_per_s)
    for _ in range(3):
        await fleet.run(6)
        fleet.drain(fleet.owner('big'))
    await fleet.run(6)
    _check_limits(fleet, BIG)
    assert fleet.refused['big'] <= 0.02 * fleet.asked['big']


async def test_two_data_centres_that_lose_each_other_keep_the_limit_together():
    fleet = _hot_fleet()
    await fleet.run(5)
    owner_centre = fleet.nodes[fleet.owner('big')].centre
    fleet.cut_centres = {frozenset((owner_centre, (owner_centre + 1) % 4))}
    await fleet.run(8)
    fleet.cut_centres = set()
    await fleet.run(5)
    _check_limits(fleet, BIG)


async def test_a_data_centre_that_is_cut_off_owns_no_quota():
    fleet = _hot_fleet()
    await fleet.run(5)
    centre = 1
    inside = [node for node in fleet.nodes.values() if node.centre == centre]
    outside = [node for node in fleet.nodes.values() if node.centre != centre]
    fleet.cut_centres = {frozenset((centre, other)) for other in range(4)}
    fleet.declare_dead(*outside, by=inside)
    fleet.declare_dead(*inside, by=outside)
    assert all(node.ring.owner('big') is None for node in inside)
    await fleet.run(8)
    _check_limits(fleet, BIG)


async def test_halves_that_lose_each_other_own_no_quota():
    fleet = Fleet(NODES, [BIG])
    nodes = list(fleet.nodes.values())
    halves = (nodes[: NODES // 2], nodes[NODES // 2 :])
    fleet.declare_dead(*halves[1], by=halves[0])
    fleet.declare_dead(*halves[0], by=halves[1])
    assert {node.ring.owner('big') for node in nodes} == {None}


async def test_a_node_that_joins_owns_nothing_before_it_is_known():
    fleet = Fleet(NODES, [BIG])
    owner = fleet.owner('big')
    fleet.kill(owner)
    replacement = fleet.owner('big')
    fleet.restart(owner)
    assert fleet.owner('big') == replacement
    fleet.wait(SETTLE_S)
    assert fleet.owner('big') == owner


async def test_a_call_that_did_not_run_is_given_back():
    fleet = Fleet(4, [replace(BIG, calls_per_s=1, burst=4)])
    for node in fleet.nodes.values():
        node.full = True
    for _ in range(200):
        await fleet.send('big')
    for node in fleet.nodes.values():
        node.full = False
    for _ in range(3):
        await fleet.send('big')
    assert len(fleet.ran['big']) == 3


async def test_the_owner_reports_the_busiest_teams_only():
    """A label for each of a thousand teams would crowd the metrics."""
    teams = [replace(BIG, name=f't.{index}') for index in range(40)]
    fleet = Fleet(1, teams)
    for team in teams:
        await fleet.send(team.name)
    for _ in range(3):
        await fleet.send('t.7')
    (node,) = fleet.nodes.values()
    gauges = node.owner.gauges()
    assert len(gauges) == 4 * MAX_REPORTED_TEAMS
    assert gauges['quota.t_7.granted'] == 4
    assert gauges['quota.t_7.run_share'] == 1


async def test_teams_without_a_limit_are_not_counted():
    fleet = Fleet(4, [replace(BIG, calls_per_s=0, burst=0)])
    for _ in range(300):
        await fleet.send('big')
    assert len(fleet.ran['big']) == 300


@pytest.mark.parametrize(('per_s', 'expected_s'), [(2, 0.5), (0, float('inf'))])
def test_a_bucket_names_the_time_until_the_next_token(per_s, expected_s):
    bucket = TokenBucket(0, per_s, 1, 1)
    assert bucket.try_take(0) == 0
    assert bucket.try_take(0) == expected_s


def test_callers_that_are_refused_together_do_not_come_back_together():
    bucket = TokenBucket(0, 10, 1, 0)
    waits_s = [bucket.try_take(0) for _ in range(4)]
    assert waits_s == pytest.approx([0.1, 0.2, 0.3, 0.4])
    assert bucket.try_take(5) == 0
    assert bucket.try_take(5) == pytest.approx(0.1)


def test_nodes_that_start_together_agree_on_owners_before_they_are_settled():
    """Each node knows itself a second longer than the others."""
    clock = Clock()
    records = [
        MemberRecord(f'node-{index}', 1, 0, 'h', 1, 2, 'a')
        for index in range(3)
    ]
    views = [MembershipView() for _ in records]
    rings = [QuotaRing(members, clock) for members in views]
    for members, own in zip(views, records, strict=True):
        members.merge(own)
    clock.now += 1
    for members in views:
        for record in records:
            members.merge(record)
    clock.now += SETTLE_S - 0.5
    for number in range(20):
        owners = {ring.owner(f'team-{number}').node for ring in rings}
        assert len(owners) == 1
