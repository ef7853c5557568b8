"""Measures the cost of keys and quotas of teams at full size."""

from __future__ import annotations

import itertools
import time
import tracemalloc
from collections.abc import Callable, Iterator

import msgspec

from bench.state_slopes import NODES, record_of
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.routes import RoutePlan
from lycheespar.configuration.view import ConfigurationView
from lycheespar.membership.view import MembershipView
from lycheespar.protocol.messages import QuotaReply, QuotaRequest
from lycheespar.quotas.owner import QuotaOwner
from lycheespar.quotas.ring import QuotaRing
from lycheespar.teams.profile import TeamProfile

TEAMS = 1000
KEYS = 100_000
REPEATS = 20_000
# Extra calls that are tolerated, as on the users' platform.
SLACK = 20


def measure_teams() -> Iterator[str]:
    """Yield one line for each cost."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    plan = RoutePlan(1, teams={team.name: team for team in _teams()})
    view = ConfigurationView(Configuration())
    started_at = time.perf_counter()
    view.update_if_newer(Configuration(1, plan=plan))
    force_ms = (time.perf_counter() - started_at) * 1000
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    yield f'{KEYS} keys: {held / KEYS:.0f} bytes a key'
    yield f'{KEYS} keys put in force: {force_ms:.0f} ms'
    found_us = _time_us(lambda: view.keys.find('key-0000050000'))
    yield f'lookup of a key: {found_us:.2f} us'
    members = MembershipView()
    for index in range(NODES):
        members.merge(record_of(index))
    ring = QuotaRing(members)
    yield f'owner, known: {_time_us(lambda: ring.owner("team-1")):.2f} us'
    names = itertools.cycle(f'team-{index}' for index in range(TEAMS))
    started_at = time.perf_counter()
    for name in itertools.islice(names, 200):
        ring.owner(name)
    chosen_us = (time.perf_counter() - started_at) / 200 * 1e6
    yield f'owner among {NODES} nodes, after a change: {chosen_us:.0f} us'
    own = next(
        name
        for name in itertools.islice(names, TEAMS)
        if ring.owner(name) is not None
    )
    # The chosen node stands for this one, which may own none of the teams.
    chosen = ring.owner(own)
    assert chosen is not None
    owner = QuotaOwner(chosen.node, ring, view, SLACK)
    taken_us = _time_us(lambda: owner.take(own))
    yield f'a call of an owned quota: {taken_us:.2f} us'
    messages = (QuotaRequest(1, 'team-100'), QuotaReply(1, 0.0))
    sizes = [len(msgspec.msgpack.encode(message)) for message in messages]
    yield f'request and reply: {sizes[0]} and {sizes[1]} bytes without framing'


def _teams() -> Iterator[TeamProfile]:
    keys = [f'key-{index:010}' for index in range(KEYS)]
    each = KEYS // TEAMS
    for index in range(TEAMS):
        own = tuple(keys[index * each : (index + 1) * each])
        yield TeamProfile(f'team-{index}', own, calls_per_s=65, burst=65)


def _time_us(action: Callable[[], object]) -> float:
    started_at = time.perf_counter()
    for _ in range(REPEATS):
        action()
    return (time.perf_counter() - started_at) / REPEATS * 1e6
