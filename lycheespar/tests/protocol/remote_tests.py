"""A call runs once although its channel goes silent or breaks."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.errors import (
    CancelledRequestError,
    ChannelConnectError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    OutcomeUnknownError,
)
from lycheespar.protocol import heartbeat, remote
from lycheespar.tests.protocol.nodes import Node, new_call, running_node


async def _chunks(*chunks: bytes):
    for chunk in chunks:
        yield chunk


async def _detached(node: Node) -> None:
    """Break the channel and wait until the node has seen it."""
    (run,) = node.executions._runs.values()
    for pair in tuple(node.link._pairs):
        pair.close()
    while run.sender is not None:
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ('up', 'down'),
    [(True, True), (True, False), (False, True)],
)
async def test_a_call_on_a_silent_channel_runs_once(up, down):
    async with running_node() as node:
        await node.remote.execute(new_call('/first'))
        node.link.silence(up=up, down=down)
        answer = await node.remote.execute(new_call())
        assert answer.body == b'whole'
        assert node.target.executions == {'/first': 1, '/book': 1}


async def test_a_missing_acknowledgement_replaces_the_channel(monkeypatch):
    monkeypatch.setattr(heartbeat, 'PERIOD_S', 60)
    async with running_node() as node:
        await node.remote.execute(new_call('/first'))
        node.link.silence()
        await node.remote.execute(new_call(deadline_s=10))
        assert node.target.executions['/book'] == 1


async def test_a_missing_acknowledgement_does_not_cut_a_stream():
    async with running_node() as node:
        may_go_on = asyncio.Event()

        async def body():
            yield b'first '
            await may_go_on.wait()
            yield b'last'

        node.target.body = body()
        answer = await node.remote.execute(new_call('/stream'))
        node.target.body = b'whole'
        node.link.silence(up=True, down=False)
        await node.remote.execute(new_call())
        may_go_on.set()
        chunks = [chunk async for chunk in answer.body]
        assert b''.join(chunks) == b'first last'


async def test_a_channel_that_goes_silent_while_a_call_runs_is_replaced():
    async with running_node() as node:
        node.target.may_end.clear()
        waiting = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.busy.wait()
        await asyncio.sleep(0.05)
        node.link.silence()
        node.target.may_end.set()
        assert (await waiting).body == b'whole'
        assert node.target.executions['/book'] == 1


async def test_a_call_whose_channel_breaks_is_attached_again():
    async with running_node() as node:
        node.target.may_end.clear()
        waiting = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.busy.wait()
        await asyncio.sleep(0.05)
        for pair in tuple(node.link._pairs):
            pair.close()
        node.target.may_end.set()
        assert (await waiting).body == b'whole'
        assert node.target.executions['/book'] == 1


async def test_a_streamed_answer_goes_to_the_channel_that_attached():
    async with running_node() as node:
        node.target.may_end.clear()
        node.target.body = _chunks(b'a' * 70_000, b'b' * 300_000)
        waiting = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.busy.wait()
        await asyncio.sleep(0.05)
        await _detached(node)
        node.target.may_end.set()
        body = (await waiting).body
        assert sum([len(chunk) async for chunk in body]) == 370_000


async def test_a_call_is_not_sent_to_the_next_incarnation_of_a_node():
    async with running_node() as node:
        node.target.may_end.clear()
        waiting = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.busy.wait()
        other = Node(incarnation=2)
        await other.start()
        node.link._host, node.link._port = other.server.address
        for pair in tuple(node.link._pairs):
            pair.close()
        with pytest.raises(OutcomeUnknownError, match='restarted'):
            await waiting
        assert not other.target.executions
        await other.stop()


async def test_a_node_that_has_ended_leaves_the_outcome_unknown():
    async with running_node() as node:
        node.target.may_end.clear()
        waiting = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.busy.wait()
        await asyncio.sleep(0.05)
        await node.link.stop()
        with pytest.raises(OutcomeUnknownError, match='ended'):
            await waiting


async def test_a_cut_link_ends_a_call_as_unknown(monkeypatch):
    monkeypatch.setattr(remote, 'RESEND_PERIOD_S', 0.5)
    async with running_node() as node:
        node.target.may_end.clear()
        waiting = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.busy.wait()
        node.link.cut()
        with pytest.raises(OutcomeUnknownError):
            await waiting


async def test_an_unreachable_node_is_told_before_anything_is_sent():
    async with running_node() as node:
        await node.link.stop()
        with pytest.raises(ChannelConnectError):
            await node.remote.execute(new_call())


async def test_a_call_that_waits_is_cancelled_as_not_run():
    async with running_node() as node:
        node.target.may_start.clear()
        call = new_call(deadline_s=0.1)
        with pytest.raises(DeadlineUnreachableError):
            await node.remote.execute(call)
        node.target.may_start.set()
        call.deadline += 10
        with pytest.raises(CancelledRequestError):
            await node.remote.execute(call)
        assert not node.target.executions


async def test_a_call_that_runs_past_its_deadline_is_unknown():
    async with running_node() as node:
        node.target.may_end.clear()
        with pytest.raises(DeadlineExceededError):
            await node.remote.execute(new_call(deadline_s=0.1))
        assert node.target.executions['/book'] == 1


async def test_a_streamed_request_on_a_silent_channel_is_resolved():
    async with running_node() as node:
        await node.remote.execute(new_call('/first'))
        node.link.silence()
        with pytest.raises(CancelledRequestError):
            await node.remote.execute(new_call(body=_chunks(b'a', b'b')))
        assert node.target.executions == {'/first': 1}


async def test_a_streamed_request_that_started_is_unknown():
    async with running_node() as node:
        node.target.may_end.clear()
        call = new_call(body=_chunks(b'a', b'b'))
        waiting = asyncio.create_task(node.remote.execute(call))
        await node.target.busy.wait()
        node.link.silence()
        with pytest.raises(OutcomeUnknownError, match='channel lost'):
            await waiting
        assert node.target.executions['/book'] == 1


async def test_a_close_while_a_channel_opens_is_told_as_not_sent(monkeypatch):
    async def never(*_: object) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(remote, 'open_channel', never)
    async with running_node() as node:
        waiting = asyncio.create_task(node.remote.execute(new_call()))
        await asyncio.sleep(0.01)
        await node.remote.close()
        with pytest.raises(ChannelConnectError):
            await waiting
