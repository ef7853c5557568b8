"""Tests of the gauges of a node."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lycheespar.errors import RequestError, TargetRefusedError
from lycheespar.routing.budget import RetryBudgets
from lycheespar.telemetry.gauges import retry_and_gossip_gauges
from lycheespar.tests.routing.fakes import FakeTargets, build_router, make_call


async def test_gauges_count_spent_and_denied_retries():
    budgets = RetryBudgets(4, 1)
    targets = FakeTargets(lambda *_: TargetRefusedError())
    router = build_router(targets, budgets=budgets, retry_share=0)
    for _ in range(3):
        with pytest.raises(RequestError):
            await router.dispatch(make_call())
    endpoint = SimpleNamespace(sent_bytes=300, received_bytes=200)
    assert retry_and_gossip_gauges(budgets, endpoint) == {
        'retries.spent': 1,
        'retries.denied': 3,
        'gossip.sent_bytes': 300,
        'gossip.received_bytes': 200,
    }
