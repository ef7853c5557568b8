"""Options that the operators' commands share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import click

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
Function = Callable[..., Any]


def read_options(function: Function) -> Function:
    """Add the options of commands that read."""
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


def change_options(function: Function) -> Function:
    """Add the options of commands that change."""
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
    return read_options(function)
