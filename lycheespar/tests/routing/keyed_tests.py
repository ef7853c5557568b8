"""A key runs once, and a resend finds what became of it."""

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
async def test_another_request_with_the_key_is_refused(tmp_path, other):
    async with Site(tmp_path, seed=1) as site:
        await _send(site, 0, 'first')
        with pytest.raises(KeyReuseError):
            await _send(site, other, 'second', fingerprint=b'else')


@pytest.mark.parametrize('other', [0, 1])
async def test_a_resend_of_a_running_request_is_told_so(tmp_path, other):
    async with Site(tmp_path, seed=1) as site:
        site.slow_s = 1
        first = asyncio.create_task(_send(site, 0, 'first'))
        while not site.executions:
            await asyncio.sleep(0.001)
        with pytest.raises(StillRunningError):
            await _send(site, other, 'second')
        assert await first == b'first'


async def test_a_request_goes_on_when_its_caller_is_lost(tmp_path):
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


async def test_an_attempt_that_did_not_run_gives_its_key_back(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        site.refused = 1
        with pytest.raises(RefusedError):
            await _send(site, 0, 'first')
        site.refused = 0
        assert await _send(site, 1, 'second') == b'second'


async def test_a_release_that_was_lost_does_not_block_a_key(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        site.refused = 1
        first = asyncio.create_task(_send(site, 0, 'first'))
        while not all(len(host.claims) for host in site.control):
            await asyncio.sleep(0)
        for host in site.control:
            host.cut = True
        with pytest.raises(RefusedError):
            await first
        await asyncio.sleep(0.02)
        for host in site.control:
            host.cut = False
            assert len(host.claims)
        site.refused = 0
        assert await _send(site, 1, 'second') == b'second'


async def test_the_loss_of_the_first_node_keeps_the_answer(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        site.publish(site.nodes[0], Phase.draining)
        await _send(site, 0, 'first')
        await site.nodes[0].restart()
        assert await _send(site, 1, 'second') == b'first'
        assert site.executions == {'/book': 1}


async def test_the_loss_of_all_records_leaves_the_outcome_unknown(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        await _send(site, 0, 'first')
        for node in site.nodes:
            await node.restart()
        with pytest.raises(OutcomeUnknownError):
            await _send(site, 1, 'second')
        assert site.executions == {'/book': 1}


async def test_a_minority_of_control_hosts_starts_nothing(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        site.control[0].cut = site.control[1].cut = True
        with pytest.raises(ClaimUnavailableError):
            await _send(site, 0, 'first')
        assert not site.executions


async def test_a_control_host_with_a_lost_disk_opens_no_second_run(tmp_path):
    async with Site(tmp_path, seed=1) as site:
        site.control[2].cut = True
        await _send(site, 0, 'first')
        for node in site.nodes:
            await node.restart()
        site.control[2].cut = False
        site.control[1].lose_disk()
        site.control[0].cut = True
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
