"""Collects the evidence that nodes report to a control host."""

from __future__ import annotations

from collections.abc import Iterable

from lycheespar.rollouts.evidence import (
    RouteEvidence,
    TargetEvidence,
    sum_routes,
)

_Key = tuple[str, str]


class EvidenceTable:
    """Newest report of each target, as received by one control host.

    A report that is lost is made up by the next one, since reports are
    totals; one that comes twice or late has a lower sequence number.
    """

    __slots__ = ('_reports',)

    def __init__(self) -> None:
        """Create an empty table."""
        self._reports: dict[_Key, TargetEvidence] = {}

    @property
    def reports(self) -> tuple[TargetEvidence, ...]:
        """Newest report of each target."""
        return tuple(self._reports.values())

    def add(self, *reports: TargetEvidence) -> None:
        """Store reports unless newer ones are known."""
        for report in reports:
            key = (report.node, report.start)
            known = self._reports.get(key)
            if known is None or known.sequence < report.sequence:
                self._reports[key] = report

    def keep_services(self, services: Iterable[str]) -> None:
        """Forget the reports on all services but the given ones."""
        kept = frozenset(services)
        self._reports = {
            key: report
            for key, report in self._reports.items()
            if report.service in kept
        }


class EvidenceDifference:
    """Calls of a service that were added since the last look."""

    __slots__ = ('_seen', '_service')

    def __init__(self, service: str) -> None:
        """Create a difference that has seen no calls."""
        self._service = service
        self._seen: dict[_Key, TargetEvidence] = {}

    def added(
        self, reports: Iterable[TargetEvidence], version: str
    ) -> tuple[dict[str, RouteEvidence], dict[str, RouteEvidence]]:
        """Return the added calls of a version and of all others, by route."""
        new: list[dict[str, RouteEvidence]] = []
        old: list[dict[str, RouteEvidence]] = []
        for report in reports:
            if report.service == self._service:
                is_new = report.version == version
                (new if is_new else old).append(self._added_by(report))
        return sum_routes(new), sum_routes(old)

    def _added_by(self, report: TargetEvidence) -> dict[str, RouteEvidence]:
        key = (report.node, report.start)
        seen = self._seen.get(key)
        if seen is not None and seen.sequence >= report.sequence:
            return {}
        self._seen[key] = report
        earlier = {} if seen is None else seen.routes
        return {
            route: found.minus(earlier.get(route, RouteEvidence()))
            for route, found in report.routes.items()
        }
