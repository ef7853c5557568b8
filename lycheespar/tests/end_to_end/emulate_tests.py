"""The emulator: runs of scenarios, its checks and its report."""

from __future__ import annotations

from pathlib import Path

import pytest
from msgspec.structs import replace

from demo.emulate import Emulation
from demo.report import Outcome, format_table, write_report
from demo.scenario import load_scenario
from lycheespar.errors import SettingsError

SCENARIOS = Path(__file__).parents[3] / 'examples' / 'scenarios'


async def test_a_scenario_without_faults_serves_all_requests(tmp_path):
    scenario = replace(load_scenario(SCENARIOS / 'calm.json'), seconds=4)
    emulation = Emulation(scenario, tmp_path)
    await emulation.run()
    assert emulation.violations == []
    ends = {outcome.result for outcome in emulation.outcomes}
    assert ends <= {'in time', 'late'}
    write_report(tmp_path / 'r.html', emulation.outcomes, [], 'calm')
    assert '<svg' in (tmp_path / 'r.html').read_text()


async def test_repeated_runs_and_runs_after_a_refusal_are_found(tmp_path):
    emulation = Emulation(load_scenario(SCENARIOS / 'calm.json'), tmp_path)
    emulation.route_types = {'a': 'non_idempotent', 'b': 'non_idempotent'}
    emulation.refused_statuses = {'b': '503'}
    emulation.site.targets[0].runs.update({'a': 1, 'b': 1})
    emulation.site.targets[1].runs.update({'a': 1})
    emulation._check_runs()
    assert emulation.violations == [
        'a: ran 2 times',
        'b: ran, although refused with 503',
    ]


def test_the_error_of_an_invalid_scenario_names_its_file(tmp_path):
    path = tmp_path / 'bad.json'
    path.write_text('{"seconds": "long", "zones": [], "colour": 1}')
    with pytest.raises(SettingsError) as caught:
        load_scenario(path)
    assert str(path) in caught.value.detail


def test_the_table_counts_requests_by_class_and_end():
    outcomes = [
        Outcome('look-up', 0, 10, 'in time'),
        Outcome('look-up', 1, 900, 'late'),
        Outcome('booking', 1, 1, 'refused'),
    ]
    lines = format_table(outcomes).splitlines()
    assert lines[1].split()[:6] == ['booking', '1', '0', '0', '1', '0']
    assert lines[2].split()[:6] == ['look-up', '2', '1', '1', '0', '0']
