"""Durations and version numbers in the platform's text formats."""

from __future__ import annotations

import re
from typing import Final

from lycheespar.decoding import MAX_DURATION_S

MS_PER_S: Final = 1000
_MAX_DURATION_MS: Final = MAX_DURATION_S * MS_PER_S
_DURATION: Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_UNITS_MS: Final = {'ms': 1, 's': MS_PER_S}
_VERSION: Final = re.compile('[0-9a-fA-F]{8}')


def parse_ms(text: object) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` as milliseconds.

    Raises
    ------
    ValueError
        The text is not a duration, or it is longer than 30 days.
    """
    found = _DURATION.fullmatch(str(text))
    if found is None:
        raise ValueError(
            f"'{text}' is not a duration such as '1500ms' or '2.5s'"
        )
    number, unit = found.groups()
    duration_ms = float(number) * _UNITS_MS[unit]
    if duration_ms > _MAX_DURATION_MS:
        raise ValueError(f'a duration is over {MAX_DURATION_S} s')
    return duration_ms


def parse_s(text: object) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` as seconds.

    Raises
    ------
    ValueError
        The text is not a duration.
    """
    return parse_ms(text) / MS_PER_S


def parse_version(text: object) -> int:
    """Parse a version, which has eight hexadecimal digits.

    Raises
    ------
    ValueError
        The text is not a version.
    """
    if not isinstance(text, str) or _VERSION.fullmatch(text) is None:
        raise ValueError(f"'{text}' is not a version of eight hex digits")
    return int(text, 16)


def format_version(number: int) -> str:
    """Format a version as eight hexadecimal digits."""
    return f'{number:08x}'
