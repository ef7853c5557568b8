"""Start of the commands that run on the users' platform."""

from __future__ import annotations

import asyncio
import json
import signal

import pytest
from click.testing import CliRunner

from lycheespar.__main__ import cli
from lycheespar.commands import hosted


@pytest.mark.parametrize('role', ['node', 'control'])
def test_a_reload_signal_does_not_end_a_starting_process(role, monkeypatch):
    """SIGHUP ends a process that has no handler for it yet."""
    seen = []
    monkeypatch.setattr(
        hosted,
        f'serve_hosted_{role}',
        lambda: seen.append(signal.getsignal(signal.SIGHUP)),
    )
    before = signal.getsignal(signal.SIGHUP)
    try:
        CliRunner().invoke(cli, [f'hosted-{role}'])
    finally:
        signal.signal(signal.SIGHUP, before)
    assert seen == [signal.SIG_IGN]


class _SeedRecorder:
    """Records the seeds that replace those of a process."""

    def __init__(self) -> None:
        self.seeds = asyncio.Queue()

    def replace_seeds(self, seeds):
        self.seeds.put_nowait([str(seed) for seed in seeds])


@pytest.mark.parametrize('support', ['', None, 'soon'])
async def test_new_seeds_are_used_beside_an_unknown_address(tmp_path, support):
    """A changed file with a new field must not keep seeds from being used."""
    path = tmp_path / 'local.json'
    network = {
        'listen_addrs': {'outbound': '10.1.0.38:8147'},
        'internal_port_range': [7380, 7395],
        'seed_nodes': ['10.1.0.42:8144'],
    }
    path.write_text(json.dumps({'network': network}))
    app, sighup_received = _SeedRecorder(), asyncio.Event()
    watch = asyncio.create_task(
        hosted.watch_settings(app, path, sighup_received)
    )
    await asyncio.sleep(0)
    network['seed_nodes'] = ['10.2.0.44:8144']
    network['listen_addrs']['support'] = support
    path.write_text(json.dumps({'network': network}))
    sighup_received.set()
    assert await app.seeds.get() == ['10.2.0.44:7381']
    watch.cancel()
