"""Load that the target reports itself; it may be outdated or wrong."""

from __future__ import annotations

from typing import Final

from msgspec.structs import replace

from lycheespar.call import Answer, Load
from lycheespar.profile import HeaderProfile
from lycheespar.targets.headers import get_header
from lycheespar.targets.load import LoadReport, decode_headers

# Time in seconds for which a report is valid.
REPORT_VALIDITY_S: Final = 2


class ReportedLoad:
    """Latest load report of the target.

    The report can only raise the number of running calls, and set the pace,
    in the load that is sent to other nodes. Admission does not depend on it,
    so a wrong report never causes a call to be refused here.
    """

    __slots__ = ('_pace', '_received_at', '_running')

    def __init__(self) -> None:
        """Create a load without a report."""
        self._running = 0
        self._received_at = float('-inf')
        self._pace = 0.0

    def update(self, report: LoadReport, now: float) -> None:
        """Store a report received at an instant of the event loop's clock."""
        self._running = report.running
        self._pace = report.pace
        self._received_at = now

    def update_from_answer(
        self,
        answer: Answer,
        profile: HeaderProfile,
        now: float,
    ) -> None:
        """Store the load in the headers of an answer, if it has one."""
        load_header = (
            get_header(answer.headers, profile.load) if profile.load else ''
        )
        if load_header:
            self.update(
                decode_headers({profile.load: load_header}, profile), now
            )

    def merge(self, load: Load, now: float) -> Load:
        """Return the load seen by this node, merged with a valid report."""
        if now - self._received_at > REPORT_VALIDITY_S:
            return load
        if self._pace:
            load = replace(load, pace=self._pace)
        if self._running <= load.running:
            return load
        return replace(load, running=min(self._running, load.limit))
