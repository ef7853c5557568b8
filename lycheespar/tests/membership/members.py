"""Nodes that run the real gossip code over a virtual network."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import Stamp
from lycheespar.configuration.view import ConfigurationView
from lycheespar.membership.broadcast import BroadcastTable
from lycheespar.membership.gossip import Gossip
from lycheespar.membership.records import Liveness, MemberRecord, Phase
from lycheespar.membership.view import MembershipView

PORT = 7000
SEEDS = 3


class Member:
    """Node with gossip, a member table and a configuration."""

    def __init__(self, index: int, incarnation: int = 1) -> None:
        loop = asyncio.get_running_loop()
        self.name = f'node-{index:04}'
        self.host = f'127.1.{index // 250}.{index % 250 + 1}'
        self.view = MembershipView()
        self.configuration = ConfigurationView(Configuration(), clock=loop.time)
        self.broadcasts = BroadcastTable(loop.time)
        record = MemberRecord(
            self.name,
            incarnation,
            0,
            self.host,
            7001,
            PORT,
            f'dc-{index % 6}',
            f'team-{index % 41}/certificates',
            f'{self.name}-target',
            Phase.ready,
            12,
        )
        self.gossip = Gossip(
            record,
            tuple((f'127.1.0.{seed + 1}', PORT) for seed in range(SEEDS)),
            self.view,
            self.configuration,
            self.broadcasts,
        )

    def alive(self) -> set[str]:
        """Return the names of the nodes that this node considers alive."""
        return {
            record.node
            for record in self.view.records
            if record.liveness is Liveness.alive
        }

    def crash(self) -> None:
        """Stop without notifying other members."""
        self.gossip._task.cancel()
        self.gossip._detector.stop()
        self.gossip.endpoint.close()

    def pause(self) -> None:
        """Pause gossip, as by SIGSTOP; received datagrams are dropped."""
        self.gossip._task.cancel()
        self.gossip.endpoint._receive = lambda *_: None

    def resume(self) -> None:
        """Resume gossip after a pause."""
        self.gossip.endpoint._receive = self.gossip._receive
        self.gossip._task = asyncio.create_task(self.gossip._run())

    def drop_queued_updates(self) -> None:
        """Drop the queued member updates."""
        self.gossip.endpoint._updates._member_queue.take(1_000_000, 1)

    def add_known_members(self, others: Iterable[Member]) -> None:
        """Add the records of other nodes to the member table."""
        for other in others:
            self.view.merge(other.gossip.own_record)


async def start(count: int, *, fully_connected: bool = False) -> list[Member]:
    """Start nodes; with `fully_connected`, all of them know each other."""
    members = [Member(index) for index in range(count)]
    if fully_connected:
        for member in members:
            member.add_known_members(members)
    for member in members:
        await member.gossip.start()
    return members


class Issuer:
    """Issuer of stamps that records when each one was issued."""

    def __init__(self, period_s: float = 0.25) -> None:
        self.period_s = period_s
        self.issued_at: dict[int, float] = {}
        self.revision = 0

    async def run(self, direct_members: list[Member]) -> None:
        """Issue stamps periodically, to some nodes directly."""
        loop = asyncio.get_running_loop()
        for number in range(1, 1_000_000):
            self.issued_at[number] = loop.time()
            for member in direct_members:
                member.configuration.accept_stamp(
                    Stamp(1, self.revision, number)
                )
            await asyncio.sleep(self.period_s)

    def actual_age_s(self, member: Member) -> float:
        """Return the time in seconds since a node's stamp was issued."""
        now = asyncio.get_running_loop().time()
        number = member.configuration.stamp.round
        return now - self.issued_at.get(number, float('-inf'))
