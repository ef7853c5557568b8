"""Load that the target reports itself, which may be late or wrong."""

from __future__ import annotations

from typing import Final

from msgspec.structs import replace

from lycheespar.call import Answer, Load
from lycheespar.profile import HeaderProfile
from lycheespar.targets.headers import header
from lycheespar.targets.load import LoadReport, decode_headers

HOLDS_S: Final = 2


class ReportedLoad:
    """Newest report of the target itself.

    Its count only fills in the load that other nodes are told while no calls
    run: admission never follows it, so that a wrong report refuses no call.
    """

    __slots__ = ('_at', '_pace', '_running')

    def __init__(self) -> None:
        """Start without a report."""
        self._running = 0
        self._at = float('-inf')
        self._pace = 0.0

    def take(self, report: LoadReport, now: float) -> None:
        """Take a report that came at an instant of the event loop's clock."""
        self._running = report.running
        self._pace = report.pace
        self._at = now

    def take_answer(
        self,
        answer: Answer,
        profile: HeaderProfile,
        now: float,
    ) -> None:
        """Take the load that an answer to a call tells, if it does."""
        told = header(answer.headers, profile.load) if profile.load else ''
        if told:
            self.take(decode_headers({profile.load: told}, profile), now)

    def merge(self, load: Load, now: float) -> Load:
        """Add a fresh report to the load that this node sees itself."""
        if now - self._at > HOLDS_S:
            return load
        if self._pace:
            load = replace(load, pace=self._pace)
        if self._running <= load.running:
            return load
        return replace(load, running=min(self._running, load.limit))
