"""Sends whole member tables, in compressed pages."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Final

from lycheespar.membership.endpoint import Endpoint, HostPort
from lycheespar.membership.messages import (
    TablePage,
    pack_records,
    sender_fields,
)
from lycheespar.membership.records import MemberRecord
from lycheespar.membership.view import MembershipView

# Records of a page: compressed, they fit into a datagram as a rule.
PAGE_RECORDS: Final = 32
_PAGE_BYTES: Final = 1100


class TableSender:
    """Sends the member table, or a sample of it, to a member.

    Parameters
    ----------
    own : Callable
        Returns the record of this node.
    members : MembershipView
        Member table to send.
    endpoint : Endpoint
        Endpoint for sending datagrams.
    is_complete : Callable[[], bool]
        Whether the table has the records of all members.
    """

    __slots__ = ('_endpoint', '_is_complete', '_members', '_own', '_random')

    def __init__(
        self,
        own: Callable[[], MemberRecord],
        members: MembershipView,
        endpoint: Endpoint,
        is_complete: Callable[[], bool],
    ) -> None:
        """Create a sender."""
        self._is_complete = is_complete
        self._own = own
        self._members = members
        self._endpoint = endpoint
        self._random = random.Random(own().node)

    def send_sample(self, receiver: HostPort) -> None:
        """Send the own record and those of some other members in one page.

        Unlike a whole table, it is sent at any budget, so that each node that
        starts learns of some members at once.
        """
        others = self._random.sample(
            tuple(self._members.records),
            min(PAGE_RECORDS - 1, len(self._members)),
        )
        self._send_page((self._own(), *others), receiver)

    def send_all(self, receiver: HostPort) -> None:
        """Send all records, if the budget allows."""
        if not self._endpoint.has_table_budget():
            return
        # Similar records are compressed best next to each other.
        ordered = sorted(self._members.records, key=_node_of)
        starts = range(0, len(ordered), PAGE_RECORDS)
        table_size = len(ordered) if self._is_complete() else 0
        for start in self._random.sample(starts, len(starts)):
            page = ordered[start : start + PAGE_RECORDS]
            self._send_page(page, receiver, table_size)

    def _send_page(
        self,
        records: Sequence[MemberRecord],
        receiver: HostPort,
        table_size: int = 0,
    ) -> None:
        """Send records in one datagram, or in more if they don't fit."""
        packed = pack_records(records)
        if len(packed) > _PAGE_BYTES and len(records) > 1:
            middle = len(records) // 2
            self._send_page(records[:middle], receiver, table_size)
            self._send_page(records[middle:], receiver, table_size)
            return
        page = TablePage(*sender_fields(self._own()), packed, table_size)
        self._endpoint.send_page(page, receiver)


def _node_of(record: MemberRecord) -> str:
    return record.node
