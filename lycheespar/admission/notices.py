"""Applies the notices in a target's answers at its node."""

from __future__ import annotations

from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.notices import Notices
from lycheespar.telemetry.events import (
    TargetLeaving,
    TargetLimitChanged,
    events,
)


class NoticeProcessor:
    """Processes the notices in the answers of the local target.

    Parameters
    ----------
    target : LocalTarget
        The target of this node.
    """

    __slots__ = ('_calls_per_s', '_target')

    def __init__(self, target: LocalTarget) -> None:
        """Create a processor that knows no limit."""
        self._target = target
        self._calls_per_s: float | None = None

    def process(self, announcement: Announcement, notices: Notices) -> None:
        """Process the notices in an answer of an announced target.

        They are ignored if the target has been replaced since.
        """
        current = self._target.current
        if current is None or current.start_key != announcement.start_key:
            return
        if notices.calls_per_s != self._calls_per_s:
            self._calls_per_s = notices.calls_per_s
            events.write(
                TargetLimitChanged(current.target, notices.calls_per_s),
            )
        if notices.leaving:
            events.write(TargetLeaving(current.target, current.phase))
