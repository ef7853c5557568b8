"""Tests of the metrics sent to statsd and served over HTTP."""

from __future__ import annotations

import socket

import aiohttp
import pytest

from lycheespar.call import Answer, Call, Load
from lycheespar.errors import OverloadedError
from lycheespar.settings.options import Address
from lycheespar.telemetry.exposition import MetricsServer
from lycheespar.telemetry.metrics import Metrics, metric_name
from lycheespar.telemetry.observed import ObservedDispatch
from lycheespar.tests.telemetry.calls import new_call


@pytest.fixture
def server():
    """Open a UDP socket that stands in for the statsd server."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        sock.settimeout(5)
        yield sock


@pytest.fixture
def metrics(server: socket.socket) -> Metrics:
    """Create metrics that are sent to the stand-in server."""
    return Metrics(Address(*server.getsockname()), 'node-1')


class _Dispatch:
    """Dispatch that returns status 200 or raises the given error."""

    def __init__(self, error: Exception | None = None) -> None:
        self._error = error

    async def dispatch(self, call: Call) -> Answer:
        if self._error is not None:
            raise self._error
        return Answer(200, (), b'', Load())


def test_separators_within_a_name_part_are_replaced():
    assert metric_name('call', 'team/desk', 'a.b') == 'call.team_desk.a_b'


def test_a_batch_contains_counters_and_gauges(server, metrics):
    metrics.increment('calls', amount=3)
    metrics.add_gauges(lambda: {'queue': 7})
    metrics.flush()
    lines = server.recv(4096).decode().splitlines()
    assert lines == [
        'lycheespar.node-1.calls:3|c',
        'lycheespar.node-1.queue:7|g',
    ]


def test_counters_are_reset_after_each_batch(server, metrics):
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
    failing = ObservedDispatch(_Dispatch(OverloadedError()), metrics)
    with pytest.raises(OverloadedError):
        await failing.dispatch(new_call())
    metrics.flush()
    lines = server.recv(4096).decode().splitlines()
    name = 'lycheespar.node-1.call.team_desk.look-up'
    assert f'{name}.status_200:1|c' in lines
    assert f'{name}.overloaded:1|c' in lines


async def test_metrics_are_served_in_the_prometheus_format():
    metrics = Metrics(None, 'node-1')
    metrics.increment('call', 'desk', 'look-up', 'status_200', amount=3)
    metrics.increment('target', 'overloaded')
    metrics.observe('call', 'desk', 'look-up', 'latency', latency_ms=30)
    metrics.observe('call', 'desk', 'look-up', 'latency', latency_ms=7000)
    metrics.add_gauges(lambda: {'target.running': 7})
    server = MetricsServer(metrics)
    await server.start(Address('127.0.0.1', 0))
    port = server._runner.addresses[0][1]
    url = f'http://127.0.0.1:{port}/metrics'
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        lines = (await response.text()).splitlines()
    await server.stop()
    (call_line,) = [line for line in lines if 'outcome="status_200"' in line]
    assert call_line.startswith('lycheespar_call_total{')
    assert call_line.endswith('} 3.0')
    assert 'lycheespar_target_total{outcome="overloaded"} 1.0' in lines
    assert 'lycheespar_target_running 7.0' in lines
    bucket = 'lycheespar_call_latency_ms_bucket'
    assert any(
        line.startswith(bucket) and 'le="50"' in line and line.endswith(' 1.0')
        for line in lines
    )


def test_flush_without_a_statsd_server_keeps_the_totals():
    metrics = Metrics(None, 'node-1')
    metrics.increment('calls')
    metrics.flush()
    assert metrics.totals[('calls',)] == 1
