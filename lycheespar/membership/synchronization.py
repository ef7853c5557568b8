"""Comparison of two nodes' tables, so that what gossip lost is found."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from lycheespar.membership.endpoint import Endpoint, HostPort
from lycheespar.membership.messages import (
    Contents,
    Datagram,
    News,
    Records,
    Same,
    Summary,
    Want,
    encoded_size,
    sender_of,
)
from lycheespar.membership.records import Liveness, MemberRecord, Verdict
from lycheespar.membership.view import MembershipView

# Times between two comparisons, in seconds: usual, and while tables differ.
SYNC_PERIOD_S: Final = 10
FAST_SYNC_PERIOD_S: Final = 0.5
# Buckets that one comparison may list.
BUCKETS_A_SYNC: Final = 12
_PAGE_BYTES: Final = 1100


class Synchronizer:
    """Compares tables by checksums and exchanges what differs.

    Parameters
    ----------
    own : Callable
        Returns the record of this node.
    members : MembershipView
        Table to compare.
    endpoint : Endpoint
        Port to send from.
    """

    __slots__ = (
        '_agreed',
        '_due_at',
        '_endpoint',
        '_members',
        '_own',
        '_preferred',
        '_random',
    )

    def __init__(
        self,
        own: Callable[[], MemberRecord],
        members: MembershipView,
        endpoint: Endpoint,
    ) -> None:
        """Keep the parts."""
        self._own = own
        self._members = members
        self._endpoint = endpoint
        self._random = random.Random(own().node)
        self._agreed = False
        self._due_at = 0.0
        self._preferred = ''

    @property
    def agreed(self) -> bool:
        """Whether the table has been the same as another member's."""
        return self._agreed

    def agree(self) -> None:
        """Note that a member holds the same table."""
        self._agreed = True

    def is_due(self, now: float) -> bool:
        """Whether it is time for a comparison; sets the next time.

        Until a first member holds the same table, it always is.
        """
        if self._agreed and now < self._due_at:
            return False
        self._due_at = now + SYNC_PERIOD_S * self._random.uniform(0.5, 1.5)
        return True

    def hasten(self, now: float, node: str) -> None:
        """Compare soon with a member whose table differs."""
        self._preferred = node
        soon = now + FAST_SYNC_PERIOD_S * self._random.uniform(0.5, 1.5)
        self._due_at = min(self._due_at, soon)

    def compare(self, peers: Iterable[MemberRecord]) -> None:
        """Send the checksums to a member that differs, or to a given one."""
        preferred = self._members.get(self._preferred)
        self._preferred = ''
        if preferred is not None:
            peers = (preferred,)
        for peer in peers:
            self._compare_with(peer)

    def answer_summary(self, summary: Summary, sender: HostPort) -> None:
        """Send the contents of some buckets that differ, if any do."""
        differing = self._members.differing(summary.checksums)
        if not differing:
            self._reply(Same(*self._sender()), sender)
        count = max(min(len(differing), summary.limit, BUCKETS_A_SYNC), 0)
        for index in self._random.sample(differing, count):
            if not self._endpoint.has_room():
                return
            listed = self._members.bucket(index)
            self._endpoint.send(
                Contents(*self._sender(), index, listed),
                sender,
            )

    def answer_contents(
        self,
        contents: Contents,
        sender: HostPort,
    ) -> list[Verdict]:
        """Send what is newer here, ask for what is newer there.

        Returns
        -------
        list[Verdict]
            Verdicts of the sender that are newer than those held here.
        """
        listed = {entry.node: entry for entry in contents.entries}
        self._send_missing(contents.bucket, listed, sender)
        differing = [
            (self._members.verdict(entry.node), entry)
            for entry in contents.entries
            if self._members.verdict(entry.node) != entry
        ]
        self._ask_missing(differing, sender)
        verdicts = tuple(
            known
            for known, entry in differing
            if known is not None and _is_newer(known, entry)
        )
        if verdicts:
            news = News(verdicts=verdicts)
            self._reply(Records(*self._sender(), news), sender)
        return [entry for known, entry in differing if _is_newer(entry, known)]

    def answer_want(self, nodes: Iterable[str], sender: HostPort) -> None:
        """Send the records of some members."""
        found = (self._members.get(node) for node in nodes)
        self._send([record for record in found if record is not None], sender)

    def ask_for(self, node: str, sender: HostPort) -> None:
        """Ask a member for one record."""
        self._reply(Want(*self._sender(), (node,)), sender)

    def tell(self, verdict: Verdict, sender: HostPort) -> None:
        """Tell a member of a verdict."""
        news = News(verdicts=(verdict,))
        self._reply(Records(*self._sender(), news), sender)

    def present(self, sender: HostPort) -> None:
        """Send this node's own record."""
        self._send([self._own()], sender)

    def _compare_with(self, peer: MemberRecord) -> None:
        self._endpoint.send(
            Summary(
                *self._sender(),
                self._members.checksums,
                BUCKETS_A_SYNC,
            ),
            (peer.host, peer.gossip_port),
        )

    def _ask_missing(
        self,
        differing: list[tuple[Verdict | None, Verdict]],
        sender: HostPort,
    ) -> None:
        """Ask for the records that are lacking here, or older."""
        nodes = tuple(
            entry.node
            for known, entry in differing
            if entry.liveness is not Liveness.dead and _is_behind(known, entry)
        )
        if nodes:
            self._reply(Want(*self._sender(), nodes), sender)

    def _send_missing(
        self,
        bucket: int,
        listed: dict[str, Verdict],
        sender: HostPort,
    ) -> None:
        """Send the records that the sender lacks or has in older versions."""
        missing = [
            entry.node
            for entry in self._members.bucket(bucket)
            if entry.liveness is not Liveness.dead
            and _is_behind(listed.get(entry.node), entry)
        ]
        self.answer_want(missing, sender)

    def _send(self, records: list[MemberRecord], sender: HostPort) -> None:
        for page in _pages(records):
            news = News(records=tuple(page))
            self._reply(Records(*self._sender(), news), sender)

    def _reply(self, datagram: Datagram, sender: HostPort) -> None:
        if self._endpoint.has_room():
            self._endpoint.send(datagram, sender)

    def _sender(self) -> tuple[str, int, int, int]:
        return sender_of(self._own())


def _is_behind(known: Verdict | None, other: Verdict) -> bool:
    return known is None or known.content < other.content


def _is_newer(one: Verdict | None, other: Verdict | None) -> bool:
    """Whether one is the newer verdict on the same record."""
    if one is None or other is None or one.content != other.content:
        return False
    return one.rank > other.rank


def _pages(records: list[MemberRecord]) -> Iterator[list[MemberRecord]]:
    """Divide records into lists that fit into a datagram each."""
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
