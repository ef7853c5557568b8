"""What a target tells of its load; it may be late or wrong."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import msgspec

from lycheespar.profile import HeaderProfile

MS_PER_S: Final = 1000
# Pace in percent at which work takes as long as usual.
USUAL_PACE: Final = 100
_FIGURES: Final = 4


class LoadReport(msgspec.Struct, frozen=True):
    """One report of load.

    Attributes
    ----------
    running : int
        Requests that run at the target.
    waiting : int
        Requests that wait at the target.
    pace : float
        How long work takes on its host at this instant, as a multiple of the
        usual; 0 where it is not told.
    cold_s : float
        Time in seconds for which it stays cold; negative where it is not
        told.
    target : str
        Identity of the target that reports; empty where it is not told.
    """

    running: int = 0
    waiting: int = 0
    pace: float = 0
    cold_s: float = -1
    target: str = ''


_decoder = msgspec.json.Decoder(LoadReport)


def decode_body(body: bytes) -> LoadReport:
    """Decode the answer of a load endpoint that tells its load as JSON.

    Raises
    ------
    msgspec.DecodeError
        It can't be understood.
    """
    return _decoder.decode(body)


def decode_headers(
    headers: Mapping[str, str],
    profile: HeaderProfile,
) -> LoadReport:
    """Decode the headers in which a target tells its load.

    Headers that are missing or can't be understood count as not told.
    """
    figures = _figures(headers.get(profile.load, ''))
    cold_ms = headers.get(profile.cold_ms, '')
    return LoadReport(
        running=figures[0] if figures else 0,
        waiting=figures[1] if len(figures) > 1 else 0,
        pace=figures[3] / USUAL_PACE if len(figures) >= _FIGURES else 0,
        cold_s=int(cold_ms) / MS_PER_S if cold_ms.isdecimal() else -1,
        target=headers.get(profile.target, ''),
    )


def _figures(text: str) -> list[int]:
    parts = [part.strip() for part in text.split(',')]
    if not all(part.isdecimal() for part in parts):
        return []
    return [int(part) for part in parts]
