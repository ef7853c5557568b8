"""Tests of sampling and spans."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from lycheespar.call import Answer, Call, Load
from lycheespar.errors import ColdTargetError
from lycheespar.telemetry.traces import (
    TracedDispatch,
    TracedExecution,
    Tracer,
)
from lycheespar.tests.telemetry.calls import new_call

SAMPLED = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
UNSAMPLED = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00'


class _Target:
    """Execution that records the trace context of its calls."""

    def __init__(self, error: Exception | None = None) -> None:
        self.traceparents: list[str] = []
        self._error = error

    async def execute(self, call: Call) -> Answer:
        self.traceparents.append(call.traceparent)
        if self._error is not None:
            raise self._error
        return Answer(200, (), b'', Load())


class _ForwardingDispatch:
    """Dispatch that passes calls to an execution."""

    def __init__(self, execution) -> None:
        self._execution = execution

    async def dispatch(self, call: Call) -> Answer:
        return await self._execution.execute(call)


def _two_hops(tracer: Tracer, target: _Target) -> TracedDispatch:
    """Build the hops "ingress" and "admission" in front of a target."""
    admission = TracedExecution('admission', target, tracer)
    return TracedDispatch(_ForwardingDispatch(admission), tracer)


def _read_spans(path: Path) -> list[dict]:
    return [json.loads(line) for line in path.read_text().splitlines()]


async def test_each_hop_of_a_sampled_call_has_a_span(tmp_path):
    path = tmp_path / 'spans'
    tracer = Tracer('node-1', 0, path)
    target = _Target()
    await _two_hops(tracer, target).dispatch(new_call(SAMPLED))
    tracer.stop()
    admission, ingress = _read_spans(path)
    assert ingress['parent_id'] == '0xb7ad6b7169203331'
    assert admission['parent_id'] == ingress['context']['span_id']
    assert admission['context']['span_id'][2:] in target.traceparents[0]


async def test_the_spans_of_a_failed_call_have_its_error_code(tmp_path):
    path = tmp_path / 'spans'
    tracer = Tracer('node-1', 1, path)
    with pytest.raises(ColdTargetError):
        await _two_hops(tracer, _Target(ColdTargetError())).dispatch(new_call())
    tracer.stop()
    codes = [span['attributes']['code'] for span in _read_spans(path)]
    assert codes == ['cold_target', 'cold_target']


async def test_an_unsampled_call_has_no_spans_and_keeps_its_context(tmp_path):
    path = tmp_path / 'spans'
    tracer = Tracer('node-1', 0, path)
    target = _Target()
    await _two_hops(tracer, target).dispatch(new_call(UNSAMPLED))
    tracer.stop()
    assert not _read_spans(path)
    assert target.traceparents == [UNSAMPLED]
