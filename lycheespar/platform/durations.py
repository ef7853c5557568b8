"""Times and version numbers as the platform writes them."""

from __future__ import annotations

import re
from typing import Final

MS_PER_S: Final = 1000
_DURATION: Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_UNITS_MS: Final = {'ms': 1, 's': MS_PER_S}
_VERSION: Final = re.compile('[0-9a-fA-F]{8}')


def parse_ms(text: object) -> float:
    """Return the milliseconds of a time such as ``1500ms`` or ``2.5s``.

    Raises
    ------
    ValueError
        It is no time.
    """
    found = _DURATION.fullmatch(str(text))
    if found is None:
        raise ValueError(f"'{text}' is not a time such as '1500ms' or '2.5s'")
    number, unit = found.groups()
    return float(number) * _UNITS_MS[unit]


def parse_s(text: object) -> float:
    """Return the seconds of a time such as ``1500ms`` or ``2.5s``."""
    return parse_ms(text) / MS_PER_S


def parse_version(text: object) -> int:
    """Return the number of a version in eight hexadecimal digits.

    Raises
    ------
    ValueError
        It is no version.
    """
    if not isinstance(text, str) or _VERSION.fullmatch(text) is None:
        raise ValueError(f"'{text}' is not a version of eight hex digits")
    return int(text, 16)


def format_version(number: int) -> str:
    """Write a version in eight hexadecimal digits."""
    return f'{number:08x}'
