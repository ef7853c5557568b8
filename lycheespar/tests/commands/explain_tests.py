"""Tests of the `explain` command."""

from __future__ import annotations

import json

from click.testing import CliRunner

from lycheespar.__main__ import cli
from lycheespar.commands.explain import explain


def _line(at, process, event, request='9c41', **known):
    head = {'at': at, 'process': process, 'part': 'x', 'event': event}
    return json.dumps(head | {'request': request} | known)


LINES = [
    _line('T3', 'node-1', 'refused', code='overloaded', status=503),
    'no JSON at all',
    _line('T1', 'node-1', 'attempt_failed', code='cold_target', again=True),
    _line('T2', 'node-2', 'attempt_failed', request='other'),
    '  1.2 s node-1 ' + _line('T2', 'node-1', 'hedged', after_ms=100),
    '{"at": "T4", "cut',
]


def test_events_of_a_request_are_ordered_by_time():
    steps = explain('9c41', LINES)
    assert [step.event for step in steps] == [
        'attempt_failed',
        'hedged',
        'refused',
    ]
    assert steps[0].known == {'code': 'cold_target', 'again': True}


def test_the_command_reads_files_or_standard_input(tmp_path):
    path = tmp_path / 'node.log'
    path.write_text('\n'.join(LINES))
    runner = CliRunner()
    from_file = runner.invoke(cli, ['explain', '9c41', str(path)])
    from_input = runner.invoke(cli, ['explain', '9c41'], '\n'.join(LINES))
    assert from_file.output == from_input.output
    assert 'T3 node-1 refused code=overloaded status=503' in from_file.output


def test_an_unknown_request_gives_exit_code_1():
    result = CliRunner().invoke(cli, ['explain', 'none'], 'x')
    assert result.exit_code == 1
