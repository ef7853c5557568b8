"""Idempotency keys: one run at most, and resends get the recorded outcome."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.errors import (
    ClaimUnavailableError,
    KeyReuseError,
    OutcomeUnknownError,
    RefusedError,
    StillRunningError,
)
from lycheespar.membership.records import Phase
from lycheespar.tests.routing.site import Site, new_call


async def _send(site: Site, node: int, attempt: str, **more) -> bytes:
    call = new_call('/book', attempt, 'key', **more)
    return (await site.nodes[node].dispatch(call)).body


@pytest.mark.parametrize('other', [0, 1])
async def test_a_resend_gets_the_recorded_answer(tmp_path, other):
    async with Site(tmp_path, seed=1) as site:
        assert await _send(site, 0, 'first') == b'first'
        assert await _send(site, other, 'second') == b'first'
        assert site.executions == {'/book': 1}


@pytest.mark.parametrize('other', [0, 1])
async def test_a_different_request_with_the_same_key_is_refused(
    tmp_path,
    other,
):
    async with Site(tmp_path, seed=1) as site:
        await _send(site, 0, 'first')
        with pytest.raises(KeyReuseError):
            await _send(site, other, 'second', fingerprint=b'else')


@pytest.mark.parametrize('other', [0, 1])
async def test_a_resend_of_a_running_request_fails_with_still_running(
    tmp_path,
    other,
):
    async with Site(tmp_path, seed=1) as site:
        site.max_duration_s = 1
        first = asyncio.create_task(_send(site, 0, 'first'))
        while not site.executions:
            await asyncio.sleep(0.001)
        with pytest.raises(StillRunningError):
            await _send(site, other, 'second')
        assert await first == b'first'


async def test_a_request_continues_after_its_caller_disconnects(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        first = asyncio.create_task(_send(site, 0, 'first'))
        while not site.executions:
            await asyncio.sleep(0.001)
        first.cancel()
        while True:
            try:
                answer = await _send(site, 1, 'second')
            except StillRunningError:
                await asyncio.sleep(0.01)
            else:
                break
        assert answer == b'first'
        assert site.executions == {'/book': 1}


async def test_an_attempt_that_did_not_run_releases_its_key(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        site.refusal_rate = 1
        with pytest.raises(RefusedError):
            await _send(site, 0, 'first')
        site.refusal_rate = 0
        assert await _send(site, 1, 'second') == b'second'


async def test_a_lost_release_does_not_block_the_key(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        site.refusal_rate = 1
        first = asyncio.create_task(_send(site, 0, 'first'))
        while not all(len(host.claims) for host in site.control):
            await asyncio.sleep(0)
        for host in site.control:
            host.unreachable = True
        with pytest.raises(RefusedError):
            await first
        await asyncio.sleep(0.02)
        for host in site.control:
            host.unreachable = False
            assert len(host.claims)
        site.refusal_rate = 0
        assert await _send(site, 1, 'second') == b'second'


async def test_the_answer_survives_a_restart_of_the_first_node(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        site.publish(site.nodes[0], Phase.draining)
        await _send(site, 0, 'first')
        await site.nodes[0].restart()
        assert await _send(site, 1, 'second') == b'first'
        assert site.executions == {'/book': 1}


async def test_the_outcome_is_unknown_after_the_loss_of_all_records(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        await _send(site, 0, 'first')
        for node in site.nodes:
            await node.restart()
        with pytest.raises(OutcomeUnknownError):
            await _send(site, 1, 'second')
        assert site.executions == {'/book': 1}


async def test_no_attempt_starts_with_a_minority_of_control_hosts(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        site.control[0].unreachable = site.control[1].unreachable = True
        with pytest.raises(ClaimUnavailableError):
            await _send(site, 0, 'first')
        assert not site.executions


async def test_a_control_host_that_lost_its_disk_allows_no_second_run(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        site.control[2].unreachable = True
        await _send(site, 0, 'first')
        for node in site.nodes:
            await node.restart()
        site.control[2].unreachable = False
        site.control[1].lose_disk()
        site.control[0].unreachable = True
        with pytest.raises(RefusedError):
            await _send(site, 1, 'second')
        assert site.executions == {'/book': 1}


async def test_simultaneous_requests_with_one_key_run_once(tmp_path):
    async with Site(tmp_path, seed=1, nodes=5) as site:
        outcomes = await asyncio.gather(
            *(_send(site, index, f'{index}') for index in range(5)),
            return_exceptions=True,
        )
        assert site.executions['/book'] <= 1
        answers = {found for found in outcomes if isinstance(found, bytes)}
        assert len(answers) <= 1
