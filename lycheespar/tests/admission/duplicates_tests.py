"""Tests that each call starts at most once and outcomes are retained."""

from __future__ import annotations

import asyncio

from lycheespar.admission import duplicates
from lycheespar.admission.duplicates import CallTable
from lycheespar.admission.expiring_ids import ExpiringIds
from lycheespar.errors import OutcomeUnknownError, OverloadedError
from lycheespar.tests.protocol.nodes import FakeTarget, new_call


class _Sender:
    def __init__(self) -> None:
        self.outcomes: asyncio.Queue = asyncio.Queue()

    async def answer(self, call_id, answer) -> None:
        self.outcomes.put_nowait(answer)

    def refuse(self, call_id, error) -> None:
        self.outcomes.put_nowait(error)


async def test_a_call_is_not_run_again_once_its_answer_is_dropped(monkeypatch):
    monkeypatch.setattr(duplicates, 'MAX_REPLAY_BYTES', 4)
    target, sender = FakeTarget(), _Sender()
    table = CallTable(target)
    call = new_call()
    table.submit(call, sender)
    await sender.outcomes.get()
    table.submit(call, sender)
    assert isinstance(await sender.outcomes.get(), OutcomeUnknownError)
    assert target.executions['/book'] == 1


async def test_a_call_without_a_sender_is_ended_after_the_timeout(monkeypatch):
    monkeypatch.setattr(duplicates, 'DETACHED_TIMEOUT_S', 0.05)
    target, sender = FakeTarget(), _Sender()
    target.may_end.clear()
    table = CallTable(target)
    call = new_call()
    table.submit(call, sender)
    await target.called.wait()
    table.detach(sender)
    while table.attach(call.call_id, sender):
        table.detach(sender)
        await asyncio.sleep(0.1)
    assert table.cancel(call.call_id, accepted=True)


async def test_a_call_with_a_key_continues_without_a_sender(monkeypatch):
    monkeypatch.setattr(duplicates, 'DETACHED_TIMEOUT_S', 0.01)
    target, sender = FakeTarget(), _Sender()
    target.may_end.clear()
    table = CallTable(target)
    call = new_call()
    call.idempotency_key = 'key'
    table.submit(call, sender)
    await target.called.wait()
    table.detach(sender)
    await asyncio.sleep(0.05)
    target.may_end.set()
    assert table.attach(call.call_id, sender)
    assert (await sender.outcomes.get()).body == b'whole'


async def test_the_number_of_remembered_ids_is_limited(monkeypatch):
    monkeypatch.setattr(duplicates, 'MAX_REMEMBERED_IDS', 3)
    target, sender = FakeTarget(), _Sender()
    table = CallTable(target)
    for serial in range(3):
        assert not table.cancel(bytes([serial]), accepted=False)
    assert table.cancel(b'more', accepted=False)
    table.submit(new_call(), sender)
    assert isinstance(await sender.outcomes.get(), OverloadedError)
    assert not target.executions


def test_an_id_is_remembered_for_its_minimum_age(monkeypatch):
    now = [0.0]
    monkeypatch.setattr('time.monotonic', lambda: now[0])
    ids = ExpiringIds(30)
    ids.add(b'first')
    now[0] = 59.9
    ids.add(b'second')
    assert b'first' in ids
    now[0] = 89.9
    ids.add(b'third')
    assert b'first' not in ids
    assert b'second' in ids
