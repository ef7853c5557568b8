"""Selects the node that owns the quota of a team."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Final

from lycheespar.configuration.stamp import boot_time_s
from lycheespar.membership.records import Liveness, MemberRecord, Phase
from lycheespar.membership.view import MembershipView

# Time in seconds for which a node must be known as alive before it owns quotas.
# Nodes learn of each other within tenths of a second, so that they agree on
# owners nearly all the time.
SETTLE_S: Final = 2.0
# Time in seconds for which the largest number of nodes is remembered. A smaller
# part of them, cut off from the rest, must not own quotas.
SIZE_MEMORY_S: Final = 60.0
_ENDING: Final = frozenset((Phase.draining, Phase.left))


class QuotaRing:
    """Rendezvous hashing of teams over the nodes that are alive for a while.

    Parameters
    ----------
    members : MembershipView
        All known nodes.
    clock : Callable[[], float]
        Monotonic clock in seconds.
    """

    __slots__ = (
        '_alive_since',
        '_changed_at',
        '_clock',
        '_largest',
        '_members',
        '_owners',
        '_owners_until',
    )

    def __init__(
        self,
        members: MembershipView,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """Subscribe to the changes of the members."""
        self._members = members
        self._clock = clock
        self._alive_since: dict[str, tuple[int, float]] = {}
        self._owners: dict[str, MemberRecord | None] = {}
        self._owners_until = float('-inf')
        self._largest: tuple[int, float] = (0, float('-inf'))
        self._changed_at = clock()
        for record in members.records:
            self._update(record)
        members.changes.subscribe(self._update)

    @property
    def unchanged_s(self) -> float:
        """Time in seconds since a node last came or went."""
        return self._clock() - self._changed_at

    @property
    def size(self) -> int:
        """Largest number of nodes that were alive together recently."""
        self._remember_size()
        return self._largest[0]

    def owner(self, team: str) -> MemberRecord | None:
        """Return the node that owns a team's quota.

        None while fewer than half of the recent nodes are alive for this node:
        another part may own the quotas then.
        """
        now = self._clock()
        if now >= self._owners_until:
            self._owners = {}
            self._owners_until = now + SETTLE_S
        if team not in self._owners:
            self._owners[team] = self._choose(team, now)
        return self._owners[team]

    def _remember_size(self) -> None:
        alive = len(self._alive_since)
        largest, seen_at = self._largest
        now = self._clock()
        if alive >= largest or now - seen_at > SIZE_MEMORY_S:
            self._largest = (alive, now)

    def _choose(self, team: str, now: float) -> MemberRecord | None:
        if 2 * len(self._alive_since) <= self.size:
            return None
        alive = [
            record
            for node in self._alive_since
            if (record := self._members.get(node)) is not None
            and record.phase not in _ENDING
        ]
        settled = [
            record
            for record in alive
            if now - self._alive_since[record.node][1] >= SETTLE_S
        ]
        # A node knows itself for longer than the others when it starts, so that
        # a few settled nodes are no choice that all nodes share.
        shared = settled if 2 * len(settled) > len(alive) else alive
        return max(
            shared,
            key=lambda record: _rank(team, record),
            default=None,
        )

    def _update(self, record: MemberRecord) -> None:
        """Note since when a node is alive; a restart begins anew."""
        if record.control_port:
            return
        self._owners = {}
        known = self._alive_since.get(record.node)
        if record.liveness is Liveness.dead or record.phase in _ENDING:
            self._changed_at = self._clock()
        elif known is None or known[0] != record.incarnation:
            self._changed_at = self._clock()
            self._alive_since[record.node] = (
                record.incarnation,
                self._changed_at,
            )
        # Before the node is removed, so that the size counts it.
        self._remember_size()
        if record.liveness is Liveness.dead:
            self._alive_since.pop(record.node, None)


def _rank(team: str, record: MemberRecord) -> bytes:
    content = f'{team}\n{record.node}'.encode()
    return hashlib.blake2b(content, digest_size=8).digest()
