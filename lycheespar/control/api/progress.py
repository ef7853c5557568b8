"""Tracks which revision of the configuration is in force at each node."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Final

import msgspec

from lycheespar.control.agreement.peer_messages import NodeProgress

# Reports of nodes that have not pulled for this long, in seconds, are dropped.
REPORT_TTL_S: Final = 30
# Nodes whose reports are kept; the oldest report is dropped first.
MAX_REPORTS: Final = 4096


class ProgressReport(msgspec.Struct, frozen=True):
    """Nodes that have a revision in force, and those that do not.

    Attributes
    ----------
    revision : int
        The revision.
    confirmed : tuple[str, ...]
        Nodes where this or a later revision is in force.
    missing : tuple[str, ...]
        Nodes that reported recently, but an earlier revision.
    """

    revision: int
    confirmed: tuple[str, ...]
    missing: tuple[str, ...]


class ProgressTracker:
    """Newest revision that each node has reported to this control host."""

    __slots__ = ('_reports',)

    def __init__(self) -> None:
        """Create a tracker without reports."""
        self._reports: dict[str, tuple[int, float]] = {}

    @property
    def nodes(self) -> tuple[NodeProgress, ...]:
        """Reports of the nodes that have reported recently."""
        now = time.monotonic()
        self._reports = {
            node: (revision, reported_at)
            for node, (revision, reported_at) in self._reports.items()
            if now - reported_at < REPORT_TTL_S
        }
        return tuple(
            NodeProgress(node, revision, now - reported_at)
            for node, (revision, reported_at) in self._reports.items()
        )

    def record_revision(self, node: str, revision: int) -> None:
        """Record the revision in force at a node."""
        self._reports.pop(node, None)
        if len(self._reports) >= MAX_REPORTS:
            self._reports.pop(next(iter(self._reports)))
        self._reports[node] = (revision, time.monotonic())


def build_report(
    revision: int,
    nodes: Iterable[NodeProgress],
) -> ProgressReport:
    """Build the report on one revision from the newest report of each node.

    Parameters
    ----------
    revision : int
        The revision.
    nodes : Iterable[NodeProgress]
        Reports that the control hosts have received.
    """
    oldest_first = sorted(nodes, key=lambda node: -node.age_s)
    reported_revisions = {node.node: node.revision for node in oldest_first}
    names = sorted(reported_revisions)
    return ProgressReport(
        revision,
        tuple(name for name in names if reported_revisions[name] >= revision),
        tuple(name for name in names if reported_revisions[name] < revision),
    )
