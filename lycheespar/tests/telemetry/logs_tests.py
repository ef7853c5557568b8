"""Tests of the log lines on standard output."""

from __future__ import annotations

import json
import subprocess
import sys

from lycheespar.telemetry.logs import MAX_LINES_PER_PERIOD

_SCRIPT = """
from loguru import logger
from lycheespar.telemetry.logs import configure_logs
configure_logs('INFO', as_json={as_json})
log = logger.bind(part='routing')
log.debug('Not shown.')
for number in range({lines}):
    log.bind(call_id='ab').info('Line {{}}.', number)
"""


def _log_lines(count: int, *, as_json: bool) -> list[str]:
    """Log from one place in a separate process; return its output."""
    script = _SCRIPT.format(as_json=as_json, lines=count)
    completed = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        check=True,
        text=True,
    )
    assert not completed.stderr
    return completed.stdout.splitlines()


def test_a_text_line_has_level_part_message_and_bound_fields():
    (line,) = _log_lines(1, as_json=False)
    without_time = line.split(maxsplit=1)[1]
    assert without_time == 'INFO    [routing] Line 0. call_id=ab'


def test_a_json_line_has_the_bound_fields():
    (line,) = _log_lines(1, as_json=True)
    record = json.loads(line)
    assert record.pop('at')
    assert record == {
        'level': 'INFO',
        'process': '',
        'part': 'routing',
        'call_id': 'ab',
        'message': 'Line 0.',
    }


def test_repeated_lines_from_one_place_are_rate_limited():
    lines = _log_lines(MAX_LINES_PER_PERIOD * 3, as_json=False)
    assert len(lines) == MAX_LINES_PER_PERIOD
