"""Table of all known members, with a stream of changes."""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from msgspec.structs import replace
from reactivex import Observable
from reactivex.subject import Subject

from lycheespar.membership.records import Liveness, MemberRecord, Verdict
from lycheespar.telemetry.error_events import MemberRejected
from lycheespar.telemetry.event_log import events

BUCKETS: Final = 128
CHECKSUM_BYTES: Final = 4
# Maximum number of removed members whose last records are kept, so that
# older records of them are rejected.
MAX_TOMBSTONES: Final = 4096
# Maximum number of records, and of those of control hosts among them.
MAX_MEMBERS: Final = 4096
MAX_CONTROL_HOSTS: Final = 64


class MembershipView:
    """Table of the newest record of each member.

    The table is divided into buckets. The checksum of a bucket covers the
    versions of its records that are not dead; two tables with equal checksums
    contain the same records.
    """

    __slots__ = (
        '_buckets',
        '_by_service',
        '_checksums',
        '_node_count',
        '_records',
        '_subject',
        '_tombstones',
        '_versions',
    )

    def __init__(self) -> None:
        """Create an empty table."""
        self._records: dict[str, MemberRecord] = {}
        self._node_count = 0
        self._by_service: dict[str, dict[str, MemberRecord]] = {}
        self._versions: dict[str, Counter[str]] = {}
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._checksums = [0 for _ in range(BUCKETS)]
        self._tombstones: dict[str, MemberRecord] = {}
        self._subject: Subject[MemberRecord] = Subject()

    @property
    def changes(self) -> Observable[MemberRecord]:
        """Stream of the records that were stored."""
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
    def node_count(self) -> int:
        """Number of members that serve callers: all except control hosts."""
        return self._node_count

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
        """Return the record of a node, or `None` if there is none."""
        return self._records.get(node)

    def records_of_service(self, service: str) -> Iterable[MemberRecord]:
        """Return the records of the nodes that have a target of a service."""
        return self._by_service.get(service, {}).values()

    def versions_of_service(self, service: str) -> Mapping[str, int]:
        """Return the number of a service's targets by their version."""
        return self._versions.get(service, {})

    def verdict(self, node: str) -> Verdict | None:
        """Return the verdict on a node, also on a removed one."""
        known = self._records.get(node) or self._tombstones.get(node)
        return None if known is None else known.verdict

    def merge(self, record: MemberRecord) -> bool:
        """Store a record if it is newer; return whether it was.

        The record of a dead node that is not in the table is not stored, nor
        is that of a new member if the table is full.
        """
        node = record.node
        known = self._records.get(node)
        if known is None and record.liveness is Liveness.dead:
            return False
        if not record.supersedes(known or self._tombstones.get(node)):
            return False
        if not self._has_room(record, known):
            events.write(MemberRejected(len(self._records)))
            return False
        self._tombstones.pop(node, None)
        if known is not None:
            self._discard(known)
        self._insert(record)
        self._subject.on_next(record)
        return True

    def apply_verdict(self, verdict: Verdict) -> bool:
        """Apply a verdict if it is newer; return whether it was.

        A verdict on another version of the record than the stored one is not
        applied. A verdict that a removed member is alive restores its record.
        """
        node = verdict.node
        known = self._records.get(node) or self._tombstones.get(node)
        if (
            known is None
            or verdict.record_version != known.verdict.record_version
        ):
            return False
        return self.merge(
            replace(
                known,
                refutation=verdict.refutation,
                liveness=verdict.liveness,
            ),
        )

    def remove(self, node: str) -> None:
        """Remove a node from the table; keep its last record as tombstone."""
        record = self._records.pop(node, None)
        if record is None:
            return
        self._discard(record)
        self._tombstones[node] = record
        if len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))

    def bucket(self, index: int) -> tuple[Verdict, ...]:
        """Return the versions and liveness of the records in a bucket."""
        return tuple(
            self._records[node].verdict
            for node in sorted(self._buckets[index % BUCKETS])
        )

    def differing_buckets(self, checksums: bytes) -> list[int]:
        """Return the buckets whose checksums differ from another table's."""
        own = self.checksums
        return [
            index
            for index, start in enumerate(range(0, len(own), CHECKSUM_BYTES))
            if own[start : start + CHECKSUM_BYTES]
            != checksums[start : start + CHECKSUM_BYTES]
        ]

    def _has_room(
        self, record: MemberRecord, known: MemberRecord | None
    ) -> bool:
        """Return whether a record may be stored in place of a known one."""
        if known is None and len(self._records) >= MAX_MEMBERS:
            return False
        if not record.control_port or (known and known.control_port):
            return True
        return len(self._records) - self._node_count < MAX_CONTROL_HOSTS

    def _insert(self, record: MemberRecord) -> None:
        self._records[record.node] = record
        self._node_count += not record.control_port
        index = _bucket_of(record.node)
        self._buckets[index].add(record.node)
        self._checksums[index] ^= _checksum_of(record)
        if record.service:
            same_service = self._by_service.setdefault(record.service, {})
            same_service[record.node] = record
            versions = self._versions.setdefault(record.service, Counter())
            versions[record.software_version] += 1

    def _discard(self, record: MemberRecord) -> None:
        self._node_count -= not record.control_port
        index = _bucket_of(record.node)
        self._buckets[index].discard(record.node)
        self._checksums[index] ^= _checksum_of(record)
        self._by_service.get(record.service, {}).pop(record.node, None)
        versions = self._versions.get(record.service)
        if versions is not None:
            versions[record.software_version] -= 1
            if not versions[record.software_version]:
                versions.pop(record.software_version)


def _bucket_of(node: str) -> int:
    return zlib.crc32(node.encode()) % BUCKETS


def _checksum_of(record: MemberRecord) -> int:
    if record.liveness is Liveness.dead:
        return 0
    versions = (record.incarnation, record.version, record.refutation)
    return zlib.crc32(f'{record.node}{versions}'.encode())
