"""Tests of the traces."""

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

PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
UNSAMPLED = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00'


class _Target:
    """Remembers the trace context of its calls."""

    def __init__(self, error: Exception | None = None) -> None:
        self.seen: list[str] = []
        self._error = error

    async def execute(self, call: Call) -> Answer:
        self.seen.append(call.traceparent)
        if self._error is not None:
            raise self._error
        return Answer(200, (), b'', Load())


class _Onward:
    """Hands calls from a dispatch to an execution."""

    def __init__(self, execution) -> None:
        self._execution = execution

    async def dispatch(self, call: Call) -> Answer:
        return await self._execution.execute(call)


def _path(tracer: Tracer, target: _Target) -> TracedDispatch:
    hop = TracedExecution('admission', target, tracer)
    return TracedDispatch(_Onward(hop), tracer)


def _spans(path: Path) -> list[dict]:
    return [json.loads(line) for line in path.read_text().splitlines()]


async def test_each_hop_of_a_sampled_call_has_a_span(tmp_path):
    path = tmp_path / 'spans'
    tracer = Tracer('node-1', 0, path)
    target = _Target()
    await _path(tracer, target).dispatch(new_call(PARENT))
    tracer.stop()
    admission, ingress = _spans(path)
    assert ingress['parent_id'] == '0xb7ad6b7169203331'
    assert admission['parent_id'] == ingress['context']['span_id']
    assert admission['context']['span_id'][2:] in target.seen[0]


async def test_a_refusal_is_a_reason_code_of_its_hop(tmp_path):
    path = tmp_path / 'spans'
    tracer = Tracer('node-1', 1, path)
    with pytest.raises(ColdTargetError):
        await _path(tracer, _Target(ColdTargetError())).dispatch(new_call())
    tracer.stop()
    codes = [span['attributes']['code'] for span in _spans(path)]
    assert codes == ['cold_target', 'cold_target']


async def test_an_unsampled_call_has_no_span_and_keeps_its_context(tmp_path):
    path = tmp_path / 'spans'
    tracer = Tracer('node-1', 0, path)
    target = _Target()
    await _path(tracer, target).dispatch(new_call(UNSAMPLED))
    tracer.stop()
    assert not _spans(path)
    assert target.seen == [UNSAMPLED]
