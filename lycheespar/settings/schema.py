"""Base class of the settings schemas; reports all problems at once."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, ClassVar, Self

import json5

from lycheespar.errors import SettingsError
from lycheespar.settings.options import InvalidOptionError, Option


class Schema:
    """Settings of one command; subclasses declare options as attributes.

    Parameters
    ----------
    values : dict[str, Any]
        Validated values by key.
    """

    options: ClassVar[dict[str, Option[Any]]] = {}

    def __init_subclass__(cls) -> None:
        """Collect the declared options in the order of declaration."""
        cls.options = {
            name: option
            for parent in reversed(cls.__mro__)
            for name, option in vars(parent).items()
            if isinstance(option, Option)
        }

    def __init__(self, values: dict[str, Any]) -> None:
        """Create settings from values that are already validated."""
        self.values = values

    @classmethod
    def parse(cls, raw_settings: dict[str, Any]) -> Self:
        """Validate settings.

        Raises
        ------
        SettingsError
            At least one key is missing, unknown or invalid; the error lists
            all of them.
        """
        problems: list[str] = [
            f'{name}: there is no such setting'
            for name in raw_settings
            if name not in cls.options
        ]
        values: dict[str, Any] = {}
        for name, option in cls.options.items():
            try:
                values[name] = _validated_value(option, name, raw_settings)
            except InvalidOptionError as error:
                problems.append(f'{name}: {error}')
        if problems:
            raise SettingsError(tuple(problems))
        settings = cls(values)
        contradictions = tuple(settings.contradictions())
        if contradictions:
            raise SettingsError(contradictions)
        return settings

    @classmethod
    def load(cls, path: Path) -> Self:
        """Read and validate a settings file: JSON with comments.

        Raises
        ------
        SettingsError
            The file can't be read, or the settings are invalid.
        """
        return cls.parse(read_settings(path))

    def contradictions(self) -> Iterator[str]:
        """Yield contradictions between keys whose values are valid."""
        return iter(())

    def warnings(self) -> Iterator[str]:
        """Yield warnings of settings that are allowed but rarely intended."""
        return iter(())


def read_settings(path: Path) -> dict[str, Any]:
    """Read a settings file: one JSON object, with comments.

    Raises
    ------
    SettingsError
        The file can't be read, or is not a JSON object.
    """
    try:
        raw_settings = json5.loads(
            path.read_text('utf-8'),
            allow_duplicate_keys=False,
        )
    except (OSError, ValueError) as error:
        raise SettingsError((f'{path}: {error}',)) from error
    if not isinstance(raw_settings, dict):
        raise SettingsError((f'{path}: must contain one JSON object',))
    return raw_settings


def _validated_value(
    option: Option[Any], name: str, raw_settings: dict[str, Any]
) -> Any:
    if name in raw_settings:
        return option.validate(raw_settings[name])
    if option.required:
        raise InvalidOptionError('is missing')
    return option.default
