"""Definitions of the operators' commands."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click

from lycheespar.commands.operator_options import change_options, read_options
from lycheespar.configuration import changes

if TYPE_CHECKING:
    from types import ModuleType

    from lycheespar.commands.operator_actions import Options

REVISION_HELP: Final = 'Revision to report on; default: the newest.'
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


def run_change(arguments: dict[str, Any], change: changes.Change) -> None:
    """Make a change with the options of a command."""
    _implementation().make_change(_build_options(arguments), change)


def show_entries(arguments: dict[str, Any], table: str, name: str = '') -> None:
    """Print the names in a table of the configuration, or one entry."""
    _implementation().show_configuration(_build_options(arguments), table, name)


@click.group()
def template() -> None:
    """Manage templates; each describes one kind of service."""


@template.command('put', epilog=FILE_HELP)
@click.argument('file', type=click.Path(path_type=Path))
@change_options
def put_template(file: Path, **arguments: Any) -> None:
    """Create or replace a template."""
    run_change(arguments, _implementation().load_template(file))


@template.command('remove')
@click.argument('name')
@change_options
def remove_template(name: str, **arguments: Any) -> None:
    """Remove a template that no team uses."""
    run_change(arguments, changes.RemoveTemplate(name))


@template.command('list')
@read_options
def list_templates(**arguments: Any) -> None:
    """List the templates."""
    show_entries(arguments, 'templates')


@template.command('show')
@click.argument('name')
@read_options
def show_template(name: str, **arguments: Any) -> None:
    """Print a template."""
    show_entries(arguments, 'templates', name)


@click.group()
def team() -> None:
    """Manage teams and their parameters."""


@team.command('put', epilog=FILE_HELP)
@click.argument('file', type=click.Path(path_type=Path))
@change_options
def put_team(file: Path, **arguments: Any) -> None:
    """Create or replace a team."""
    run_change(arguments, _implementation().load_team(file))


@team.command('remove')
@click.argument('name')
@change_options
def remove_team(name: str, **arguments: Any) -> None:
    """Remove a team."""
    run_change(arguments, changes.RemoveTeam(name))


@team.command('list')
@read_options
def list_teams(**arguments: Any) -> None:
    """List the teams."""
    show_entries(arguments, 'teams')


@team.command('show')
@click.argument('name')
@read_options
def show_team(name: str, **arguments: Any) -> None:
    """Print the services and parameters of a team."""
    show_entries(arguments, 'teams', name)


@click.group('take-out')
def take_out() -> None:
    """Take out a data centre or a target; it gets no new requests."""


@take_out.command('data-centre')
@click.argument('name')
@change_options
def take_out_data_centre(name: str, **arguments: Any) -> None:
    """Take out a data centre; its targets get no new requests."""
    run_change(arguments, changes.TakeOutDataCentre(name))


@take_out.command('target')
@click.argument('name')
@change_options
def take_out_target(name: str, **arguments: Any) -> None:
    """Take out a target; it gets no new requests."""
    run_change(arguments, changes.TakeOutTarget(name))


@click.group('return')
def return_() -> None:
    """Return a data centre or a target that was taken out."""


@return_.command('data-centre')
@click.argument('name')
@change_options
def return_data_centre(name: str, **arguments: Any) -> None:
    """Return a data centre that was taken out."""
    run_change(arguments, changes.ReturnDataCentre(name))


@return_.command('target')
@click.argument('name')
@change_options
def return_target(name: str, **arguments: Any) -> None:
    """Return a target that was taken out."""
    run_change(arguments, changes.ReturnTarget(name))


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
    from lycheespar.commands.plan_commands import plan  # noqa: PLC0415
    from lycheespar.commands.rollout_commands import (  # noqa: PLC0415
        rollout,
    )

    for command in (
        template,
        team,
        take_out,
        return_,
        plan,
        rollout,
        status,
        history,
    ):
        cli.add_command(command)
