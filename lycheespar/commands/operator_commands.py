"""Click commands for operators."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click

if TYPE_CHECKING:
    from lycheespar.commands.operators import Options
    from lycheespar.configuration.changes import Change

API_HELP: Final = (
    "Address of a control host's API; repeat it to name several, which are "
    'tried in turn.'
)
JSON_HELP: Final = 'Print JSON.'
WAIT_HELP: Final = 'Wait until the change is in force at all nodes.'
TIMEOUT_HELP: Final = 'Longest time to wait with --wait, in seconds.'
OPERATOR_HELP: Final = 'Name for the history; the login name if left out.'
CHANGE_ID_HELP: Final = (
    'Id of the change. Repeat a command with the same id to learn its '
    'outcome after a lost answer; it takes effect once.'
)
BASE_HELP: Final = (
    'Revision against which the change is made; refused as a conflict if '
    'it is not the current one.'
)
REVISION_HELP: Final = 'Revision to report on; the newest if left out.'
FILE_HELP: Final = 'FILE holds JSON with comments.'

Function = Callable[..., Any]


def _read_options(function: Function) -> Function:
    decorated = click.option(
        '--api',
        multiple=True,
        required=True,
        envvar='LYCHEESPAR_API',
        help=API_HELP,
    )(function)
    return click.option('--json', 'as_json', is_flag=True, help=JSON_HELP)(
        decorated,
    )


def _change_options(function: Function) -> Function:
    decorators = (
        click.option('--wait', is_flag=True, help=WAIT_HELP),
        click.option(
            '--timeout',
            'timeout_s',
            default=15.0,
            show_default=True,
            help=TIMEOUT_HELP,
        ),
        click.option('--operator', default='', help=OPERATOR_HELP),
        click.option('--change-id', default='', help=CHANGE_ID_HELP),
        click.option(
            '--base-revision',
            type=click.IntRange(0),
            help=BASE_HELP,
        ),
    )
    for decorate in reversed(decorators):
        function = decorate(function)
    return _read_options(function)


def _options(given: dict[str, Any]) -> Options:
    from lycheespar.commands.operators import Options  # noqa: PLC0415

    chosen = {key: one for key, one in given.items() if one is not None}
    return Options(**chosen)


def _change(given: dict[str, Any], change: Change) -> None:
    from lycheespar.commands.operators import make_change  # noqa: PLC0415

    make_change(_options(given), change)


def _show(given: dict[str, Any], table: str, name: str = '') -> None:
    from lycheespar.commands import operators  # noqa: PLC0415

    operators.show_configuration(_options(given), table, name)


@click.group()
def template() -> None:
    """Templates: one for each kind of service."""


@template.command('put', epilog=FILE_HELP)
@click.argument('file', type=click.Path(path_type=Path))
@_change_options
def put_template(file: Path, **given: Any) -> None:
    """Create or replace a template."""
    from lycheespar.commands.operators import load_template  # noqa: PLC0415

    _change(given, load_template(file))


@template.command('remove')
@click.argument('name')
@_change_options
def remove_template(name: str, **given: Any) -> None:
    """Remove a template that no team uses."""
    from lycheespar.configuration import changes  # noqa: PLC0415

    _change(given, changes.RemoveTemplate(name))


@template.command('list')
@_read_options
def list_templates(**given: Any) -> None:
    """List the templates."""
    _show(given, 'templates')


@template.command('show')
@click.argument('name')
@_read_options
def show_template(name: str, **given: Any) -> None:
    """Print one template."""
    _show(given, 'templates', name)


@click.group()
def team() -> None:
    """Teams and their parameters."""


@team.command('put', epilog=FILE_HELP)
@click.argument('file', type=click.Path(path_type=Path))
@_change_options
def put_team(file: Path, **given: Any) -> None:
    """Create or replace a team."""
    from lycheespar.commands.operators import load_team  # noqa: PLC0415

    _change(given, load_team(file))


@team.command('remove')
@click.argument('name')
@_change_options
def remove_team(name: str, **given: Any) -> None:
    """Remove a team."""
    from lycheespar.configuration import changes  # noqa: PLC0415

    _change(given, changes.RemoveTeam(name))


@team.command('list')
@_read_options
def list_teams(**given: Any) -> None:
    """List the teams."""
    _show(given, 'teams')


@team.command('show')
@click.argument('name')
@_read_options
def show_team(name: str, **given: Any) -> None:
    """Print the parameters of one team."""
    _show(given, 'teams', name)


@click.group('take-out')
def take_out() -> None:
    """Take a data centre or a target out: it gets no new work."""


@take_out.command('data-centre')
@click.argument('name')
@_change_options
def take_out_data_centre(name: str, **given: Any) -> None:
    """Take a data centre out."""
    from lycheespar.configuration import changes  # noqa: PLC0415

    _change(given, changes.TakeOutDataCentre(name))


@take_out.command('target')
@click.argument('name')
@_change_options
def take_out_target(name: str, **given: Any) -> None:
    """Take a target out."""
    from lycheespar.configuration import changes  # noqa: PLC0415

    _change(given, changes.TakeOutTarget(name))


@click.group('return')
def return_() -> None:
    """Return a data centre or a target that was taken out."""


@return_.command('data-centre')
@click.argument('name')
@_change_options
def return_data_centre(name: str, **given: Any) -> None:
    """Return a data centre."""
    from lycheespar.configuration import changes  # noqa: PLC0415

    _change(given, changes.ReturnDataCentre(name))


@return_.command('target')
@click.argument('name')
@_change_options
def return_target(name: str, **given: Any) -> None:
    """Return a target."""
    from lycheespar.configuration import changes  # noqa: PLC0415

    _change(given, changes.ReturnTarget(name))


@click.command()
@click.option('--revision', type=click.IntRange(0), help=REVISION_HELP)
@_read_options
def status(revision: int | None, **given: Any) -> None:
    """Print the state of the control hosts, also without a quorum."""
    from lycheespar.commands.operators import show_status  # noqa: PLC0415

    show_status(_options(given), revision)


@click.command()
@_read_options
def history(**given: Any) -> None:
    """Print the latest accepted changes."""
    from lycheespar.commands.operators import show_history  # noqa: PLC0415

    show_history(_options(given))


OPERATOR_COMMANDS: Final = (
    template,
    team,
    take_out,
    return_,
    status,
    history,
)
