"""The operators' commands against a control host in the same process."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
import zmq.asyncio
from click.testing import CliRunner, Result

from lycheespar.__main__ import cli
from lycheespar.config.options import parse_address
from lycheespar.config.settings import ControlSettings
from lycheespar.control.api import OperatorApi
from lycheespar.control.host import ControlHost
from lycheespar.control.link import ControlLink
from lycheespar.control.messages import ControlReply, Pull
from standins.cluster import free_port

EXAMPLES = Path(__file__).parents[3] / 'examples'


class _Api:
    """A control host, and commands against it."""

    def __init__(self, folder: Path) -> None:
        self._peer = f'127.0.0.1:{free_port("127.0.0.1")}'
        self.address = f'127.0.0.1:{free_port("127.0.0.1")}'
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
        """Confirm the newest revision as a node would."""
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
    """Run one control host."""
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


async def test_what_is_out_shows_in_status_and_history(api):
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


async def test_a_conflict_shows_what_was_accepted_since(api):
    await api.run(
        'take-out', 'target', 'a', '--operator', 'ann', '--change-id', 'x'
    )
    result = await api.run('take-out', 'target', 'b', '--base-revision', '0')
    assert result.exit_code == 4
    assert result.stderr.splitlines() == [
        'conflict: the current revision is 1; accepted since:',
        '1 ann take_out_target a (x)',
    ]


async def test_a_change_id_takes_effect_once(api):
    first = await api.json('take-out', 'target', 'one', '--change-id', 'x')
    await api.json('take-out', 'target', 'two')
    again = await api.json('take-out', 'target', 'one', '--change-id', 'x')
    assert first['revision'] == again['revision'] == 1
    assert (await api.json('status'))['accepted'] == 2


async def test_bad_parameters_are_refused_with_key_and_reason(api, tmp_path):
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


async def test_wait_ends_when_all_nodes_confirmed(api):
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


async def test_wait_gives_up_with_a_code_of_its_own(api):
    result = await api.run(
        'take-out', 'target', 'one', '--wait', '--timeout', '0.3'
    )
    assert result.exit_code == 6
    assert result.stderr.startswith('not_in_force: revision 1 is accepted;')


async def test_unknown_names_have_a_code(api):
    assert (await api.run('team', 'show', 'none')).exit_code == 3
    result = await api.run('team', 'remove', 'none')
    assert result.exit_code == 3
    assert "there is no team 'none'" in result.stderr


async def test_no_control_host_at_all_has_a_code():
    arguments = ['status', '--api', '127.0.0.1:1']
    result = await asyncio.to_thread(CliRunner().invoke, cli, arguments)
    assert result.exit_code == 7
    assert result.stderr.startswith('api_unreachable: ')
