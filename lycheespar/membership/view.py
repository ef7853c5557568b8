"""What this node knows of all nodes, as a table with a stream of changes."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Final

from msgspec.structs import replace
from reactivex import Observable
from reactivex.subject import Subject

from lycheespar.membership.records import Liveness, MemberRecord, Verdict

BUCKETS: Final = 128
CHECKSUM_BYTES: Final = 4
# Members that left the table and whose old records must not come back.
MAX_TOMBSTONES: Final = 4096


class MembershipView:
    """Table of the newest record of each node.

    The table is divided into buckets. The checksum of a bucket covers the
    versions of its records that are not dead; two tables with equal checksums
    hold the same records.
    """

    __slots__ = (
        '_buckets',
        '_by_service',
        '_checksums',
        '_nodes',
        '_records',
        '_subject',
        '_tombstones',
    )

    def __init__(self) -> None:
        """Start empty."""
        self._records: dict[str, MemberRecord] = {}
        self._nodes = 0
        self._by_service: dict[str, dict[str, MemberRecord]] = {}
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._checksums = [0 for _ in range(BUCKETS)]
        self._tombstones: dict[str, MemberRecord] = {}
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
    def removed(self) -> Iterable[MemberRecord]:
        """Last records of members that were removed."""
        return self._tombstones.values()

    @property
    def nodes(self) -> int:
        """Number of members that serve callers: all but control hosts."""
        return self._nodes

    @property
    def checksums(self) -> bytes:
        """Checksums of all buckets."""
        return b''.join(
            checksum.to_bytes(CHECKSUM_BYTES) for checksum in self._checksums
        )

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def get(self, node: str) -> MemberRecord | None:
        """Return the record of a node."""
        return self._records.get(node)

    def of_service(self, service: str) -> Iterable[MemberRecord]:
        """Return the records of the nodes that have a target of a service."""
        return self._by_service.get(service, {}).values()

    def verdict(self, node: str) -> Verdict | None:
        """Return what is held of a node, also of a removed one."""
        known = self._records.get(node) or self._tombstones.get(node)
        return None if known is None else known.verdict

    def merge(self, record: MemberRecord) -> bool:
        """Take a record if it is newer; say whether it was.

        The record of a dead node that is not in the table is not taken.
        """
        node = record.node
        known = self._records.get(node)
        if known is None and record.liveness is Liveness.dead:
            return False
        if not record.supersedes(known or self._tombstones.get(node)):
            return False
        self._tombstones.pop(node, None)
        if known is not None:
            self._discard(known)
        self._insert(record)
        self._subject.on_next(record)
        return True

    def judge(self, verdict: Verdict) -> bool:
        """Take a verdict if it is newer; say whether it was.

        A verdict on another version than the one held is not taken. One that
        says that a removed member is alive brings back its record.
        """
        node = verdict.node
        known = self._records.get(node) or self._tombstones.get(node)
        if known is None or verdict.content != known.verdict.content:
            return False
        return self.merge(
            replace(
                known,
                refutation=verdict.refutation,
                liveness=verdict.liveness,
            ),
        )

    def remove(self, node: str) -> None:
        """Forget a node, but for its last record's version and address."""
        record = self._records.pop(node, None)
        if record is None:
            return
        self._discard(record)
        self._tombstones[node] = record
        if len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))

    def bucket(self, index: int) -> tuple[Verdict, ...]:
        """Return the versions of the records in a bucket."""
        return tuple(
            self._records[node].verdict
            for node in sorted(self._buckets[index % BUCKETS])
        )

    def differing(self, checksums: bytes) -> list[int]:
        """Return the buckets whose checksums differ from another table's."""
        own = self.checksums
        return [
            index
            for index, start in enumerate(range(0, len(own), CHECKSUM_BYTES))
            if own[start : start + CHECKSUM_BYTES]
            != checksums[start : start + CHECKSUM_BYTES]
        ]

    def _insert(self, record: MemberRecord) -> None:
        self._records[record.node] = record
        self._nodes += not record.control_port
        index = _bucket_of(record.node)
        self._buckets[index].add(record.node)
        self._checksums[index] ^= _checksum_of(record)
        if record.service:
            mates = self._by_service.setdefault(record.service, {})
            mates[record.node] = record

    def _discard(self, record: MemberRecord) -> None:
        self._nodes -= not record.control_port
        index = _bucket_of(record.node)
        self._buckets[index].discard(record.node)
        self._checksums[index] ^= _checksum_of(record)
        self._by_service.get(record.service, {}).pop(record.node, None)


def _bucket_of(node: str) -> int:
    return zlib.crc32(node.encode()) % BUCKETS


def _checksum_of(record: MemberRecord) -> int:
    if record.liveness is Liveness.dead:
        return 0
    versions = (record.incarnation, record.version, record.refutation)
    return zlib.crc32(f'{record.node}{versions}'.encode())
