"""Guarantees of the system, checked under combined random faults."""

from __future__ import annotations

from pathlib import Path

import aiohttp
import pytest

from lycheespar.tests.end_to_end.faults import Deployment, find_violations


async def _run(folder: Path, seed: int, faults: int) -> Deployment:
    deployment = Deployment(folder, seed)
    async with aiohttp.ClientSession() as session:
        try:
            await deployment.start(session)
            await deployment.run(session, faults)
            await deployment.wait_healthy(session)
            api = deployment.cluster.api
            async with session.get(f'{api}/v1/configuration') as response:
                revision = (await response.json())['revision']
        finally:
            await deployment.stop()
    assert revision >= max(deployment.accepted_revisions)
    return deployment


@pytest.mark.parametrize('seed', range(3))
async def test_no_violation_under_combined_faults(tmp_path, seed):
    deployment = await _run(tmp_path, seed, faults=6)
    assert find_violations(deployment) == []
    assert any('complete' in record.outcomes for record in deployment.history)


@pytest.mark.soak
@pytest.mark.timeout(600)
@pytest.mark.parametrize('seed', range(100, 110))
async def test_no_violation_under_many_faults(tmp_path, seed):
    deployment = await _run(tmp_path, seed, faults=40)
    assert find_violations(deployment) == []
