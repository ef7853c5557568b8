"""Tests of the operators' commands with a control host in this process."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import aiohttp
import pytest
import zmq.asyncio
from click.testing import CliRunner, Result

from lycheespar.__main__ import cli
from lycheespar.control.api.api import OperatorApi
from lycheespar.control.host import ControlHost
from lycheespar.control.link import ControlLink
from lycheespar.control.messages import ControlReply, Pull
from lycheespar.settings.definitions import ControlSettings
from lycheespar.settings.options import parse_address
from standins.cluster import OWN_HOST, free_port

EXAMPLES = Path(__file__).parents[3] / 'examples'


class _Api:
    """Runs a control host and executes commands with its API."""

    def __init__(self, folder: Path) -> None:
        self._peer = f'{OWN_HOST}:{free_port(OWN_HOST)}'
        self.address = f'{OWN_HOST}:{free_port(OWN_HOST)}'
        self._settings = ControlSettings.parse(
            {
                'name': 'control-1',
                'data_centre': 'dc-1',
                'http': self.address,
                'peers': {'control-1': self._peer},
                'data_folder': str(folder / 'data'),
                'election_timeout_s': 0.2,
                'heartbeat_s': 0.05,
            },
        )

    async def start(self) -> None:
        self._context = zmq.asyncio.Context()
        self.host = ControlHost(self._settings, self._context)
        self._api = OperatorApi(self.host)
        await self.host.start()
        await self._api.start(parse_address(self.address))

    async def stop(self) -> None:
        await self._api.stop()
        self.host.stop()
        self._context.destroy(linger=0)

    async def pull_as(self, node: str) -> None:
        """Report the newest revision as in force, as a node does."""
        link = ControlLink(
            self._context, parse_address(self._peer), ControlReply
        )
        revision = self.host.group.state.revision
        await link.ask(Pull(node, revision, 0), 5)
        link.close()

    async def run(self, *arguments: str) -> Result:
        given = [*arguments, '--api', '127.0.0.1:1', '--api', self.address]
        return await asyncio.to_thread(CliRunner().invoke, cli, given)

    async def json(self, *arguments: str) -> Any:
        result = await self.run(*arguments, '--json')
        assert result.exit_code == 0, result.output
        return json.loads(result.output)


@pytest.fixture
async def api(tmp_path: Path):
    """Start a control host and stop it after the test."""
    running = _Api(tmp_path)
    await running.start()
    yield running
    await running.stop()


@pytest.mark.parametrize('deployment', ['vlotwacht', 'tuvshin'])
async def test_the_examples_are_accepted(api, deployment):
    folder = EXAMPLES / deployment
    templates = sorted(folder.glob('template-*.json'))
    assert len(templates) == 2
    for path in templates:
        result = await api.run('template', 'put', str(path))
        assert result.exit_code == 0, result.output
    result = await api.run('team', 'put', str(folder / 'team.json'))
    assert result.output.startswith('accepted as revision 3\n')
    shown = await api.json('team', 'show', deployment)
    assert len(shown['services']) == 2
    listed = await api.run('template', 'list')
    assert len(listed.output.split()) == 2


async def test_status_and_history_show_what_is_taken_out(api):
    await api.run('take-out', 'data-centre', 'ijmuiden', '--operator', 'ann')
    await api.run('take-out', 'target', 'cert-1', '--operator', 'ben')
    status = await api.json('status')
    assert status['data_centres_out'] == ['ijmuiden']
    assert status['targets_out'] == ['cert-1']
    await api.run('return', 'data-centre', 'ijmuiden')
    await api.run('return', 'target', 'cert-1')
    status = await api.json('status')
    assert status['data_centres_out'] == status['targets_out'] == []
    lines = (await api.run('history')).output.splitlines()
    assert lines[1].startswith('2 ben take_out_target cert-1 ')
    assert len(lines) == 4


async def test_a_conflict_lists_the_changes_accepted_since_the_base(api):
    await api.run(
        'take-out', 'target', 'a', '--operator', 'ann', '--change-id', 'x'
    )
    result = await api.run('take-out', 'target', 'b', '--base-revision', '0')
    assert result.exit_code == 4
    assert result.stderr.splitlines() == [
        'conflict: the current revision is 1; accepted since:',
        '1 ann take_out_target a (x)',
    ]


async def test_the_api_answers_refusals_as_problem_documents(api):
    body = {
        'change_id': 'x',
        'base_revision': 0,
        'operator': 'ann',
        'change': {'type': 'remove_team', 'name': 'none'},
    }
    url = f'http://{api.address}/v1'
    async with aiohttp.ClientSession() as session:
        async with session.post(f'{url}/changes', json=body) as response:
            assert response.status == 422
            assert response.content_type == 'application/problem+json'
            assert await response.json() == {
                'type': 'urn:lycheespar:change_invalid',
                'status': 422,
                'code': 'change_invalid',
                'detail': "name: there is no team 'none'",
                'problems': ["name: there is no team 'none'"],
            }
        async with session.get(f'{url}/status?revision=x') as response:
            assert response.status == 400
            assert (await response.json())['code'] == 'request_invalid'
        async with session.post(f'{url}/changes', data=b'{') as response:
            assert response.status == 422


async def test_a_rollout_is_started_once_and_shown_with_its_state(api):
    for path in sorted((EXAMPLES / 'vlotwacht').glob('template-*.json')):
        await api.run('template', 'put', str(path))
    await api.run('team', 'put', str(EXAMPLES / 'vlotwacht' / 'team.json'))
    order = ('rollout', 'start', 'vlotwacht/certificates', 'v2')
    started = await api.run(*order, '--duration', '60')
    assert started.exit_code == 0, started.output
    shown = await api.json('rollout', 'show', 'vlotwacht/certificates')
    assert (shown['version'], shown['state']) == ('v2', 'running')
    again = await api.run(*order, '--duration', '60')
    assert again.exit_code == 0
    history = (await api.run('history')).output
    assert 'start_rollout vlotwacht/certificates' in history
    other = await api.run(*order[:-1], 'v3', '--duration', '60')
    assert other.exit_code == 3
    assert "the roll-out of 'v2' is still running" in other.stderr
    unknown = await api.run(
        'rollout', 'start', 'none/none', 'v2', '--duration', '60'
    )
    assert "there is no service 'none/none'" in unknown.stderr


async def test_a_plan_is_checked_against_the_one_in_force(api, tmp_path):
    path = tmp_path / 'plan.json'
    path.write_text(
        """{label: 1, services: {records: {name: 'records'}}, routes: {r: {
        name: 'r', host: 'a.example', path_prefix: '/a/',
        destinations: [{service: 'records'}]}}}"""
    )
    checked = await api.run('plan', 'check', str(path))
    assert checked.exit_code == 0, checked.output
    assert 'differs: routes.r: added' in checked.output
    path.write_text("{label: 1, services: {records: {name: 'records'}}}")
    report = await api.run('plan', 'check', str(path), '--json')
    assert report.exit_code == 3
    assert json.loads(report.output)['unreachable']
    path.write_text('{label: ')
    assert (await api.run('plan', 'check', str(path))).exit_code == 3


async def test_a_change_id_takes_effect_once(api):
    first = await api.json('take-out', 'target', 'one', '--change-id', 'x')
    await api.json('take-out', 'target', 'two')
    again = await api.json('take-out', 'target', 'one', '--change-id', 'x')
    assert first['revision'] == again['revision'] == 1
    assert (await api.json('status'))['accepted'] == 2


async def test_invalid_parameters_are_refused_with_key_and_reason(
    api, tmp_path
):
    path = tmp_path / 'bad.json'
    path.write_text("{name: 'a', parameters: {cold_share: 3, queue_ms: -1}}")
    result = await api.run('template', 'put', str(path))
    assert result.exit_code == 3
    assert 'parameters.cold_share: 3.0 is not within' in result.stderr
    assert 'parameters.queue_ms: -1 is not within' in result.stderr
    path.write_text("{name: 'a', parameters: {cold_shar: 3}}")
    result = await api.run('template', 'put', str(path))
    assert result.exit_code == 3
    assert 'cold_shar' in result.stderr
    assert api.host.group.state.revision == 0


async def test_wait_ends_when_all_nodes_have_confirmed(api):
    command = asyncio.create_task(
        api.run('take-out', 'target', 'one', '--wait'),
    )
    while not api.host.group.state.revision:
        await asyncio.sleep(0.01)
    assert not command.done()
    await api.pull_as('node-1')
    result = await command
    assert result.exit_code == 0
    assert 'in force at 1 of 1 nodes' in result.output


async def test_wait_exits_with_code_6_after_the_time_out(api):
    result = await api.run(
        'take-out', 'target', 'one', '--wait', '--timeout', '0.3'
    )
    assert result.exit_code == 6
    assert result.stderr.startswith('not_in_force: revision 1 is accepted;')


async def test_unknown_names_exit_with_code_3(api):
    assert (await api.run('team', 'show', 'none')).exit_code == 3
    result = await api.run('team', 'remove', 'none')
    assert result.exit_code == 3
    assert "there is no team 'none'" in result.stderr


async def test_an_unreachable_api_exits_with_code_7():
    arguments = ['status', '--api', '127.0.0.1:1']
    result = await asyncio.to_thread(CliRunner().invoke, cli, arguments)
    assert result.exit_code == 7
    assert result.stderr.startswith('api_unreachable: ')
