"""Decoding of JSON that other programs write, within bounds.

All values that pass can be sent on in the inner protocols, which have integers
of 64 bits.
"""

from __future__ import annotations

import json
import math
from typing import Annotated, Any, Final, TypeVar

import msgspec

# Longest name of a target, a service or a version, in characters.
MAX_NAME_LENGTH: Final = 255
# Greatest number of slots or connections of one target.
MAX_SLOTS: Final = 65_535
MAX_CONNECTIONS: Final = 1_000_000
# Greatest number of requests that a target may report.
MAX_COUNT: Final = 2**31 - 1
# Longest duration in seconds: 30 days.
MAX_DURATION_S: Final = 2_592_000
# Integers beyond this are not exact in all JSON implementations.
MAX_INTEGER: Final = 2**53

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Connections = Annotated[int, msgspec.Meta(ge=1, le=MAX_CONNECTIONS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Seconds = Annotated[float, msgspec.Meta(le=MAX_DURATION_S)]

Decoded = TypeVar('Decoded')


def decode(decoder: msgspec.json.Decoder[Decoded], body: bytes) -> Decoded:
    """Decode JSON as the type of a decoder.

    Raises
    ------
    msgspec.DecodeError
        The JSON is malformed, is nested too deeply or has another type.
    """
    try:
        return decoder.decode(body)
    except RecursionError as error:
        raise msgspec.DecodeError('JSON is nested too deeply') from error


def load_json(text: str | bytes) -> Any:
    """Decode JSON without a known type.

    Raises
    ------
    ValueError
        The JSON is malformed, is nested too deeply or has a number out of
        range.
    """
    try:
        return json.loads(
            text,
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=_parse_float,
        )
    except RecursionError as error:
        raise ValueError('JSON is nested too deeply') from error


def load_foreign_json(text: str) -> Any:
    """Decode JSON whose unknown fields may have any value.

    Numbers out of range are floats, which may be infinite. The fields that are
    used must be checked.

    Raises
    ------
    ValueError
        The JSON is malformed or is nested too deeply.
    """
    try:
        return json.loads(text, parse_int=_parse_any_integer)
    except RecursionError as error:
        raise ValueError('JSON is nested too deeply') from error


def _parse_any_integer(digits: str) -> float:
    number = float(digits)
    return int(digits) if abs(number) <= MAX_INTEGER else number


def _parse_integer(digits: str) -> int:
    number = int(digits)
    if abs(number) > MAX_INTEGER:
        raise ValueError(f'{number} is out of range')
    return number


def _parse_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f'{text} is out of range')
    return number
