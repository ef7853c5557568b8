"""Implementations of the operators' commands."""

from __future__ import annotations

import asyncio
import getpass
import json
import uuid
from pathlib import Path
from typing import Any, Final, TypeVar

import click
import json5
import msgspec

from lycheespar.commands.api_client import ApiClient, convert_for_json
from lycheespar.configuration.changes import (
    Change,
    Command,
    PutTeam,
    PutTemplate,
)
from lycheespar.configuration.model import Team, Template
from lycheespar.control.api.status import StatusReport
from lycheespar.control.state.state import AcceptedChange
from lycheespar.errors import (
    ChangeConflictError,
    ChangeInvalidError,
    ChangeNotInForceError,
    ControlError,
    NoQuorumError,
    UnknownNameError,
)

# Seconds between two requests for the status while a command waits.
STATUS_POLL_INTERVAL_S: Final = 0.2
_INDENT: Final = 2

Content = TypeVar('Content')


class Options(msgspec.Struct, frozen=True):
    """Options that the operators' commands share.

    Attributes
    ----------
    api : tuple[str, ...]
        Addresses of the control hosts' APIs.
    as_json : bool
        Whether to print JSON.
    wait : bool
        Whether to wait until the change is in force everywhere.
    timeout_s : float
        Longest time to wait, in seconds.
    operator : str
        Name for the history; empty to use the login name.
    change_id : str
        Id of the change; empty to create a new one.
    base_revision : int
        Revision on which the change is based; -1 for the current one.
    """

    api: tuple[str, ...]
    as_json: bool = False
    wait: bool = False
    timeout_s: float = 15
    operator: str = ''
    change_id: str = ''
    base_revision: int = -1


def load_template(path: Path) -> PutTemplate:
    """Read a template from a file of JSON with comments."""
    return PutTemplate(_load_file(path, Template))


def load_team(path: Path) -> PutTeam:
    """Read a team's parameters from a file of JSON with comments."""
    return PutTeam(_load_file(path, Team))


def make_change(options: Options, change: Change) -> None:
    """Make a change and print its revision and where it is in force."""
    asyncio.run(_make_change(options, change))


def show_configuration(options: Options, table: str, name: str = '') -> None:
    """Print the names in a table of the configuration, or a single entry."""
    client = ApiClient(options.api)
    configuration = convert_for_json(asyncio.run(client.configuration()))
    entries: dict[str, Any] = configuration[table]
    if name:
        if name not in entries:
            raise UnknownNameError(f"there is no entry '{name}' in {table}")
        _print_json(entries[name])
    elif options.as_json:
        _print_json(entries)
    else:
        click.echo('\n'.join(entries) or f'no {table}')


def show_status(options: Options, revision: int | None) -> None:
    """Print the state of the group and where a revision is in force."""
    status = asyncio.run(ApiClient(options.api).status(revision))
    if options.as_json:
        _print_json(convert_for_json(status))
        return
    current = 'current' if status.current else 'NOT confirmed as current'
    click.echo(f"host '{status.host}': {current}, term {status.term}")
    click.echo(f'leader: {status.leader or "unknown"}')
    click.echo(f'voters: {", ".join(sorted(status.voters))}')
    click.echo(f'accepted revision: {status.accepted}')
    click.echo(f'routes: {status.routes} in the plan {status.plan_label}')
    click.echo(f'data centres out: {_format_names(status.data_centres_out)}')
    click.echo(f'targets out: {_format_names(status.targets_out)}')
    click.echo(_format_progress(status))


def show_history(options: Options) -> None:
    """Print the latest accepted changes."""
    history = asyncio.run(ApiClient(options.api).history())
    if options.as_json:
        _print_json(convert_for_json(history))
        return
    for accepted in history:
        click.echo(_history_line(accepted))


async def _make_change(options: Options, change: Change) -> None:
    client = ApiClient(options.api)
    base = options.base_revision
    if base < 0:
        base = (await client.configuration()).revision
    command = Command(
        options.change_id or uuid.uuid4().hex,
        base,
        options.operator or getpass.getuser(),
        change,
    )
    try:
        revision = await client.change(command)
    except NoQuorumError as error:
        raise NoQuorumError(
            f'{error.detail}; to get the outcome, repeat the command with '
            + f'--change-id {command.change_id} --base-revision {base}',
        ) from error
    except ChangeConflictError as error:
        raise await _explain_conflict(client, error, base) from error
    if options.wait:
        status = await _wait_until_in_force(client, revision, options.timeout_s)
    else:
        status = await client.status(revision)
    _print_change(options, command, status)


async def _explain_conflict(
    client: ApiClient,
    error: ChangeConflictError,
    base: int,
) -> ChangeConflictError:
    """Add the changes accepted since the base revision to a conflict."""
    try:
        history = await client.history()
    except ControlError:
        return error
    lines = [
        _history_line(accepted)
        for accepted in history
        if accepted.revision > base
    ]
    detail = '\n'.join((f'{error.detail}; accepted since:', *lines))
    return ChangeConflictError(detail, error.revision)


async def _wait_until_in_force(
    client: ApiClient,
    revision: int,
    timeout_s: float,
) -> StatusReport:
    """Wait until a revision is in force at all recently reporting nodes."""
    progress = 'no status was received'
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                status = await client.status(revision)
                if status.confirmed and not status.missing:
                    return status
                progress = _format_progress(status)
                await asyncio.sleep(STATUS_POLL_INTERVAL_S)
    except (TimeoutError, ControlError) as error:
        raise ChangeNotInForceError(
            f'revision {revision} is accepted; {progress}',
        ) from error


def _load_file(path: Path, content_type: type[Content]) -> Content:
    try:
        raw_content = json5.loads(path.read_text('utf-8'))
        return msgspec.convert(raw_content, content_type)
    except (OSError, ValueError) as error:
        raise ChangeInvalidError((f'{path}: {error}',)) from error


def _history_line(accepted: AcceptedChange) -> str:
    command = accepted.command
    change = convert_for_json(command.change)
    kind = change.pop('type')
    entry_name = _entry_name(change)
    return (
        f'{accepted.revision} {command.operator} {kind} {entry_name} '
        + f'({command.change_id})'
    )


def _entry_name(change: dict[str, Any]) -> str:
    """Return the name of what a change concerns, for the history."""
    if 'name' in change or 'service' in change:
        return str(change.get('name') or change['service'])
    entry = next(iter(change.values()))
    if isinstance(entry, dict):
        return str(entry.get('name') or entry.get('label', ''))
    return str(entry)


def _print_change(
    options: Options,
    command: Command,
    status: StatusReport,
) -> None:
    if options.as_json:
        _print_json(
            {
                'change_id': command.change_id,
                'revision': status.revision,
                'confirmed': status.confirmed,
                'missing': status.missing,
            },
        )
        return
    click.echo(f'accepted as revision {status.revision}')
    click.echo(_format_progress(status))


def _format_progress(status: StatusReport) -> str:
    reached = len(status.confirmed)
    known = reached + len(status.missing)
    line = f'revision {status.revision} in force at {reached} of {known} nodes'
    if status.missing:
        return f'{line}; not yet at {_format_names(status.missing)}'
    return line


def _format_names(names: tuple[str, ...]) -> str:
    return ', '.join(names) or 'none'


def _print_json(content: Any) -> None:
    click.echo(json.dumps(content, indent=_INDENT))
