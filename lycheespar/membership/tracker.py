"""Takes records and verdicts, and follows what hangs on them."""

from __future__ import annotations

import asyncio
import itertools
from typing import Final

from msgspec.structs import replace

from lycheespar.membership.endpoint import HostPort
from lycheespar.membership.news import NewsQueue
from lycheespar.membership.records import Liveness, MemberRecord, Verdict
from lycheespar.membership.suspicion import Suspicions
from lycheespar.membership.view import MembershipView
from lycheespar.telemetry.events import MemberChanged, events

# Time for which the record of a dead member is kept, in seconds.
DEAD_RETENTION_S: Final = 60


class MemberTracker:
    """Keeps the table of members, the suspicions and the news in step.

    Parameters
    ----------
    node : str
        Identity of this node, which is never suspected here.
    members : MembershipView
        Table that is kept up to date.
    news : NewsQueue
        Sink of what is new.
    """

    __slots__ = ('_dead_at', '_members', '_news', '_node', '_suspicions')

    def __init__(
        self,
        node: str,
        members: MembershipView,
        news: NewsQueue,
    ) -> None:
        """Start without suspicions."""
        self._node = node
        self._members = members
        self._news = news
        self._suspicions = Suspicions()
        self._dead_at: dict[str, float] = {}

    def take(self, record: MemberRecord) -> bool:
        """Take a record, and pass it on if it is new; say whether it was."""
        known = self._members.get(record.node)
        if not self._members.merge(record):
            return False
        self._follow(record)
        _report(record, known)
        verdict = record.verdict
        same = known is not None and known.verdict.content == verdict.content
        self._news.add(verdict if same else record)
        return True

    def judge(self, verdict: Verdict) -> None:
        """Take a verdict, and pass it on if it is new."""
        known = self._members.get(verdict.node)
        if not self._members.judge(verdict):
            return
        record = self._members.get(verdict.node)
        if record is not None:
            self._follow(record)
            _report(record, known)
            self._news.add(verdict)

    def expire(self, now: float) -> None:
        """Declare suspects dead that did not refute; forget the long dead."""
        for node in self._suspicions.expired(now):
            self._bury(node)
        for long_dead in self._long_dead(now):
            self._dead_at.pop(long_dead)
            self._members.remove(long_dead)

    def lost(self, seeds: tuple[HostPort, ...]) -> list[HostPort]:
        """Return the addresses at which no live member is known."""
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

    def _long_dead(self, now: float) -> list[str]:
        return [
            node
            for node, dead_at in self._dead_at.items()
            if now - dead_at > DEAD_RETENTION_S
        ]

    def _bury(self, node: str) -> None:
        record = self._members.get(node)
        if record is None or record.liveness is not Liveness.suspect:
            return
        self.take(replace(record, liveness=Liveness.dead))
        # Each member comes to this by its own deadline.
        self._news.discard(node)

    def _follow(self, record: MemberRecord) -> None:
        """Start and end the deadlines that hang on a member's liveness."""
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


def _report(record: MemberRecord, known: MemberRecord | None) -> None:
    """Log a member that is held for something else than before."""
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
