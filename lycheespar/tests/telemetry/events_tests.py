"""Tests of the event log and its rate limit."""

from __future__ import annotations

import json
import os

from loguru import logger

from lycheespar.telemetry.event_log import BURST_LINES, EventLog
from lycheespar.telemetry.events import AnswerTruncated, ConfigurationApplied
from lycheespar.telemetry.logs import LineWriter


def _write_events(*events):
    """Write events to a pipe; return the event log and the decoded lines."""
    source, sink = os.pipe()
    handler = logger.add(LineWriter(sink, 'node-1', as_json=True), format='')
    log = EventLog()
    for event in events:
        log.write(event)
    logger.remove(handler)
    os.close(sink)
    with os.fdopen(source) as lines:
        return log, [json.loads(line) for line in lines]


def test_an_event_is_one_line_with_its_fields():
    _, (line,) = _write_events(AnswerTruncated('ab', 'truncated_answer'))
    assert line.pop('at')
    assert line == {
        'level': 'INFO',
        'process': 'node-1',
        'part': 'ingress',
        'event': 'answer_cut',
        'request': 'ab',
        'code': 'truncated_answer',
    }


def test_request_events_are_rate_limited_and_drops_are_counted():
    many = [
        AnswerTruncated(str(number), 'x') for number in range(3 * BURST_LINES)
    ]
    log, lines = _write_events(*many)
    assert len(lines) < 2 * BURST_LINES
    assert log.dropped == len(many) - len(lines)


def test_other_events_are_never_dropped():
    many = [ConfigurationApplied(number, 1, ()) for number in range(200)]
    log, lines = _write_events(*many)
    assert len(lines) == 200
    assert not log.dropped


def test_lines_to_a_full_pipe_are_dropped_without_blocking():
    source, sink = os.pipe()
    writer = LineWriter(sink, 'node-1', as_json=True)
    handler = logger.add(writer, format='')
    log = EventLog()
    for number in range(2000):
        log.write(ConfigurationApplied(number, 1, ('a' * 100,)))
    logger.remove(handler)
    os.close(sink)
    os.close(source)
    assert writer.dropped
