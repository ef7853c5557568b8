"""The command line of lycheespar."""

from __future__ import annotations

import itertools
import os
import signal
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
_NOTHING_FOUND_EXIT_CODE: Final = 1
# Standard input, output and error.
_STANDARD_STREAMS: Final = 3
_HOSTED_HELP: Final = (
    'The platform sets the path of the settings file in the environment.'
)


_ROLE_HELP: Final = (
    'Command that the settings are for; default: detected from the keys.'
)
_ROLES: Final = ('node', 'control', 'hosted-node', 'hosted-control')
_STRICT_HELP: Final = 'Treat warnings as errors.'
_JSON_HELP: Final = 'Print JSON.'
_CHECK_EXIT_CODES: Final = (
    'Exit code: 0 if the settings are valid, 2 otherwise.'
)


class _Group(click.Group):
    """Command group that reports errors by a message and an exit code."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run a command and report its `LycheesparError`, if any."""
        try:
            return super().invoke(ctx)
        except LycheesparError as error:
            click.echo(f'{error.code}: {error.detail}', err=True)
            sys.exit(error.exit_code)


@click.group(cls=_Group)
@click.version_option(__version__)
def cli() -> None:
    """Load balancer for servers whose load shifts in milliseconds."""
    _open_standard_streams()


@cli.command(epilog=_SETTINGS_HELP)
@click.argument('settings', type=click.Path(path_type=Path))
def node(settings: Path) -> None:
    """Run the node beside a target."""
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
    """Run the node beside a target, on the users' platform."""
    _ignore_reloads()
    from lycheespar.commands.hosted import serve_hosted_node  # noqa: PLC0415

    serve_hosted_node()


@cli.command('hosted-control', epilog=_HOSTED_HELP)
def hosted_control() -> None:
    """Run a control host, on the users' platform."""
    _ignore_reloads()
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
    """Validate a settings file and report all its problems at once."""
    from lycheespar.commands.check import check_settings  # noqa: PLC0415

    report = check_settings(settings, role)
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        for problem in report.problems:
            click.echo(f'error: {problem}')
        for warning in report.warnings:
            click.echo(f'warning: {warning}')
    failed = report.problems or (strict and report.warnings)
    sys.exit(SettingsError.exit_code if failed else 0)


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
    """Show the events of a request, from log FILES or standard input."""
    from lycheespar.commands import explain as explanation  # noqa: PLC0415

    sources = files or (sys.stdin,)
    steps = explanation.explain(request, itertools.chain.from_iterable(sources))
    if as_json:
        click.echo(msgspec.json.encode(steps))
        return
    for step in steps:
        click.echo(explanation.format_step(step))
    if not steps:
        click.echo(f"no event of request '{request}' found", err=True)
        sys.exit(_NOTHING_FOUND_EXIT_CODE)


@cli.command()
@click.option('--json', 'as_json', is_flag=True, help=_JSON_HELP)
def version(*, as_json: bool) -> None:
    """Print the version."""
    versions = {'version': __version__, 'protocol': PROTOCOL_VERSION}
    click.echo(msgspec.json.encode(versions) if as_json else __version__)


def _open_standard_streams() -> None:
    """Open standard streams that are closed, so that no other file is used.

    A process that is started without them would write its log lines to
    the first file or socket that it opens.
    """
    for descriptor in range(_STANDARD_STREAMS):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor is taken, which is this one.
            os.open(os.devnull, os.O_RDWR)


def _ignore_reloads() -> None:
    """Ignore SIGHUP until the running process handles it.

    The signal would end a process that starts; its settings are read later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


add_operator_commands(cli)


if __name__ == '__main__':
    cli()
