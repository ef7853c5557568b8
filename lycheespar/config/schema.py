"""Base of declared settings: gathers all problems and reports them at once."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, ClassVar, Self

import json5

from lycheespar.config.options import InvalidOptionError, Option
from lycheespar.errors import SettingsError


class Schema:
    """Settings of one command; options are declared as class attributes.

    Parameters
    ----------
    chosen : dict[str, Any]
        Validated values by key.
    """

    options: ClassVar[dict[str, Option[Any]]] = {}

    def __init_subclass__(cls) -> None:
        """Collect the declared options in their order."""
        cls.options = {
            name: option
            for parent in reversed(cls.__mro__)
            for name, option in vars(parent).items()
            if isinstance(option, Option)
        }

    def __init__(self, chosen: dict[str, Any]) -> None:
        """Keep validated values."""
        self.chosen = chosen

    @classmethod
    def parse(cls, given: dict[str, Any]) -> Self:
        """Validate settings.

        Raises
        ------
        SettingsError
            At least one key is missing, unknown or invalid; all are named.
        """
        problems: list[str] = [
            f'{name}: there is no such setting'
            for name in given
            if name not in cls.options
        ]
        chosen: dict[str, Any] = {}
        for name, option in cls.options.items():
            try:
                chosen[name] = _choose(option, name, given)
            except InvalidOptionError as error:
                problems.append(f'{name}: {error}')
        if problems:
            raise SettingsError(tuple(problems))
        settings = cls(chosen)
        contradictions = tuple(settings.contradictions())
        if contradictions:
            raise SettingsError(contradictions)
        return settings

    @classmethod
    def load(cls, path: Path) -> Self:
        """Read and validate a file of JSON with comments.

        Raises
        ------
        SettingsError
            The file can't be read, or the settings are invalid.
        """
        return cls.parse(read_settings(path))

    def contradictions(self) -> Iterator[str]:
        """Yield problems between keys that are valid each on its own."""
        return iter(())

    def warnings(self) -> Iterator[str]:
        """Yield what is allowed but rarely meant."""
        return iter(())


def read_settings(path: Path) -> dict[str, Any]:
    """Read a file of JSON with comments that holds one object.

    Raises
    ------
    SettingsError
        The file can't be read.
    """
    try:
        given = json5.loads(
            path.read_text('utf-8'),
            allow_duplicate_keys=False,
        )
    except (OSError, ValueError) as error:
        raise SettingsError((f'{path}: {error}',)) from error
    if not isinstance(given, dict):
        raise SettingsError((f'{path}: must hold one object',))
    return given


def _choose(option: Option[Any], name: str, given: dict[str, Any]) -> Any:
    if name in given:
        return option.validate(given[name])
    if option.required:
        raise InvalidOptionError('is missing')
    return option.default
