"""The `check` command, which validates a settings file."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import msgspec

from lycheespar.errors import SettingsError
from lycheespar.settings.definitions import ControlSettings, NodeSettings
from lycheespar.settings.schema import Schema, read_settings

ROLES: Final[dict[str, type[Schema]]] = {
    'node': NodeSettings,
    'control': ControlSettings,
}
HOSTED_NODE: Final = 'hosted-node'
# Commands that read the settings file of the users' platform.
HOSTED_ROLES: Final = (HOSTED_NODE, 'hosted-control')


class CheckReport(msgspec.Struct, frozen=True):
    """Result of the check of a settings file.

    Attributes
    ----------
    role : str
        Command that the settings are for.
    problems : tuple[str, ...]
        Errors in the settings, one line per key.
    warnings : tuple[str, ...]
        Settings that are allowed but rarely intended, one line per key.
    """

    role: str
    problems: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


def check_settings(path: Path, role: str | None) -> CheckReport:
    """Validate the settings file of a command.

    Parameters
    ----------
    path : Path
        Path of the settings file.
    role : str | None
        Command that the settings are for; None to detect it from the keys.
    """
    if role in HOSTED_ROLES:
        return _check_hosted(path, role)
    effective_role = role or ''
    try:
        raw_settings = read_settings(path)
        effective_role = role or _detect_role(raw_settings)
        settings = ROLES[effective_role].parse(raw_settings)
    except SettingsError as error:
        return CheckReport(effective_role, problems=error.problems)
    return CheckReport(effective_role, warnings=tuple(settings.warnings()))


def _check_hosted(path: Path, role: str) -> CheckReport:
    """Validate a settings file of the users' platform."""
    from lycheespar.platform import settings, settings_file  # noqa: PLC0415

    try:
        if role == HOSTED_NODE:
            settings.node_settings(settings_file.load_node(path))
        else:
            settings.control_settings(settings_file.load_control(path))
    except SettingsError as error:
        return CheckReport(role, problems=error.problems)
    return CheckReport(role)


def _detect_role(raw_settings: dict[str, object]) -> str:
    return 'control' if 'peers' in raw_settings else 'node'
