"""Measures memory and encoding cost of synthetic, full-size state."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from lycheespar.configuration.changes import PutTeam, TakeOutDataCentre
from lycheespar.configuration.model import (
    Configuration,
    RequestClass,
    Route,
    Team,
    TeamService,
    Template,
    resolve_services,
)
from lycheespar.configuration.stamp import Stamp
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.messages import Pull, PullReply
from lycheespar.membership.messages import Ack, Ping, Updates, decode, encode
from lycheespar.membership.records import MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.routing.table import TargetTable

NODES = 1500
SERVICES = 41
REPEATS = 2000


def record_of(index: int) -> MemberRecord:
    """Return a member record with all fields of usual length."""
    return MemberRecord(
        f'node-{index:04}',
        1_700_000_000_000_000_000 + index,
        2,
        f'10.1.{index // 250}.{index % 250}',
        7001,
        7002,
        f'ub-sukhbaatar-{index % 6}',
        f'customer-{index % SERVICES}/lending-desk',
        f'lending-desk-{index:04}',
        Phase.ready,
        17,
    )


def configuration_of(services: int) -> Configuration:
    """Return a configuration with one team for each service."""
    template = Template(
        'lending',
        {'checkout': RequestClass(8), 'look-up': RequestClass(1)},
        (
            Route('GET', '/catalogue', 'look-up', True, 800),
            Route('POST', '/checkouts', 'checkout', False, 2000),
            Route('*', '/', 'look-up', True),
        ),
    )
    team_service = TeamService(
        'lending', {'deadline_ms': 1500, 'queue_ms': 100}
    )
    teams = {
        f'customer-{index}': Team(
            f'customer-{index}',
            {'lending-desk': team_service},
        )
        for index in range(services)
    }
    return Configuration(10_000, {'lending': template}, teams)


def _allocated(build: Callable[[], Any]) -> int:
    """Return the bytes allocated for a new object and all that it refers to."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


def _cpu_us(run: Callable[[], Any]) -> float:
    started_at = time.process_time()
    for _ in range(REPEATS):
        run()
    return (time.process_time() - started_at) / REPEATS * 1_000_000


def _view() -> MembershipView:
    view = MembershipView()
    for index in range(NODES):
        # Like records from other nodes, these are decoded from messages.
        payload = msgspec.msgpack.encode(record_of(index))
        view.merge(msgspec.msgpack.decode(payload, type=MemberRecord))
    return view


def _table(view: MembershipView) -> TargetTable:
    table = TargetTable()
    for record in view.records:
        table.state(record)
    return table


def measure_state() -> Iterator[str]:
    """Measure memory and processor time of tables of full size."""
    view = _view()
    members = _allocated(_view)
    yield f'{NODES} member records: {members} bytes, {members / NODES:.0f} each'
    states = _allocated(lambda: _table(view))
    yield f'{NODES} target states: {states} bytes, {states / NODES:.0f} each'
    configuration = configuration_of(SERVICES)
    encoded = msgspec.msgpack.encode(configuration)
    yield f'configuration of {SERVICES} services: {len(encoded)} bytes encoded'
    allocated = _allocated(
        lambda: ConfigurationView(
            msgspec.msgpack.decode(encoded, type=Configuration),
        ),
    )
    yield f'configuration of {SERVICES} services: {allocated} bytes in memory'
    yield (
        'resolving the configuration: '
        f'{_cpu_us(lambda: resolve_services(configuration)):.0f} us'
    )
    yield from _messages(view)


def _messages(view: MembershipView) -> Iterator[str]:
    record = record_of(0)
    sender = ('node-0001', record.incarnation, 3, 0)
    ping = encode(Ping(*sender, 77))
    ack = encode(Ack(*sender, 77, Stamp(3, 10_000, 77_777, 123.4)))
    full = encode(Ack(*sender, 77, Stamp(), Updates(records=(record,) * 9)))
    yield f'ping {len(ping)} bytes, ack {len(ack)} bytes, without headers'
    record_bytes = len(msgspec.msgpack.encode(record))
    verdict_bytes = len(msgspec.msgpack.encode(record.verdict))
    yield f'record {record_bytes} bytes, verdict {verdict_bytes} bytes'
    yield f'decoding an ack: {_cpu_us(lambda: decode(ack)):.1f} us'
    cpu_us = _cpu_us(lambda: decode(full))
    yield f'decoding an ack with 9 records: {cpu_us:.1f} us'
    yield (
        'checksums of the member table: '
        f'{_cpu_us(lambda: view.checksums):.1f} us'
    )
    team_change = PutTeam(Team('customer-1', {'desk': TeamService('lending')}))
    pull = msgspec.msgpack.encode(Pull('node-0001', 10_000, 8))
    empty_reply = msgspec.msgpack.encode(
        PullReply(Stamp(3, 10_000, 77_777, 1.5))
    )
    for name, example_change in (
        ('team', team_change),
        ('data centre', TakeOutDataCentre('ub-sukhbaatar')),
    ):
        reply = msgspec.msgpack.encode(PullReply(Stamp(), (example_change,)))
        yield f'pull reply with a change of a {name}: {len(reply)} bytes'
    yield (
        f'pull {len(pull)} bytes, '
        f'reply without a change {len(empty_reply)} bytes'
    )
