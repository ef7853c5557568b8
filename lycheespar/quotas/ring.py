"""Selects the node that owns the quota of a team."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Final

import msgspec

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
        '_changed_at',
        '_clock',
        '_largest',
        '_members',
        '_nodes',
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
        self._nodes: dict[str, _Node] = {}
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
        alive = len(self._nodes)
        largest, seen_at = self._largest
        now = self._clock()
        if alive >= largest or now - seen_at > SIZE_MEMORY_S:
            self._largest = (alive, now)

    def _choose(self, team: str, now: float) -> MemberRecord | None:
        if 2 * len(self._nodes) <= self.size:
            return None
        alive = [
            record
            for name, node in self._nodes.items()
            if not node.is_ending
            and (record := self._members.get(name)) is not None
        ]
        settled = [
            record
            for record in alive
            if now - self._nodes[record.node].since >= SETTLE_S
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
        """Note when a node comes, ends or restarts; other changes are ignored.

        Owners are chosen anew only then, as a choice ranks all nodes.
        """
        if record.control_port:
            return
        known = self._nodes.get(record.node)
        if record.liveness is Liveness.dead:
            if known is not None:
                self._note_change()
                self._nodes.pop(record.node)
            return
        is_ending = record.phase in _ENDING
        since = (
            known.since
            if known is not None and known.incarnation == record.incarnation
            else self._clock()
        )
        node = _Node(record.incarnation, since, is_ending)
        if node == known:
            return
        self._nodes[record.node] = node
        self._note_change()

    def _note_change(self) -> None:
        """Forget the owners, and remember the size before a node is removed."""
        self._owners = {}
        self._changed_at = self._clock()
        self._remember_size()


class _Node(msgspec.Struct, frozen=True):
    """A node that is alive.

    Attributes
    ----------
    incarnation : int
        Incarnation of the node.
    since : float
        Instant from which this incarnation is known.
    is_ending : bool
        Whether the node's target drains or has left, as the node soon will.
    """

    incarnation: int
    since: float
    is_ending: bool


def _rank(team: str, record: MemberRecord) -> bytes:
    content = f'{team}\n{record.node}'.encode()
    return hashlib.blake2b(content, digest_size=8).digest()
