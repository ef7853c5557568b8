"""Tests of what odd gossip may cost."""

from __future__ import annotations

import pytest

from lycheespar.membership.messages import (
    MAX_RECEIVED_BYTES,
    Join,
    Records,
    Updates,
    decode,
    encode,
)
from lycheespar.membership.records import MemberRecord
from lycheespar.membership.view import (
    MAX_CONTROL_HOSTS,
    MAX_MEMBERS,
    MembershipView,
)

LONG_NAME = 'x' * 256


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


def test_the_member_table_does_not_grow_without_a_bound():
    members = MembershipView()
    for number in range(MAX_MEMBERS + 10):
        members.merge(_record(f'node-{number}'))
    assert len(members) == MAX_MEMBERS


def test_a_full_table_still_takes_news_of_its_members():
    members = MembershipView()
    for number in range(MAX_MEMBERS):
        members.merge(_record(f'node-{number}'))
    newer = MemberRecord('node-7', 2, 1, '127.0.0.1', 1, 1, 'a')
    assert members.merge(newer)
    assert members.get('node-7') == newer


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


@pytest.mark.parametrize('field', ['host', 'data_centre', 'target'])
def test_a_record_with_a_very_long_name_is_dropped(field):
    record = _record('node', **{field: LONG_NAME})
    assert decode(encode(Join('node', 1, 1, 0, record))) is None
    assert decode(encode(Join('node', 1, 1, 0, _record(LONG_NAME)))) is None


def test_a_datagram_larger_than_any_proper_one_is_not_decoded():
    records = tuple(_record(f'node-{number}') for number in range(1000))
    payload = encode(Records('node', 1, 1, 0, Updates(records)))
    assert len(payload) > MAX_RECEIVED_BYTES
    assert decode(payload) is None
