"""Decodes the load that a target reports; it may be outdated or wrong."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Final

import msgspec

from lycheespar.decoding import Count, Name, Seconds, decode
from lycheespar.profile import HeaderProfile
from lycheespar.targets.notices import Notices, read_notices

MS_PER_S: Final = 1000
# Reported pace, in percent, of a host on which work takes as long as usual.
USUAL_PACE_PERCENT: Final = 100
# Minimum count of numbers in a load header that includes the pace.
_NUMBERS_WITH_PACE: Final = 4
# Greatest multiple of the usual time that a target may report.
MAX_PACE: Final = 1_000_000
# Greatest number of digits of a number in a header.
_MAX_DIGITS: Final = 8


class LoadReport(msgspec.Struct, frozen=True):
    """Load as a target reports it.

    Attributes
    ----------
    running : int
        Requests that are running at the target.
    waiting : int
        Requests that are waiting at the target.
    pace : float
        How long work currently takes on the target's host, as a multiple of
        the usual time; 0 if not reported.
    cold_s : float
        Time in seconds for which the target stays cold; negative if not
        reported.
    target : str
        Name of the target that reports; empty if not reported.
    notices : Notices
        Limit that the target names, and whether it leaves.
    """

    running: Count = 0
    waiting: Count = 0
    pace: Annotated[float, msgspec.Meta(ge=0, le=MAX_PACE)] = 0
    cold_s: Seconds = -1
    target: Name = ''
    notices: Notices = Notices()


_decoder = msgspec.json.Decoder(LoadReport)


def decode_body(body: bytes) -> LoadReport:
    """Decode the JSON body of a load endpoint's answer.

    Raises
    ------
    msgspec.DecodeError
        The body is not a valid load report.
    """
    return decode(_decoder, body)


def decode_headers(
    headers: Mapping[str, str],
    profile: HeaderProfile,
) -> LoadReport:
    """Decode the headers in which a target reports its load.

    Headers that are missing or malformed count as not reported.
    """
    numbers = _parse_numbers(headers.get(profile.load, ''))
    cold_ms = _parse_count(headers.get(profile.cold_ms, ''))
    target = headers.get(profile.target, '')
    return LoadReport(
        running=numbers[0] if numbers else 0,
        waiting=numbers[1] if len(numbers) > 1 else 0,
        pace=numbers[3] / USUAL_PACE_PERCENT
        if len(numbers) >= _NUMBERS_WITH_PACE
        else 0,
        cold_s=-1 if cold_ms is None else cold_ms / MS_PER_S,
        target=target,
        notices=read_notices(headers.items(), profile, target),
    )


def _parse_numbers(text: str) -> list[int]:
    """Return the numbers in a list; none if one of them is malformed."""
    numbers = [_parse_count(part.strip()) for part in text.split(',')]
    known = [number for number in numbers if number is not None]
    return known if len(known) == len(numbers) else []


def _parse_count(text: str) -> int | None:
    if text.isdecimal() and len(text) <= _MAX_DIGITS:
        return int(text)
    return None
