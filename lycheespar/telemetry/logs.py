"""Log lines: a time, a level, the prefix of a part, a short sentence."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, Final

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

LINES_A_PERIOD: Final = 20
PERIOD_S: Final = 10

_FORMAT: Final = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} [{extra[part]}] {message}'
)


class RateLimit:
    """Passes a limited number of lines a period for each place in the code.

    The first line of the next period says how many were left out.
    """

    __slots__ = ('_counts', '_ends_at')

    def __init__(self) -> None:
        """Start without counts."""
        self._counts: dict[tuple[str, int], int] = {}
        self._ends_at: dict[tuple[str, int], float] = {}

    def __call__(self, record: Record) -> bool:
        """Say whether a line passes."""
        place = (record['file'].path, record['line'])
        now = time.monotonic()
        if now >= self._ends_at.get(place, 0):
            left_out = self._counts.get(place, 0) - LINES_A_PERIOD
            self._ends_at[place] = now + PERIOD_S
            self._counts[place] = 0
            if left_out > 0:
                record['message'] += f' ({left_out} more were left out.)'
        self._counts[place] += 1
        return self._counts[place] <= LINES_A_PERIOD


def configure_logs(level: str, *, as_json: bool) -> None:
    """Send log lines to the standard error stream.

    Parameters
    ----------
    level : str
        Least severe level.
    as_json : bool
        Whether each line is a JSON object.
    """
    logger.remove()
    logger.configure(extra={'part': 'app'})
    logger.add(
        sys.stderr,
        level=level,
        format=_FORMAT,
        serialize=as_json,
        filter=RateLimit(),
        backtrace=False,
        diagnose=False,
    )
