"""Loads of near and far targets, refreshed before a call chooses."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.call import Load
from lycheespar.membership.records import MemberRecord
from lycheespar.routing.load_refresh import (
    MAX_FAR_TIMEOUT_S,
    NEAR_TIMEOUT_S,
    LoadRefresher,
)
from lycheespar.routing.table import TargetState, TargetTable
from lycheespar.tests.routing.fakes import make_record
from lycheespar.tests.virtual_loop import VirtualLoop, run_virtual

NEAR_S, FAR_S = 0.001, 0.012
FREE, FULL = Load(1, 0, 6, 200), Load(6, 2, 6, 200)


class _Nodes:
    """Nodes that reply with their load after some time."""

    def __init__(self) -> None:
        self.loads: dict[str, Load] = {}
        self.reply_s: dict[str, float] = {}

    def query_load(self, record: MemberRecord) -> asyncio.Future[Load]:
        """Reply later."""
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Load] = loop.create_future()
        loop.call_later(
            self.reply_s[record.node],
            reply.set_result,
            self.loads[record.node],
        )
        return reply


class _Site:
    """Two near targets and two far ones."""

    def __init__(self) -> None:
        table = TargetTable()
        self.nodes = _Nodes()
        self.near = self._states(table, (0, 1), NEAR_S)
        self.far = self._states(table, (2, 3), FAR_S)
        self.refresher = LoadRefresher('caller', Load, self.nodes)

    async def refresh(self) -> tuple[list[TargetState], float]:
        """Refresh all loads; return the candidates and the time it took."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        chosen = await self.refresher.refresh([*self.near, *self.far])
        return list(chosen), loop.time() - began_at

    async def learn_reply_times(self) -> None:
        """Refresh once and wait for all replies."""
        await self.refresh()
        await asyncio.sleep(1)

    def _states(
        self, table: TargetTable, numbers: tuple[int, ...], reply_s: float
    ) -> list[TargetState]:
        states = [table.state(make_record(number)) for number in numbers]
        for state in states:
            self.nodes.loads[state.record.node] = FREE
            self.nodes.reply_s[state.record.node] = reply_s
        return states


def test_far_targets_with_room_are_known_while_near_ones_are_full():
    """With one time limit for all, they counted as unresponsive."""

    async def scenario(loop: VirtualLoop) -> None:
        site = _Site()
        for state in site.near:
            site.nodes.loads[state.record.node] = FULL
        await site.learn_reply_times()
        candidates, _ = await site.refresh()
        assert candidates == [*site.near, *site.far]
        assert not any(state.is_unresponsive(loop.time()) for state in site.far)
        assert all(state.load == FREE for state in site.far)

    run_virtual(scenario)


def test_a_free_near_target_is_chosen_without_waiting_for_far_ones():
    async def scenario(_: VirtualLoop) -> None:
        site = _Site()
        await site.learn_reply_times()
        candidates, took_s = await site.refresh()
        assert candidates == site.near
        assert took_s == pytest.approx(NEAR_S)

    run_virtual(scenario)


def test_a_reply_that_comes_late_is_used_for_the_next_call():
    async def scenario(loop: VirtualLoop) -> None:
        site = _Site()
        await site.learn_reply_times()
        assert all(state.load_at < loop.time() for state in site.far)
        assert all(state.reply_s == pytest.approx(FAR_S) for state in site.far)

    run_virtual(scenario)


@pytest.mark.parametrize('reply_s', [0.3, 30])
def test_a_silent_far_node_is_not_awaited_for_long(reply_s):
    async def scenario(loop: VirtualLoop) -> None:
        site = _Site()
        for state in site.near:
            site.nodes.loads[state.record.node] = FULL
        await site.learn_reply_times()
        silent = site.far[0]
        site.nodes.reply_s[silent.record.node] = reply_s
        _, took_s = await site.refresh()
        assert took_s <= NEAR_TIMEOUT_S + MAX_FAR_TIMEOUT_S
        assert silent.is_unresponsive(loop.time())

    run_virtual(scenario)


def test_calls_that_choose_at_the_same_time_wait_for_one_query():
    async def scenario(_: VirtualLoop) -> None:
        site = _Site()
        await asyncio.gather(site.refresh(), site.refresh())
        assert all(state.load == FREE for state in site.near)

    run_virtual(scenario)
