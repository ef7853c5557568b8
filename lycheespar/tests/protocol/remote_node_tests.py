"""Tests that a call runs at most once if its channel is silent or lost."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from lycheespar.call import Answer, Call, Load
from lycheespar.errors import (
    CancelledRequestError,
    ChannelClosedError,
    ChannelConnectError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    InvalidAnswerError,
    OutcomeUnknownError,
)
from lycheespar.protocol import heartbeat, remote_node
from lycheespar.protocol.incoming_channel import IncomingChannel
from lycheespar.protocol.messages import Request
from lycheespar.protocol.remote_node import RemoteNode
from lycheespar.quotas.grant import QuotaGrant
from lycheespar.tests.protocol.nodes import (
    CLIENT,
    Node,
    new_call,
    running_node,
)
from standins.link import Link

DELAYED_REQUEST_S = 0.6
_HANDLE_REQUEST = IncomingChannel._handle_request


async def _chunks(*chunks: bytes):
    for chunk in chunks:
        yield chunk


async def _break_channel(node: Node) -> None:
    """Break the channel and wait until the node has detached its call."""
    (tracked,) = node.executions._executions.values()
    for pair in tuple(node.link._connection_pairs):
        pair.close()
    while tracked.sender is not None:
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ('up', 'down'),
    [(True, True), (True, False), (False, True)],
)
async def test_call_on_a_silent_channel_runs_once(up, down):
    async with running_node() as node:
        await node.remote.execute(new_call('/first'))
        node.link.discard_open_traffic(up=up, down=down)
        answer = await node.remote.execute(new_call())
        assert answer.body == b'whole'
        assert node.target.executions == {'/first': 1, '/book': 1}


async def test_missing_acknowledgement_replaces_the_channel(monkeypatch):
    monkeypatch.setattr(heartbeat, 'PERIOD_S', 60)
    async with running_node() as node:
        await node.remote.execute(new_call('/first'))
        node.link.discard_open_traffic()
        await node.remote.execute(new_call(deadline_s=10))
        assert node.target.executions['/book'] == 1


async def test_missing_acknowledgement_does_not_abort_a_stream():
    async with running_node() as node:
        may_continue = asyncio.Event()

        async def body():
            yield b'first '
            await may_continue.wait()
            yield b'last'

        node.target.body = body()
        answer = await node.remote.execute(new_call('/stream'))
        node.target.body = b'whole'
        node.link.discard_open_traffic(up=True, down=False)
        await node.remote.execute(new_call())
        may_continue.set()
        chunks = [chunk async for chunk in answer.body]
        assert b''.join(chunks) == b'first last'


async def test_channel_that_goes_silent_during_a_call_is_replaced():
    async with running_node() as node:
        node.target.may_end.clear()
        task = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.called.wait()
        await asyncio.sleep(0.05)
        node.link.discard_open_traffic()
        node.target.may_end.set()
        assert (await task).body == b'whole'
        assert node.target.executions['/book'] == 1


async def test_call_reattaches_after_its_channel_breaks():
    async with running_node() as node:
        node.target.may_end.clear()
        task = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.called.wait()
        await asyncio.sleep(0.05)
        for pair in tuple(node.link._connection_pairs):
            pair.close()
        node.target.may_end.set()
        assert (await task).body == b'whole'
        assert node.target.executions['/book'] == 1


async def test_streamed_answer_is_sent_on_the_reattached_channel():
    async with running_node() as node:
        node.target.may_end.clear()
        node.target.body = _chunks(b'a' * 70_000, b'b' * 300_000)
        task = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.called.wait()
        await asyncio.sleep(0.05)
        await _break_channel(node)
        node.target.may_end.set()
        body = (await task).body
        assert sum([len(chunk) async for chunk in body]) == 370_000


async def test_call_is_not_resent_to_a_restarted_node():
    async with running_node() as node:
        node.target.may_end.clear()
        task = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.called.wait()
        restarted = Node(incarnation=2)
        await restarted.start()
        node.link._host, node.link._port = restarted.server.address
        for pair in tuple(node.link._connection_pairs):
            pair.close()
        with pytest.raises(OutcomeUnknownError, match='restarted'):
            await task
        assert not restarted.target.executions
        await restarted.stop()


async def test_outcome_is_unknown_if_the_node_has_ended():
    async with running_node() as node:
        node.target.may_end.clear()
        task = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.called.wait()
        await asyncio.sleep(0.05)
        await node.link.stop()
        with pytest.raises(OutcomeUnknownError, match='ended'):
            await task


async def test_outcome_is_unknown_if_the_link_stays_down(monkeypatch):
    monkeypatch.setattr(remote_node, 'RESEND_PERIOD_S', 0.5)
    async with running_node() as node:
        node.target.may_end.clear()
        task = asyncio.create_task(node.remote.execute(new_call()))
        await node.target.called.wait()
        node.link.discard_all_traffic()
        with pytest.raises(OutcomeUnknownError):
            await task


async def test_unreachable_node_raises_a_connect_error():
    async with running_node() as node:
        await node.link.stop()
        with pytest.raises(ChannelConnectError):
            await node.remote.execute(new_call())


async def test_call_that_expires_before_its_start_is_cancelled():
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


async def test_call_that_runs_past_its_deadline_has_an_unknown_outcome():
    async with running_node() as node:
        await node.remote.execute(new_call('/first'))
        node.target.may_end.clear()
        with pytest.raises(DeadlineExceededError):
            await node.remote.execute(new_call(deadline_s=0.5))
        assert node.target.executions['/book'] == 1


async def test_unstarted_streamed_request_on_a_silent_channel_is_cancelled():
    async with running_node() as node:
        await node.remote.execute(new_call('/first'))
        node.link.discard_open_traffic()
        with pytest.raises(CancelledRequestError):
            await node.remote.execute(new_call(body=_chunks(b'a', b'b')))
        assert node.target.executions == {'/first': 1}


async def _read_body(call: Call) -> Answer:
    call.started = True
    body = b''.join([chunk async for chunk in call.body])
    return Answer(200, (), body, Load())


async def test_late_acknowledgement_does_not_cut_a_streamed_request(
    monkeypatch,
):
    node = Node()
    monkeypatch.setattr(node.target, 'execute', _read_body)
    await node.start()
    # An acknowledgement takes both delays, which is over `ACCEPT_TIMEOUT_S`.
    slow_link = Link(*node.server.address, delay_s=lambda _: 0.2)
    await slow_link.start()
    remote = RemoteNode(*slow_link.address, CLIENT, '127.0.0.1')
    try:
        call = new_call('/up', body=_chunks(b'a', b'b'))
        answer = await remote.execute(call)
    finally:
        await remote.close()
        await slow_link.stop()
        await node.stop()
    assert answer.body == b'ab'


async def test_unstarted_streamed_request_without_acknowledgement_is_refused(
    monkeypatch,
):
    async with running_node() as node:
        node.target.may_start.clear()
        monkeypatch.setattr(
            IncomingChannel, '_handle_request', _delayed_handle_request
        )
        await node.remote._first_channel(new_call())
        with pytest.raises(CancelledRequestError):
            await node.remote.execute(new_call(body=_chunks(b'a')))
        node.target.may_start.set()
        await asyncio.sleep(DELAYED_REQUEST_S)
        assert not node.target.executions


def _delayed_handle_request(channel: IncomingChannel, request: Request) -> None:
    asyncio.get_running_loop().call_later(
        DELAYED_REQUEST_S, _HANDLE_REQUEST, channel, request
    )


async def test_started_streamed_request_has_an_unknown_outcome():
    async with running_node() as node:
        node.target.may_end.clear()
        call = new_call(body=_chunks(b'a', b'b'))
        task = asyncio.create_task(node.remote.execute(call))
        await node.target.called.wait()
        node.link.discard_open_traffic()
        with pytest.raises(OutcomeUnknownError, match='channel lost'):
            await task
        assert node.target.executions['/book'] == 1


@pytest.mark.parametrize('silent', [False, True])
async def test_streamed_request_that_was_read_survives_its_channel(silent):
    """The run was cancelled at work, and its caller got a 502."""
    async with running_node() as node:
        node.target.may_end.clear()
        call = new_call(body=_chunks(b'a'))
        task = asyncio.create_task(node.remote.execute(call))
        await node.target.called.wait()
        (tracked,) = node.executions._executions.values()
        assert [chunk async for chunk in tracked.call.body] == [b'a']
        if silent:
            node.link.discard_open_traffic()
        else:
            await _break_channel(node)
        asyncio.get_running_loop().call_later(2, node.target.may_end.set)
        answer = await task
        assert answer.body == b'whole'
        assert node.target.executions == {'/book': 1}


async def test_streamed_request_that_was_cut_has_an_unknown_outcome(
    monkeypatch,
):
    """A caller that sent its whole body must not be told that it is cut."""
    async with running_node() as node:

        async def body() -> AsyncIterator[bytes]:
            yield b'a'
            node.link.discard_open_traffic(down=False)
            yield b'b'

        monkeypatch.setattr(node.target, 'execute', _read_body)
        with pytest.raises(OutcomeUnknownError, match='channel lost'):
            await node.remote.execute(new_call(body=body()))


async def test_close_while_a_channel_opens_raises_a_connect_error(monkeypatch):
    async def never(*_: object) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(remote_node, 'open_channel', never)
    async with running_node() as node:
        task = asyncio.create_task(node.remote.execute(new_call()))
        await asyncio.sleep(0.01)
        await node.remote.close()
        with pytest.raises(ChannelConnectError):
            await task


async def test_quotas_are_taken_and_returned_over_the_channel():
    async with running_node() as node:
        node.quotas.grant = QuotaGrant(0.25, 0.5)
        assert await node.remote.take_quota('hule') == QuotaGrant(0.25, 0.5)
        node.remote.put_back_quota('hule')
        while not node.quotas.returned:
            await asyncio.sleep(0.01)
        assert node.quotas.returned == ['hule']


async def test_a_lost_channel_fails_the_requests_for_quotas():
    async with running_node() as node:
        await node.remote.take_quota('hule')
        node.link.discard_open_traffic()
        request = asyncio.create_task(node.remote.take_quota('hule'))
        await asyncio.sleep(0)
        node.remote._channel._abort_silent()
        with pytest.raises(ChannelClosedError):
            await request


@pytest.mark.parametrize('streamed', [False, True])
@pytest.mark.parametrize(
    ('status', 'headers'),
    [
        (0, ()),
        (99, ()),
        (101, ()),
        (600, ()),
        (200, (('Content-Length ', '5'),)),
        (200, (('X Any', 'a'),)),
        (200, (('', 'a'),)),
        (200, (('X-Any\r\nX-Other', 'a'),)),
        (200, (('X-Any', 'a\x01b'),)),
        (200, (('X-Any', 'a\r\nX-Other: b'),)),
    ],
)
async def test_an_invalid_answer_that_an_older_node_passes_on_is_rejected(
    status, headers, streamed
):
    """Callers got it, and the target behind counted as quick."""
    async with running_node() as node:
        ended = asyncio.Event()

        async def endless():
            try:
                while True:
                    yield b'x' * 1000
            finally:
                ended.set()

        async def execute(call: Call) -> Answer:
            call.started = True
            body = endless() if streamed else b'whole'
            return Answer(status, headers, body, Load())

        answer_properly = node.target.execute
        node.target.execute = execute
        with pytest.raises(InvalidAnswerError) as raised:
            await node.remote.execute(new_call('/first'))
        assert raised.value.status == 502
        if streamed:
            async with asyncio.timeout(10):
                await ended.wait()
        node.target.execute = answer_properly
        assert (await node.remote.execute(new_call())).body == b'whole'
