"""Click commands for operators."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click

from lycheespar.commands.operator_options import change_options, read_options
from lycheespar.configuration import changes

if TYPE_CHECKING:
    from types import ModuleType

    from lycheespar.commands.operators import Options

REVISION_HELP: Final = 'Revision to report on; the newest if left out.'
FILE_HELP: Final = 'FILE holds JSON with comments.'


def _work() -> ModuleType:
    """Import what the commands do, late."""
    from lycheespar.commands import operators  # noqa: PLC0415

    return operators


def _options(given: dict[str, Any]) -> Options:
    chosen = {key: one for key, one in given.items() if one is not None}
    options: Options = _work().Options(**chosen)
    return options


def _change(given: dict[str, Any], change: changes.Change) -> None:
    _work().make_change(_options(given), change)


def _show(given: dict[str, Any], table: str, name: str = '') -> None:
    _work().show_configuration(_options(given), table, name)


@click.group()
def template() -> None:
    """Templates: one for each kind of service."""


@template.command('put', epilog=FILE_HELP)
@click.argument('file', type=click.Path(path_type=Path))
@change_options
def put_template(file: Path, **given: Any) -> None:
    """Create or replace a template."""
    _change(given, _work().load_template(file))


@template.command('remove')
@click.argument('name')
@change_options
def remove_template(name: str, **given: Any) -> None:
    """Remove a template that no team uses."""
    _change(given, changes.RemoveTemplate(name))


@template.command('list')
@read_options
def list_templates(**given: Any) -> None:
    """List the templates."""
    _show(given, 'templates')


@template.command('show')
@click.argument('name')
@read_options
def show_template(name: str, **given: Any) -> None:
    """Print one template."""
    _show(given, 'templates', name)


@click.group()
def team() -> None:
    """Teams and their parameters."""


@team.command('put', epilog=FILE_HELP)
@click.argument('file', type=click.Path(path_type=Path))
@change_options
def put_team(file: Path, **given: Any) -> None:
    """Create or replace a team."""
    _change(given, _work().load_team(file))


@team.command('remove')
@click.argument('name')
@change_options
def remove_team(name: str, **given: Any) -> None:
    """Remove a team."""
    _change(given, changes.RemoveTeam(name))


@team.command('list')
@read_options
def list_teams(**given: Any) -> None:
    """List the teams."""
    _show(given, 'teams')


@team.command('show')
@click.argument('name')
@read_options
def show_team(name: str, **given: Any) -> None:
    """Print the parameters of one team."""
    _show(given, 'teams', name)


@click.group('take-out')
def take_out() -> None:
    """Take a data centre or a target out: it gets no new work."""


@take_out.command('data-centre')
@click.argument('name')
@change_options
def take_out_data_centre(name: str, **given: Any) -> None:
    """Take a data centre out."""
    _change(given, changes.TakeOutDataCentre(name))


@take_out.command('target')
@click.argument('name')
@change_options
def take_out_target(name: str, **given: Any) -> None:
    """Take a target out."""
    _change(given, changes.TakeOutTarget(name))


@click.group('return')
def return_() -> None:
    """Return a data centre or a target that was taken out."""


@return_.command('data-centre')
@click.argument('name')
@change_options
def return_data_centre(name: str, **given: Any) -> None:
    """Return a data centre."""
    _change(given, changes.ReturnDataCentre(name))


@return_.command('target')
@click.argument('name')
@change_options
def return_target(name: str, **given: Any) -> None:
    """Return a target."""
    _change(given, changes.ReturnTarget(name))


@click.command()
@click.option('--revision', type=click.IntRange(0), help=REVISION_HELP)
@read_options
def status(revision: int | None, **given: Any) -> None:
    """Print the state of the control hosts, also without a quorum."""
    _work().show_status(_options(given), revision)


@click.command()
@read_options
def history(**given: Any) -> None:
    """Print the latest accepted changes."""
    _work().show_history(_options(given))


def add_operator_commands(cli: click.Group) -> None:
    """Add the operators' commands to the command line."""
    for command in (template, team, take_out, return_, status, history):
        cli.add_command(command)
