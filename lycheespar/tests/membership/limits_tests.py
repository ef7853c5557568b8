"""Tests of what odd gossip may cost."""

from __future__ import annotations

from lycheespar.membership.records import MemberRecord
from lycheespar.membership.view import (
    MAX_CONTROL_HOSTS,
    MembershipView,
)


def _record(name: str, *, control_port: int = 0, **names: str) -> MemberRecord:
    return MemberRecord(
        name,
        1,
        1,
        names.get('host', '127.0.0.1'),
        1,
        1,
        names.get('data_centre', 'a'),
        target=names.get('target', ''),
        control_port=control_port,
    )


def test_control_hosts_in_gossip_do_not_grow_without_a_bound():
    members = MembershipView()
    for number in range(MAX_CONTROL_HOSTS + 10):
        members.merge(_record(f'control-{number}', control_port=1))
        members.merge(_record(f'node-{number}'))
        members.merge(
            MemberRecord(
                f'node-{number}', 2, 1, '127.0.0.1', 1, 1, 'a', control_port=1
            )
        )
    records = tuple(members.records)
    assert sum(bool(record.control_port) for record in records) == (
        MAX_CONTROL_HOSTS
    )
