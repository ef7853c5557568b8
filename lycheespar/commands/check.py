"""Checks a settings file without starting anything."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import msgspec

from lycheespar.config.schema import Schema, read_settings
from lycheespar.config.settings import ControlSettings, NodeSettings
from lycheespar.errors import SettingsError

ROLES: Final[dict[str, type[Schema]]] = {
    'node': NodeSettings,
    'control': ControlSettings,
}
HOSTED_NODE: Final = 'hosted-node'
# Commands whose settings the users' platform writes.
HOSTED_ROLES: Final = (HOSTED_NODE, 'hosted-control')


class CheckReport(msgspec.Struct, frozen=True):
    """What a check found.

    Attributes
    ----------
    role : str
        Command that the settings are for.
    problems : tuple[str, ...]
        Why the settings are refused, a line for each key.
    warnings : tuple[str, ...]
        What is allowed but rarely meant, a line for each key.
    """

    role: str
    problems: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


def check_settings(path: Path, role: str | None) -> CheckReport:
    """Check a settings file.

    Parameters
    ----------
    path : Path
        The file.
    role : str | None
        Command that the settings are for; found by their keys if not given.
    """
    if role in HOSTED_ROLES:
        return _check_hosted(path, role)
    chosen = role or ''
    try:
        given = read_settings(path)
        chosen = role or _role_of(given)
        settings = ROLES[chosen].parse(given)
    except SettingsError as error:
        return CheckReport(chosen, problems=error.problems)
    return CheckReport(chosen, warnings=tuple(settings.warnings()))


def _check_hosted(path: Path, role: str) -> CheckReport:
    """Check a settings file of the users' platform."""
    from lycheespar.platform import settings  # noqa: PLC0415

    try:
        given = settings.load_settings(path)
        if role == HOSTED_NODE:
            settings.node_settings(given)
        else:
            settings.control_settings(given)
    except SettingsError as error:
        return CheckReport(role, problems=error.problems)
    return CheckReport(role)


def _role_of(given: dict[str, object]) -> str:
    return 'control' if 'peers' in given else 'node'
