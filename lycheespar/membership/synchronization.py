"""Anti-entropy: comparison of member tables to recover lost updates."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from lycheespar.membership.endpoint import Endpoint, HostPort
from lycheespar.membership.messages import (
    BucketContents,
    Datagram,
    RecordRequest,
    Records,
    TablesEqual,
    TableSummary,
    Updates,
    encoded_size,
    sender_fields,
)
from lycheespar.membership.records import Liveness, MemberRecord, Verdict
from lycheespar.membership.tables import TableSender
from lycheespar.membership.view import MembershipView

# Intervals in seconds between comparisons: normally, and while tables differ.
SYNC_PERIOD_S: Final = 10
FAST_SYNC_PERIOD_S: Final = 0.5
# The same until the table of this node is complete.
JOIN_SYNC_PERIOD_S: Final = 0.4
# Maximum number of buckets exchanged in one comparison.
BUCKETS_PER_SYNC: Final = 12
# Number of differing buckets above which the whole table is sent instead.
MAX_DIFFERING_BUCKETS: Final = 2 * BUCKETS_PER_SYNC
# Number of members with an equal table after which the own one counts as
# complete. Two nodes that have just started may know the same few members.
EQUAL_MEMBERS: Final = 2
# Share of the records of a complete table that a node must know. The rest
# allows for a lost page of a small table and for members that are known as
# dead there.
COMPLETE_SHARE: Final = 0.95
_PAGE_BYTES: Final = 1100


class Synchronizer:
    """Compares member tables by checksums and exchanges differing records.

    Parameters
    ----------
    own : Callable
        Returns the record of this node.
    members : MembershipView
        Member table to compare.
    endpoint : Endpoint
        Endpoint for sending datagrams.
    tables : TableSender
        Sends whole tables.
    """

    __slots__ = (
        '_endpoint',
        '_equal_members',
        '_has_synchronized',
        '_members',
        '_next_sync_at',
        '_own',
        '_preferred_node',
        '_random',
        '_tables',
    )

    def __init__(
        self,
        own: Callable[[], MemberRecord],
        members: MembershipView,
        endpoint: Endpoint,
        tables: TableSender,
    ) -> None:
        """Create a synchronizer that is due for its first comparison."""
        self._own = own
        self._members = members
        self._endpoint = endpoint
        self._tables = tables
        self._random = random.Random(own().node)
        self._has_synchronized = False
        self._equal_members: set[str] = set()
        self._next_sync_at = 0.0
        self._preferred_node = ''

    @property
    def has_synchronized(self) -> bool:
        """Whether the table has ever been complete, as other members' are."""
        return self._has_synchronized

    def record_equal_table(self, node: str) -> None:
        """Record that a member has the same table."""
        if self._has_synchronized:
            return
        self._equal_members.add(node)
        others = len(self._members) - 1
        self._has_synchronized = len(self._equal_members) >= min(
            EQUAL_MEMBERS, others
        )

    def record_page(
        self, now: float, table_size: int, *, changed: bool
    ) -> None:
        """Record a page of another member's table.

        While members come and go, no two tables are equal for long. A table
        of nearly the same size as a complete one is complete enough then.

        Parameters
        ----------
        now : float
            Instant of the event loop's clock, in seconds.
        table_size : int
            Records of the other table if it is complete, else 0.
        changed : bool
            Whether the page had records that were missing.
        """
        if changed:
            self._equal_members.clear()
            self.schedule_soon(now, '')
        if table_size and len(self._members) >= table_size * COMPLETE_SHARE:
            self._has_synchronized = True

    def is_due(self, now: float) -> bool:
        """Return whether a comparison is due, and schedule the next one.

        Comparisons are more frequent until the table has matched those of
        other members.
        """
        if now < self._next_sync_at:
            return False
        period_s = (
            SYNC_PERIOD_S if self._has_synchronized else JOIN_SYNC_PERIOD_S
        )
        self._next_sync_at = now + period_s * self._random.uniform(0.5, 1.5)
        return True

    def schedule_soon(self, now: float, node: str) -> None:
        """Schedule a comparison soon, with a member whose table differs.

        If `node` is empty, the member is chosen at random.
        """
        self._preferred_node = node or self._preferred_node
        soon = now + FAST_SYNC_PERIOD_S * self._random.uniform(0.5, 1.5)
        self._next_sync_at = min(self._next_sync_at, soon)

    def compare(self, peers: Iterable[MemberRecord]) -> None:
        """Send the checksums to the scheduled member, or else to `peers`.

        If the budget is exhausted, this comparison is skipped.
        """
        if not self._endpoint.has_comparison_budget():
            return
        preferred = self._members.get(self._preferred_node)
        self._preferred_node = ''
        if preferred is not None:
            peers = (preferred,)
        for peer in peers:
            self._send_summary(peer)

    def answer_summary(self, summary: TableSummary, sender: HostPort) -> bool:
        """Reply with the contents of some differing buckets, if any.

        If many differ, the reply is the whole table.

        Returns
        -------
        bool
            Whether many buckets differ.
        """
        differing = self._members.differing_buckets(summary.checksums)
        if len(differing) > MAX_DIFFERING_BUCKETS:
            self._tables.send_all(sender)
            return True
        if not differing:
            self._reply(TablesEqual(*self._sender_fields()), sender)
        self._send_buckets(differing, summary, sender)
        return False

    def answer_contents(
        self,
        contents: BucketContents,
        sender: HostPort,
    ) -> list[Verdict]:
        """Send what is newer here and request what is newer at the sender.

        Returns
        -------
        list[Verdict]
            Verdicts of the sender that are newer than those of this node.
        """
        listed = {entry.node: entry for entry in contents.entries}
        self._send_missing(contents.bucket, listed, sender)
        differing = [
            (self._members.verdict(entry.node), entry)
            for entry in contents.entries
            if self._members.verdict(entry.node) != entry
        ]
        self._request_missing(differing, sender)
        verdicts = tuple(
            known
            for known, entry in differing
            if known is not None and _is_newer(known, entry)
        )
        if verdicts:
            updates = Updates(verdicts=verdicts)
            self._reply(Records(*self._sender_fields(), updates), sender)
        return [entry for known, entry in differing if _is_newer(entry, known)]

    def answer_record_request(
        self,
        nodes: Iterable[str],
        sender: HostPort,
    ) -> None:
        """Send the records of the requested members."""
        found = (self._members.get(node) for node in nodes)
        self._send_records(
            [record for record in found if record is not None],
            sender,
        )

    def request_records(self, nodes: tuple[str, ...], sender: HostPort) -> None:
        """Request records, at any budget: few bytes fetch what is missing."""
        self._endpoint.send(
            RecordRequest(*self._sender_fields(), nodes), sender
        )

    def send_verdict(self, verdict: Verdict, sender: HostPort) -> None:
        """Send a verdict to a member."""
        updates = Updates(verdicts=(verdict,))
        self._reply(Records(*self._sender_fields(), updates), sender)

    def send_own_record(self, sender: HostPort) -> None:
        """Send this node's own record to a member."""
        self._send_records([self._own()], sender)

    def _send_buckets(
        self, differing: list[int], summary: TableSummary, sender: HostPort
    ) -> None:
        count = max(min(len(differing), summary.limit, BUCKETS_PER_SYNC), 0)
        for index in self._random.sample(differing, count):
            if not self._endpoint.has_comparison_budget():
                return
            listed = self._members.bucket(index)
            self._endpoint.send_for_comparison(
                BucketContents(*self._sender_fields(), index, listed),
                sender,
            )

    def _send_summary(self, peer: MemberRecord) -> None:
        self._endpoint.send_for_comparison(
            TableSummary(
                *self._sender_fields(),
                self._members.checksums,
                BUCKETS_PER_SYNC,
            ),
            (peer.host, peer.gossip_port),
        )

    def _request_missing(
        self,
        differing: list[tuple[Verdict | None, Verdict]],
        sender: HostPort,
    ) -> None:
        """Request the records that are missing or outdated here."""
        nodes = tuple(
            entry.node
            for known, entry in differing
            if entry.liveness is not Liveness.dead
            and _is_outdated(known, entry)
        )
        if nodes:
            self.request_records(nodes, sender)

    def _send_missing(
        self,
        bucket: int,
        listed: dict[str, Verdict],
        sender: HostPort,
    ) -> None:
        """Send the records that are missing or outdated at the sender."""
        missing = [
            entry.node
            for entry in self._members.bucket(bucket)
            if entry.liveness is not Liveness.dead
            and _is_outdated(listed.get(entry.node), entry)
        ]
        self.answer_record_request(missing, sender)

    def _send_records(
        self,
        records: list[MemberRecord],
        sender: HostPort,
    ) -> None:
        for page in _split_into_pages(records):
            updates = Updates(records=tuple(page))
            self._reply(Records(*self._sender_fields(), updates), sender)

    def _reply(self, datagram: Datagram, sender: HostPort) -> None:
        if self._endpoint.has_comparison_budget():
            self._endpoint.send_for_comparison(datagram, sender)

    def _sender_fields(self) -> tuple[str, int, int, int]:
        return sender_fields(self._own())


def _is_outdated(known: Verdict | None, other: Verdict) -> bool:
    return known is None or known.record_version < other.record_version


def _is_newer(one: Verdict | None, other: Verdict | None) -> bool:
    """Return whether `one` is the newer verdict on the same version."""
    if (
        one is None
        or other is None
        or one.record_version != other.record_version
    ):
        return False
    return one.rank > other.rank


def _split_into_pages(
    records: list[MemberRecord],
) -> Iterator[list[MemberRecord]]:
    """Split records into lists that each fit into a datagram."""
    page: list[MemberRecord] = []
    room = _PAGE_BYTES
    for record in records:
        size = encoded_size(record)
        if page and size > room:
            yield page
            page = []
            room = _PAGE_BYTES
        page.append(record)
        room -= size
    if page:
        yield page
