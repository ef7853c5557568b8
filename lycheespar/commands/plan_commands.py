"""Definition and implementation of the commands for route plans."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any, Final

import click
import json5
import msgspec

from lycheespar.commands.operator_options import read_options

PLATFORM_HELP: Final = "FILE is a document of the users' platform."
PLAN_EPILOG: Final = (
    'FILE is a plan as JSON with comments. Exit code: 0 if only differences '
    'were found, 3 otherwise.'
)
FINDINGS_EXIT_CODE: Final = 3


@click.group()
def plan() -> None:
    """Check route plans."""


@plan.command('check', epilog=PLAN_EPILOG)
@click.argument('file', type=click.Path(path_type=Path))
@click.option('--platform', is_flag=True, help=PLATFORM_HELP)
@read_options
def check_plan_file(
    file: Path, *, platform: bool, as_json: bool, **arguments: Any
) -> None:
    """Compare a plan with the one in force, and find what is wrong with it.

    Reports errors, entries that can never match, limits that contradict each
    other, and differences. Nothing is changed.
    """
    from lycheespar.commands.api_client import ApiClient  # noqa: PLC0415
    from lycheespar.configuration import plan_check  # noqa: PLC0415

    client = ApiClient(arguments['api'])
    configuration = asyncio.run(client.configuration())
    report = plan_check.check_plan(
        _load_plan(file, platform=platform), configuration.plan
    )
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        for line in plan_check.findings(report):
            click.echo(line)
    sys.exit(0 if report.is_clean else FINDINGS_EXIT_CODE)


def _load_plan(path: Path, *, platform: bool) -> Any:
    """Read a plan from a file.

    Raises
    ------
    ChangeInvalidError
        The file can't be read, or is no plan.
    """
    from lycheespar.configuration.routes import RoutePlan  # noqa: PLC0415
    from lycheespar.errors import ChangeInvalidError  # noqa: PLC0415

    try:
        content = path.read_bytes()
        if platform:
            from lycheespar.platform.documents import (  # noqa: PLC0415
                decode_put,
            )

            return decode_put(content).plan
        return msgspec.convert(json5.loads(content.decode()), RoutePlan)
    except (OSError, ValueError) as error:
        raise ChangeInvalidError((f'{path}: {error}',)) from error
