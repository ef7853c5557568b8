"""A fleet of nodes that keep quotas together, without a network."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import Final

from msgspec.structs import replace

from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.routes import RoutePlan
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    ChannelClosedError,
    OverloadedError,
    OverQuotaError,
    QuotaUnavailableError,
)
from lycheespar.membership.records import Liveness, MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.quotas.bucket import TokenBucket
from lycheespar.quotas.dispatch import QuotaDispatch
from lycheespar.quotas.grant import QuotaGrant
from lycheespar.quotas.owner import QuotaOwner
from lycheespar.quotas.reserve import QuotaReserve
from lycheespar.quotas.ring import QuotaRing
from lycheespar.teams.profile import TeamProfile
from lycheespar.tests.protocol.nodes import new_call

# Terms of a deployment: what may run in any window of this length.
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
STEP_S: Final = 0.01
# Calls that find room at once after a pause.
ROOM_CALLS: Final = 8


class Clock:
    """Time that only the test moves on."""

    now = 100.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


class Node:
    """One node with its own view of the members."""

    def __init__(self, fleet: Fleet, index: int) -> None:
        self.name = f'node-{index}'
        self.centre = index % fleet.centres
        self.alive = True
        self.silent = False
        self.full = False
        self.members = MembershipView()
        self.view = ConfigurationView(Configuration(), clock=fleet.clock)
        self._fleet = fleet
        self._incarnation = 0
        self.restart()

    def restart(self) -> None:
        """Start with empty tables."""
        self._incarnation += 1
        self.alive = True
        self.record = MemberRecord(
            self.name, self._incarnation, 0, 'h', 1, 2, str(self.centre)
        )
        self.members = MembershipView()
        for other in self._fleet.nodes.values():
            if other.alive:
                self.members.merge(other.record)
                other.members.merge(self.record)
        self.members.merge(self.record)
        clock = self._fleet.clock
        ring = QuotaRing(self.members, clock)
        self.owner = QuotaOwner(self.name, ring, self.view, SLACK, clock)
        self.dispatch = QuotaDispatch(
            self,
            self.view,
            ring,
            self.owner,
            self,
            QuotaReserve(random.Random(self.name)),
            clock,
        )
        self.ring = ring

    async def take_quota(self, record: MemberRecord, team: str) -> QuotaGrant:
        """Ask the owner of a quota."""
        other = self._fleet.nodes[record.node]
        if not self._fleet.is_connected(self, other):
            raise ChannelClosedError
        return other.owner.take(team)

    def put_back_quota(self, record: MemberRecord, team: str) -> None:
        """Return a call to the owner of a quota."""
        self._fleet.nodes[record.node].owner.put_back(team)


class Target:
    """Runs the calls that the quotas allow."""

    def __init__(self, fleet: Fleet, node: Node) -> None:
        self._fleet = fleet
        self._node = node

    async def dispatch(self, call: Call) -> Answer:
        """Run a call unless the node has no room."""
        if self._node.full or not self._fleet.has_room(call):
            raise OverloadedError
        self._fleet.ran[call.team].append(self._fleet.clock.now)
        return Answer(200, (), b'', Load())


class Fleet:
    """Nodes in several data centres."""

    def __init__(
        self, nodes: int, teams: list[TeamProfile], centres: int = 4
    ) -> None:
        self.clock = Clock()
        self.centres = centres
        self.cut_centres: set[frozenset[int]] = set()
        self.nodes: dict[str, Node] = {}
        self.ran: dict[str, list[float]] = defaultdict(list)
        self.asked: dict[str, int] = defaultdict(int)
        self.refused: dict[str, int] = defaultdict(int)
        self.source = random.Random(7)
        self._revision = 0
        self._pace: dict[str, float] = {}
        self._room: TokenBucket | None = None
        for index in range(nodes):
            node = Node(self, index)
            self.nodes[node.name] = node
            node.dispatch._dispatch = Target(self, node)
        self.set_teams(teams)
        self.wait(10)

    def set_teams(self, teams: list[TeamProfile]) -> None:
        """Put the limits of teams in force at all nodes."""
        self._revision += 1
        self._priorities = {team.name: team.priority for team in teams}
        plan = RoutePlan(
            self._revision, teams={team.name: team for team in teams}
        )
        for node in self.nodes.values():
            node.view.update_if_newer(Configuration(self._revision, plan=plan))

    def set_rate(self, team: str, per_s: float) -> None:
        """Set the calls that a team sends per second."""
        self._pace[team] = per_s

    def limit_room(self, per_s: float) -> None:
        """Let the targets run only some calls per second.

        Half of the room at any moment is kept for the highest priority.
        """
        self._room = TokenBucket(self.clock.now, per_s, ROOM_CALLS, 0)

    def has_room(self, call: Call) -> bool:
        """Whether a call finds room; heavy calls before light ones."""
        room = self._room
        if room is None:
            return True
        kept_free = 0 if call.weight == 1 else ROOM_CALLS // 2
        needed = 1 + kept_free
        taken = sum(not room.try_take(self.clock.now) for _ in range(needed))
        found = taken == needed
        for _ in range(kept_free if found else taken):
            room.put_back()
        return found

    def wait(self, seconds: float) -> None:
        """Let time pass without calls."""
        self.clock.now += seconds

    def is_connected(self, node: Node, other: Node) -> bool:
        """Whether a node gets an answer of another one."""
        pair = frozenset((node.centre, other.centre))
        is_cut = pair in self.cut_centres and len(pair) > 1
        return other.alive and not other.silent and not is_cut

    def restart(self, name: str) -> None:
        """Restart a node with empty tables."""
        node = self.nodes[name]
        node.restart()
        node.dispatch._dispatch = Target(self, node)

    def kill(self, name: str, *, known: bool = True) -> None:
        """End a node, which the others know or not."""
        node = self.nodes[name]
        node.alive = False
        if known:
            self.declare_dead(node)

    def drain(self, name: str) -> None:
        """Let all nodes know that a node is about to stop."""
        node = self.nodes[name]
        node.record = replace(
            node.record,
            version=node.record.version + 1,
            phase=Phase.draining,
        )
        for other in self.nodes.values():
            other.members.merge(node.record)

    def declare_dead(self, *gone: Node, by: list[Node] | None = None) -> None:
        """Tell nodes, or all of them, that other nodes are dead."""
        for node in by or list(self.nodes.values()):
            for other in gone:
                node.members.merge(
                    replace(other.record, liveness=Liveness.dead)
                )

    def owner(self, team: str) -> str:
        """Return the owner of a quota as the first node sees it."""
        record = next(iter(self.nodes.values())).ring.owner(team)
        return '' if record is None else record.node

    async def run(self, seconds: float) -> None:
        """Send calls at random nodes for some time."""
        steps = round(seconds / STEP_S)
        for _ in range(steps):
            self.clock.now += STEP_S
            calls: list[str] = []
            for team, per_s in self._pace.items():
                expected = per_s * STEP_S
                count = int(expected) + (self.source.random() < expected % 1)
                calls.extend(team for _ in range(count))
            self.source.shuffle(calls)
            for team in calls:
                await self.send(team)

    async def send(self, team: str) -> None:
        """Send a call at a random node."""
        alive = [node for node in self.nodes.values() if node.alive]
        call = new_call('/a')
        call.team = team
        priority = self._priorities.get(team) or 0
        call.weight = 1 / (1 + priority)
        self.asked[team] += 1
        try:
            await self.source.choice(alive).dispatch.dispatch(call)
        except (OverQuotaError, QuotaUnavailableError, OverloadedError):
            self.refused[team] += 1

    def most_in_window(self, team: str) -> int:
        """Return the most calls of a team that ran within one window."""
        times = self.ran[team]
        most = start = 0
        for index, at in enumerate(times):
            while at - times[start] >= WINDOW_S:
                start += 1
            most = max(most, index - start + 1)
        return most


def allowed(team: TeamProfile) -> float:
    """Return how many calls of a team may run in any window."""
    limit = team.calls_per_s * WINDOW_S + team.burst
    return limit * (1 + OVERAGE) + SLACK
