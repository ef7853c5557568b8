"""Definitions of the operators' commands."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click

from lycheespar.commands.operator_options import change_options, read_options
from lycheespar.configuration import changes
from lycheespar.rollouts import order

if TYPE_CHECKING:
    from types import ModuleType

    from lycheespar.commands.operator_actions import Options

REVISION_HELP: Final = 'Revision to report on; default: the newest.'
DURATION_HELP: Final = 'Time in seconds until all requests should have moved.'
FILE_HELP: Final = 'FILE is a file of JSON with comments.'


def _implementation() -> ModuleType:
    """Import the module that implements the commands, when one runs."""
    from lycheespar.commands import operator_actions  # noqa: PLC0415

    return operator_actions


def _build_options(arguments: dict[str, Any]) -> Options:
    present = {
        key: value for key, value in arguments.items() if value is not None
    }
    options: Options = _implementation().Options(**present)
    return options


def _make_change(arguments: dict[str, Any], change: changes.Change) -> None:
    _implementation().make_change(_build_options(arguments), change)


def _show_configuration(
    arguments: dict[str, Any], table: str, name: str = ''
) -> None:
    _implementation().show_configuration(_build_options(arguments), table, name)


@click.group()
def template() -> None:
    """Manage templates; each describes one kind of service."""


@template.command('put', epilog=FILE_HELP)
@click.argument('file', type=click.Path(path_type=Path))
@change_options
def put_template(file: Path, **arguments: Any) -> None:
    """Create or replace a template."""
    _make_change(arguments, _implementation().load_template(file))


@template.command('remove')
@click.argument('name')
@change_options
def remove_template(name: str, **arguments: Any) -> None:
    """Remove a template that no team uses."""
    _make_change(arguments, changes.RemoveTemplate(name))


@template.command('list')
@read_options
def list_templates(**arguments: Any) -> None:
    """List the templates."""
    _show_configuration(arguments, 'templates')


@template.command('show')
@click.argument('name')
@read_options
def show_template(name: str, **arguments: Any) -> None:
    """Print a template."""
    _show_configuration(arguments, 'templates', name)


@click.group()
def team() -> None:
    """Manage teams and their parameters."""


@team.command('put', epilog=FILE_HELP)
@click.argument('file', type=click.Path(path_type=Path))
@change_options
def put_team(file: Path, **arguments: Any) -> None:
    """Create or replace a team."""
    _make_change(arguments, _implementation().load_team(file))


@team.command('remove')
@click.argument('name')
@change_options
def remove_team(name: str, **arguments: Any) -> None:
    """Remove a team."""
    _make_change(arguments, changes.RemoveTeam(name))


@team.command('list')
@read_options
def list_teams(**arguments: Any) -> None:
    """List the teams."""
    _show_configuration(arguments, 'teams')


@team.command('show')
@click.argument('name')
@read_options
def show_team(name: str, **arguments: Any) -> None:
    """Print the services and parameters of a team."""
    _show_configuration(arguments, 'teams', name)


@click.group('take-out')
def take_out() -> None:
    """Take out a data centre or a target; it gets no new requests."""


@take_out.command('data-centre')
@click.argument('name')
@change_options
def take_out_data_centre(name: str, **arguments: Any) -> None:
    """Take out a data centre; its targets get no new requests."""
    _make_change(arguments, changes.TakeOutDataCentre(name))


@take_out.command('target')
@click.argument('name')
@change_options
def take_out_target(name: str, **arguments: Any) -> None:
    """Take out a target; it gets no new requests."""
    _make_change(arguments, changes.TakeOutTarget(name))


@click.group('return')
def return_() -> None:
    """Return a data centre or a target that was taken out."""


@return_.command('data-centre')
@click.argument('name')
@change_options
def return_data_centre(name: str, **arguments: Any) -> None:
    """Return a data centre that was taken out."""
    _make_change(arguments, changes.ReturnDataCentre(name))


@return_.command('target')
@click.argument('name')
@change_options
def return_target(name: str, **arguments: Any) -> None:
    """Return a target that was taken out."""
    _make_change(arguments, changes.ReturnTarget(name))


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
    _make_change(arguments, order.StartRollout(service, version, duration_s))


@rollout.command('list')
@read_options
def list_rollouts(**arguments: Any) -> None:
    """List the services that had a roll-out."""
    _show_configuration(arguments, 'rollouts')


@rollout.command('show')
@click.argument('service')
@read_options
def show_rollout(service: str, **arguments: Any) -> None:
    """Print the latest roll-out of a service, and why it ended."""
    _show_configuration(arguments, 'rollouts', service)


@click.command()
@click.option('--revision', type=click.IntRange(0), help=REVISION_HELP)
@read_options
def status(revision: int | None, **arguments: Any) -> None:
    """Print the state of the control hosts; works without a quorum."""
    _implementation().show_status(_build_options(arguments), revision)


@click.command()
@read_options
def history(**arguments: Any) -> None:
    """Print the latest accepted changes."""
    _implementation().show_history(_build_options(arguments))


def add_operator_commands(cli: click.Group) -> None:
    """Add the operators' commands to the command line."""
    for command in (
        template,
        team,
        take_out,
        return_,
        rollout,
        status,
        history,
    ):
        cli.add_command(command)
