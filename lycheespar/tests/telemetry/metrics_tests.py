"""Tests of the metrics."""

from __future__ import annotations

import socket

import pytest

from lycheespar.call import Answer, Call, Load
from lycheespar.config.options import Address
from lycheespar.errors import OverloadedError
from lycheespar.telemetry.metrics import Metrics, metric_name
from lycheespar.telemetry.observed import ObservedDispatch
from lycheespar.tests.telemetry.calls import new_call


@pytest.fixture
def server():
    """Listen where a statsd server would."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        sock.settimeout(5)
        yield sock


@pytest.fixture
def metrics(server: socket.socket) -> Metrics:
    """Send to the stand-in server."""
    return Metrics(Address(*server.getsockname()), 'node-1')


class _Dispatch:
    """Answers, or fails with an error."""

    def __init__(self, error: Exception | None = None) -> None:
        self._error = error

    async def dispatch(self, call: Call) -> Answer:
        if self._error is not None:
            raise self._error
        return Answer(200, (), b'', Load())


def test_separators_within_a_part_are_replaced():
    assert metric_name('call', 'team/desk', 'a.b') == 'call.team_desk.a_b'


def test_a_batch_carries_counters_and_gauges(server, metrics):
    metrics.increment('calls', 3)
    metrics.add_gauges(lambda: {'queue': 7})
    metrics.flush()
    lines = server.recv(4096).decode().splitlines()
    assert lines == [
        'lycheespar.node-1.calls:3|c',
        'lycheespar.node-1.queue:7|g',
    ]


def test_a_batch_starts_from_zero(server, metrics):
    metrics.increment('calls')
    metrics.flush()
    server.recv(4096)
    metrics.increment('other')
    metrics.flush()
    assert server.recv(4096).decode() == 'lycheespar.node-1.other:1|c'


async def test_calls_are_counted_by_service_class_and_outcome(
    server,
    metrics,
):
    await ObservedDispatch(_Dispatch(), metrics).dispatch(new_call())
    refusing = ObservedDispatch(_Dispatch(OverloadedError()), metrics)
    with pytest.raises(OverloadedError):
        await refusing.dispatch(new_call())
    metrics.flush()
    lines = server.recv(4096).decode().splitlines()
    name = 'lycheespar.node-1.call.team_desk.look-up'
    assert f'{name}.status_200:1|c' in lines
    assert f'{name}.overloaded:1|c' in lines
