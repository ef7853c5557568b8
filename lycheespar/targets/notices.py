"""Notices in a target's answers: a limit on its rate, and that it leaves."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import msgspec

from lycheespar.profile import HeaderProfile
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import HeaderIgnored

_FALSE_VALUES: Final = frozenset(('', '0'))


class Notices(msgspec.Struct, frozen=True, gc=False):
    """Notices in one answer.

    Attributes
    ----------
    calls_per_s : float | None
        Calls per second that the target takes from all nodes together; None
        if it names no limit.
    leaving : bool
        Whether the target is about to leave and takes no new calls.
    """

    calls_per_s: float | None = None
    leaving: bool = False


_NONE: Final = Notices()


def read_notices(
    headers: Iterable[tuple[str, str]],
    profile: HeaderProfile,
    target: str,
) -> Notices:
    """Read the notices in the headers of an answer.

    A limit that is not a number of at least 0 counts as not named.

    Parameters
    ----------
    headers : Iterable[tuple[str, str]]
        Headers of the answer.
    profile : HeaderProfile
        Names of the headers.
    target : str
        Identity of the target, for the log.
    """
    names = {profile.rate_limit.lower(), profile.leaving.lower()} - {''}
    if not names:
        return _NONE
    found = {
        name.lower(): text.strip()
        for name, text in headers
        if name.lower() in names
    }
    if not found:
        return _NONE
    return Notices(
        _parse_rate(found.get(profile.rate_limit.lower()), profile, target),
        found.get(profile.leaving.lower(), '') not in _FALSE_VALUES,
    )


def _parse_rate(
    text: str | None, profile: HeaderProfile, target: str
) -> float | None:
    if text is None:
        return None
    try:
        calls_per_s = float(text)
    except ValueError:
        calls_per_s = math.nan
    if not math.isfinite(calls_per_s) or calls_per_s < 0:
        events.write(HeaderIgnored(target, profile.rate_limit, text))
        return None
    return calls_per_s
