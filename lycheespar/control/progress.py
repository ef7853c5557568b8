"""How far each revision is in force."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Final

import msgspec

from lycheespar.control.peer_messages import NodeProgress

FORGET_AFTER_S: Final = 30


class ProgressReport(msgspec.Struct, frozen=True):
    """How far one revision is in force.

    Attributes
    ----------
    revision : int
        The revision.
    confirmed : tuple[str, ...]
        Nodes where it, or a later one, is in force.
    missing : tuple[str, ...]
        Nodes heard of lately that have not confirmed it.
    """

    revision: int
    confirmed: tuple[str, ...]
    missing: tuple[str, ...]


class Progress:
    """Remembers the revision that each node last reported to this host."""

    __slots__ = ('_reports',)

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, tuple[int, float]] = {}

    @property
    def nodes(self) -> tuple[NodeProgress, ...]:
        """What the nodes heard of lately reported."""
        now = time.monotonic()
        self._reports = {
            node: (revision, noted_at)
            for node, (revision, noted_at) in self._reports.items()
            if now - noted_at < FORGET_AFTER_S
        }
        return tuple(
            NodeProgress(node, revision, now - noted_at)
            for node, (revision, noted_at) in self._reports.items()
        )

    def note(self, node: str, revision: int) -> None:
        """Note the revision in force at a node."""
        self._reports[node] = (revision, time.monotonic())


def report(revision: int, nodes: Iterable[NodeProgress]) -> ProgressReport:
    """Report on one revision; the youngest report of each node counts.

    Parameters
    ----------
    revision : int
        The revision.
    nodes : Iterable[NodeProgress]
        Reports to all control hosts.
    """
    oldest_first = sorted(nodes, key=lambda node: -node.age_s)
    reached = {node.node: node.revision for node in oldest_first}
    names = sorted(reached)
    return ProgressReport(
        revision,
        tuple(name for name in names if reached[name] >= revision),
        tuple(name for name in names if reached[name] < revision),
    )
