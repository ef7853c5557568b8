"""What this node knows of all nodes, as a table with a stream of changes."""

from __future__ import annotations

from collections.abc import Iterable

from reactivex import Observable
from reactivex.subject import Subject

from lycheespar.membership.records import MemberRecord


class MembershipView:
    """Table of the newest record of each node."""

    __slots__ = ('_by_service', '_records', '_subject')

    def __init__(self) -> None:
        """Start empty."""
        self._records: dict[str, MemberRecord] = {}
        self._by_service: dict[str, dict[str, MemberRecord]] = {}
        self._subject: Subject[MemberRecord] = Subject()

    @property
    def changes(self) -> Observable[MemberRecord]:
        """Stream of the records that were taken."""
        return self._subject

    @property
    def records(self) -> Iterable[MemberRecord]:
        """All records."""
        return self._records.values()

    @property
    def has_targets(self) -> bool:
        """Whether any target is known that takes work."""
        return any(record.takes_work for record in self._records.values())

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def get(self, node: str) -> MemberRecord | None:
        """Return the record of a node."""
        return self._records.get(node)

    def of_service(self, service: str) -> Iterable[MemberRecord]:
        """Return the records of the nodes that have a target of a service."""
        return self._by_service.get(service, {}).values()

    def merge(self, record: MemberRecord) -> bool:
        """Take a record if it is newer; say whether it was."""
        known = self._records.get(record.node)
        if not record.supersedes(known):
            return False
        if known is not None and known.service != record.service:
            self._by_service.get(known.service, {}).pop(known.node, None)
        self._records[record.node] = record
        if record.service:
            mates = self._by_service.setdefault(record.service, {})
            mates[record.node] = record
        self._subject.on_next(record)
        return True

    def remove(self, node: str) -> None:
        """Forget a node."""
        record = self._records.pop(node, None)
        if record is not None:
            self._by_service.get(record.service, {}).pop(node, None)
