"""Start of the commands that run on the users' platform."""

from __future__ import annotations

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
