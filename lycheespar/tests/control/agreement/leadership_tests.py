"""Commit rule of the leader."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.control.agreement.leadership import Leadership
from lycheespar.control.agreement.peer_messages import Append, AppendReply
from lycheespar.control.agreement.replica import Replica, Role
from lycheespar.control.agreement.roster import Roster
from lycheespar.control.link import LinkClosedError
from lycheespar.control.state.entries import FormGroup, LogEntry, Proposal
from lycheespar.control.storage.storage import Storage
from lycheespar.tests.control.agreement.groups import TIMING, command, until

pytestmark = pytest.mark.virtual_clock


class _Followers:
    """Peers that acknowledge the log up to a given index."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.request_count = 0

    async def ask(self, host: str, request: Append, _: float) -> AppendReply:
        """Acknowledge the log up to the index."""
        self.request_count += 1
        await asyncio.sleep(0)
        return AppendReply(request.term, True, self.index, f'disk-{host}')


class _ClosedLinks:
    """Peers whose links are closed."""

    def __init__(self) -> None:
        self.request_count = 0

    async def ask(self, host: str, request: Append, _: float) -> AppendReply:
        """Fail at once."""
        self.request_count += 1
        assert self.request_count < 1000, 'the leader asks without a pause'
        raise LinkClosedError


async def test_a_stopping_leader_does_not_ask_without_pause_over_closed_links(
    tmp_path,
):
    storage = Storage(tmp_path)
    voters = {'control-0': storage.identity.disk, 'control-1': 'disk'}
    storage.append([LogEntry(1, 1, FormGroup('group', voters))])
    replica = Replica('control-0', storage, 1000)
    replica.commit(1)
    replica.role = Role.leader
    links = _ClosedLinks()
    roster = Roster(replica, ('control-1',))
    leadership = Leadership(replica, links, roster, TIMING)
    leading = asyncio.create_task(leadership.run())
    await until(lambda: links.request_count > 0)
    await asyncio.sleep(TIMING.heartbeat_s)
    assert links.request_count < 4
    leading.cancel()
    storage.close()


async def test_leader_commits_older_terms_only_with_an_entry_of_its_own(
    tmp_path,
):
    """A majority that has an entry of an older term does not commit it.

    A later leader without the entry could still be elected and replace it.
    """
    storage = Storage(tmp_path)
    voters = {
        'control-0': storage.identity.disk,
        'control-1': 'disk-control-1',
        'control-2': 'disk-control-2',
    }
    storage.save_vote(4, 'control-0')
    storage.append(
        [
            LogEntry(1, 1, FormGroup('group', voters)),
            LogEntry(2, 2, Proposal(command('old', 0))),
        ],
    )
    replica = Replica('control-0', storage, 1000)
    replica.commit(1)
    replica.role = Role.leader
    followers = _Followers(2)
    roster = Roster(replica, ('control-1', 'control-2'))
    leadership = Leadership(replica, followers, roster, TIMING)
    leading = asyncio.create_task(leadership.run())
    await until(lambda: followers.request_count > 8)
    assert replica.state.index == 1
    followers.index = 3
    await until(lambda: replica.state.index == 3)
    leading.cancel()
    storage.close()
