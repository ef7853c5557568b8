"""Definitions of the commands for roll-outs."""

from __future__ import annotations

from typing import Any, Final

import click

from lycheespar.commands.operator_commands import run_change, show_entries
from lycheespar.commands.operator_options import change_options, read_options
from lycheespar.rollouts import order

DURATION_HELP: Final = 'Time in seconds until all requests should have moved.'


@click.group()
def rollout() -> None:
    """Move a service to targets of a new version, step by step."""


@rollout.command('start')
@click.argument('service')
@click.argument('version')
@click.option(
    '--duration',
    'duration_s',
    type=click.FloatRange(0, order.MAX_DURATION_S, min_open=True),
    required=True,
    help=DURATION_HELP,
)
@change_options
def start_rollout(
    service: str, version: str, duration_s: float, **arguments: Any
) -> None:
    """Start a roll-out; its targets must run beside the old ones."""
    run_change(arguments, order.StartRollout(service, version, duration_s))


@rollout.command('list')
@read_options
def list_rollouts(**arguments: Any) -> None:
    """List the services that had a roll-out."""
    show_entries(arguments, 'rollouts')


@rollout.command('show')
@click.argument('service')
@read_options
def show_rollout(service: str, **arguments: Any) -> None:
    """Print the latest roll-out of a service, and why it ended."""
    show_entries(arguments, 'rollouts', service)
