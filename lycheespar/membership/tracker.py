"""Processing of member records and verdicts."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from typing import Final

from msgspec.structs import replace

from lycheespar.membership.endpoint import HostPort
from lycheespar.membership.records import Liveness, MemberRecord, Verdict
from lycheespar.membership.suspicion import Suspicions
from lycheespar.membership.update_queue import UpdateQueue
from lycheespar.membership.view import MembershipView
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import MemberChanged, TableReceived

# Time in seconds for which the record of a dead member is kept.
DEAD_RETENTION_S: Final = 60
# Number of records of a table above which one event stands for all of them.
MAX_LOGGED_CHANGES: Final = 16


class MemberTracker:
    """Applies records and verdicts to the member table, and spreads changes.

    Parameters
    ----------
    node : str
        Identity of this node, which never suspects itself.
    members : MembershipView
        Member table that is kept up to date.
    updates : UpdateQueue
        Queue that changes are added to.
    """

    __slots__ = ('_dead_at', '_members', '_node', '_suspicions', '_updates')

    def __init__(
        self,
        node: str,
        members: MembershipView,
        updates: UpdateQueue,
    ) -> None:
        """Create a tracker without suspicions."""
        self._node = node
        self._members = members
        self._updates = updates
        self._suspicions = Suspicions()
        self._dead_at: dict[str, float] = {}

    def apply_table(self, records: Sequence[MemberRecord], source: str) -> bool:
        """Store the records of another member's table that are new.

        They are not spread: the members of the other table know them already,
        and comparisons of tables find whoever does not.

        Parameters
        ----------
        records : Sequence[MemberRecord]
            Records of the table.
        source : str
            Identity of the other member.

        Returns
        -------
        bool
            Whether any of the records was new.
        """
        known = {
            record.node: self._members.get(record.node) for record in records
        }
        new_records = [
            record for record in records if self._members.merge(record)
        ]
        for record in new_records:
            self._update_deadlines(record)
        if len(new_records) > MAX_LOGGED_CHANGES:
            events.write(
                TableReceived(source, len(new_records), len(self._members))
            )
        else:
            for logged in new_records:
                _log_change(logged, known[logged.node])
        return bool(new_records)

    def apply_record(self, record: MemberRecord) -> bool:
        """Store and spread a record if it is new; return whether it was."""
        known = self._members.get(record.node)
        if not self._members.merge(record):
            return False
        self._update_deadlines(record)
        _log_change(record, known)
        verdict = record.verdict
        same_version = (
            known is not None
            and known.verdict.record_version == verdict.record_version
        )
        self._updates.add(verdict if same_version else record)
        return True

    def apply_verdict(self, verdict: Verdict) -> None:
        """Store and spread a verdict if it is new."""
        known = self._members.get(verdict.node)
        if not self._members.apply_verdict(verdict):
            return
        record = self._members.get(verdict.node)
        if record is not None:
            self._update_deadlines(record)
            _log_change(record, known)
            self._updates.add(verdict)

    def expire(self, now: float) -> None:
        """Declare overdue suspects dead; remove members that died long ago."""
        for node in self._suspicions.pop_expired(now):
            self._declare_dead(node)
        for node_to_remove in self._nodes_past_retention(now):
            self._dead_at.pop(node_to_remove)
            self._members.remove(node_to_remove)

    def rejoin_candidates(self, seeds: tuple[HostPort, ...]) -> list[HostPort]:
        """Return addresses of seeds and dead members without a live member."""
        alive = {
            (record.host, record.gossip_port)
            for record in self._members.records
            if record.liveness is not Liveness.dead
        }
        dead = (
            (record.host, record.gossip_port)
            for record in itertools.chain(
                (self._members.get(node) for node in self._dead_at),
                self._members.removed,
            )
            if record is not None
        )
        return sorted({*seeds, *dead} - alive)

    def _nodes_past_retention(self, now: float) -> list[str]:
        return [
            node
            for node, dead_at in self._dead_at.items()
            if now - dead_at > DEAD_RETENTION_S
        ]

    def _declare_dead(self, node: str) -> None:
        record = self._members.get(node)
        if record is None or record.liveness is not Liveness.suspect:
            return
        self.apply_record(replace(record, liveness=Liveness.dead))
        # The verdict is not spread: each member applies its own deadline.
        self._updates.discard(node)

    def _update_deadlines(self, record: MemberRecord) -> None:
        """Start or end the deadlines that depend on a member's liveness."""
        if record.node == self._node:
            return
        now = asyncio.get_running_loop().time()
        if record.liveness is Liveness.suspect:
            self._suspicions.begin(record.node, now)
        else:
            self._suspicions.end(record.node)
        if record.liveness is Liveness.dead:
            self._dead_at[record.node] = now
        else:
            self._dead_at.pop(record.node, None)


def _log_change(record: MemberRecord, known: MemberRecord | None) -> None:
    """Write an event if a member's liveness or phase has changed."""
    if known is not None and (known.liveness, known.phase) == (
        record.liveness,
        record.phase,
    ):
        return
    events.write(
        MemberChanged(
            record.node,
            record.liveness.name,
            record.phase.name,
            record.incarnation,
            record.version,
        ),
    )
