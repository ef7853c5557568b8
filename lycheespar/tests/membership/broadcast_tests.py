"""Tests of the table of broadcasts at its limit."""

from __future__ import annotations

import pytest

from lycheespar.membership.broadcast import (
    MAX_BROADCASTS,
    Broadcast,
    BroadcastTable,
)


@pytest.fixture
def full_table():
    """Return a table without room, and the keys that it has reported."""
    table = BroadcastTable(lambda: 0)
    reported: list[bytes] = []
    table.new_broadcasts.subscribe(lambda found: reported.append(found.key))
    for number in range(MAX_BROADCASTS):
        key = number.to_bytes(2, 'big')
        table.publish(Broadcast('crash_cleared', key, b'', 60 + number))
    return table, reported


def test_a_crash_is_reported_though_the_table_is_full_of_older_broadcasts(
    full_table,
):
    table, reported = full_table
    crash = Broadcast('crash', b'new', b'fingerprint', 120)
    assert table.publish(crash)
    assert reported[-1] == b'new'
    assert table.get('crash', b'new') == crash
    assert len(table.current) == MAX_BROADCASTS
    assert table.get('crash_cleared', bytes(2)) is None


def test_a_full_table_does_not_take_back_what_expires_before_all_others(
    full_table,
):
    table, reported = full_table
    assert not table.receive(Broadcast('crash', b'old', b'', 59))
    assert reported[-1] != b'old'
    assert table.get('crash_cleared', bytes(2)) is not None
