"""Command line."""

from __future__ import annotations

import itertools
import sys
from pathlib import Path
from typing import Any, Final, TextIO

import click
import msgspec

from lycheespar import __version__
from lycheespar.commands.operator_commands import add_operator_commands
from lycheespar.errors import LycheesparError, SettingsError
from lycheespar.protocol.version import PROTOCOL_VERSION

_SETTINGS_HELP: Final = 'SETTINGS is a file of JSON with comments.'
_EXPLAIN_EXAMPLE: Final = 'Example: lycheespar explain 9c41d07b node-*.log'
_NOTHING_FOUND: Final = 1
_HOSTED_HELP: Final = 'The environment names the settings file.'


_ROLE_HELP: Final = 'Command the settings are for; found by their keys.'
_ROLES: Final = ('node', 'control', 'hosted-node', 'hosted-control')
_STRICT_HELP: Final = 'Treat warnings as errors.'
_JSON_HELP: Final = 'Print JSON.'
_CHECK_EXIT_CODES: Final = 'Exits with 0 if the settings are valid, else 2.'


class _Group(click.Group):
    """Turns coded errors into a short message and an exit code."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run a command."""
        try:
            return super().invoke(ctx)
        except LycheesparError as error:
            click.echo(f'{error.code}: {error.detail}', err=True)
            sys.exit(error.exit_code)


@click.group(cls=_Group)
@click.version_option(__version__)
def cli() -> None:
    """Load balancer for servers whose load shifts in milliseconds."""


@cli.command(epilog=_SETTINGS_HELP)
@click.argument('settings', type=click.Path(path_type=Path))
def node(settings: Path) -> None:
    """Run the process beside a target."""
    from lycheespar.commands.serve import serve_node  # noqa: PLC0415

    serve_node(settings)


@cli.command(epilog=_SETTINGS_HELP)
@click.argument('settings', type=click.Path(path_type=Path))
def control(settings: Path) -> None:
    """Run a control host."""
    from lycheespar.commands.serve import serve_control  # noqa: PLC0415

    serve_control(settings)


@cli.command('hosted-node', epilog=_HOSTED_HELP)
def hosted_node() -> None:
    """Run the process beside a target, on the users' platform."""
    from lycheespar.commands.hosted import serve_hosted_node  # noqa: PLC0415

    serve_hosted_node()


@cli.command('hosted-control', epilog=_HOSTED_HELP)
def hosted_control() -> None:
    """Run a control host, on the users' platform."""
    from lycheespar.commands.hosted import (  # noqa: PLC0415
        serve_hosted_control,
    )

    serve_hosted_control()


@cli.command(epilog=_CHECK_EXIT_CODES)
@click.argument('settings', type=click.Path(path_type=Path))
@click.option('--role', type=click.Choice(_ROLES), help=_ROLE_HELP)
@click.option('--strict', is_flag=True, help=_STRICT_HELP)
@click.option('--json', 'as_json', is_flag=True, help=_JSON_HELP)
def check(
    settings: Path,
    role: str | None,
    *,
    strict: bool,
    as_json: bool,
) -> None:
    """Check a settings file and report all its problems at once."""
    from lycheespar.commands.check import check_settings  # noqa: PLC0415

    report = check_settings(settings, role)
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        for problem in report.problems:
            click.echo(f'error: {problem}')
        for warning in report.warnings:
            click.echo(f'warning: {warning}')
    refused = report.problems or (strict and report.warnings)
    sys.exit(SettingsError.exit_code if refused else 0)


@cli.command(epilog=_EXPLAIN_EXAMPLE)
@click.argument('request')
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
@click.option('--json', 'as_json', is_flag=True, help=_JSON_HELP)
def explain(
    request: str,
    files: tuple[TextIO, ...],
    *,
    as_json: bool,
) -> None:
    """Show what happened to one request, from logs or standard input."""
    from lycheespar.commands import explain as explaining  # noqa: PLC0415

    sources = files or (sys.stdin,)
    steps = explaining.explain(request, itertools.chain.from_iterable(sources))
    if as_json:
        click.echo(msgspec.json.encode(steps))
        return
    for step in steps:
        click.echo(explaining.describe(step))
    if not steps:
        click.echo(f"no line names the request '{request}'", err=True)
        sys.exit(_NOTHING_FOUND)


@cli.command()
@click.option('--json', 'as_json', is_flag=True, help=_JSON_HELP)
def version(*, as_json: bool) -> None:
    """Print the version."""
    found = {'version': __version__, 'protocol': PROTOCOL_VERSION}
    click.echo(msgspec.json.encode(found) if as_json else __version__)


add_operator_commands(cli)


if __name__ == '__main__':
    cli()
