"""Tests of the hosts that a control host knows."""

from __future__ import annotations

from types import SimpleNamespace

from lycheespar.control.agreement.roster import MAX_DISCOVERED, Roster


def test_hosts_that_others_name_do_not_grow_without_a_bound():
    replica = SimpleNamespace(name='c0', voter_sets=(frozenset({'c1'}),))
    roster = Roster(replica, ('c0', 'c2'))
    for number in range(MAX_DISCOVERED + 10):
        roster.add_hosts((f'127.0.0.1:{number + 1}',))
    assert len(roster.others) == MAX_DISCOVERED + 2
    assert {'c1', 'c2'} <= frozenset(roster.others)
