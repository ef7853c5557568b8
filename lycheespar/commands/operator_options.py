"""Options that the operators' commands share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import click

API_HELP: Final = (
    "Address of a control host's API, HOST:PORT or a URL. May be repeated; "
    'the hosts are tried in turn.'
)
JSON_HELP: Final = 'Print JSON.'
WAIT_HELP: Final = 'Wait until the change is in force at all nodes.'
TIMEOUT_HELP: Final = 'Longest time in seconds to wait with --wait.'
OPERATOR_HELP: Final = 'Your name in the history; default: the login name.'
CHANGE_ID_HELP: Final = (
    'Id of the change. If the answer was lost, repeat the command with the '
    'same id to get its outcome; the change takes effect only once.'
)
BASE_HELP: Final = (
    'Revision on which the change is based; the change is refused as a '
    'conflict if this is not the current revision. Default: the current one.'
)
Function = Callable[..., Any]


def read_options(function: Function) -> Function:
    """Add the options of commands that read from the API."""
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
    """Add the options of commands that change the configuration."""
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
