"""Gossip over UDP: spreads records and freshness stamps."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Final

import msgspec
from loguru import logger
from msgspec.structs import replace

from lycheespar.config.options import Address
from lycheespar.configuration.stamp import Stamp
from lycheespar.configuration.view import ConfigurationView
from lycheespar.membership.broadcast import Broadcast, BroadcastTable
from lycheespar.membership.records import Liveness, MemberRecord
from lycheespar.membership.view import MembershipView

GOSSIP_PERIOD_S: Final = 0.2
FANOUT: Final = 3
RECORDS_A_MESSAGE: Final = 12
SILENCE_S: Final = 3

log = logger.bind(part='membership')


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Some records and the newest stamp of the sender.

    Attributes
    ----------
    sender : str
        Identity of the sending node.
    stamp : Stamp
        Newest stamp of the sender.
    records : tuple[MemberRecord, ...]
        Some of the sender's records, its own first.
    broadcasts : tuple[Broadcast, ...]
        Facts that hold now.
    """

    sender: str
    stamp: Stamp
    records: tuple[MemberRecord, ...]
    broadcasts: tuple[Broadcast, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest)


class Gossip(asyncio.DatagramProtocol):
    """Spreads what this node knows to a few others in each period.

    Parameters
    ----------
    own : MemberRecord
        Record of this node.
    seeds : tuple[Address, ...]
        Gossip addresses to begin with.
    members : MembershipView
        Table that is kept up to date.
    configuration : ConfigurationView
        Source and sink of freshness stamps.
    broadcasts : BroadcastTable
        Facts to spread.
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: tuple[Address, ...],
        members: MembershipView,
        configuration: ConfigurationView,
        broadcasts: BroadcastTable,
    ) -> None:
        """Keep the parts; `start` opens the port."""
        self._own = own
        self._seeds = seeds
        self._members = members
        self._configuration = configuration
        self._broadcasts = broadcasts
        self._heard_at: dict[str, float] = {}
        self._random = random.Random(own.node)
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None
        members.merge(own)

    @property
    def own(self) -> MemberRecord:
        """Record of this node."""
        return self._own

    def update(self, record: MemberRecord) -> None:
        """Replace this node's record; its version is set here."""
        self._own = replace(record, version=self._own.version + 1)
        self._members.merge(self._own)

    async def start(self) -> None:
        """Open the port and start to spread."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            (self._own.host, self._own.gossip_port),
        )
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Spread the last record, then close the port."""
        self._spread()
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def datagram_received(
        self, payload: bytes, sender: tuple[str, int]
    ) -> None:
        """Take a digest."""
        try:
            digest = _decoder.decode(payload)
        except msgspec.DecodeError:
            return
        now = asyncio.get_running_loop().time()
        self._heard_at[digest.sender] = now
        self._configuration.confirm(digest.stamp)
        for record in digest.records:
            self._take(record)
        for fact in digest.broadcasts:
            self._broadcasts.publish(fact)

    def _take(self, record: MemberRecord) -> None:
        if record.node != self._own.node:
            self._members.merge(record)
        elif record.supersedes(self._own):
            self._own = replace(
                self._own,
                version=record.version + 1,
                liveness=Liveness.alive,
            )
            self._members.merge(self._own)

    async def _run(self) -> None:
        while True:
            self._spread()
            self._suspect_silent()
            await asyncio.sleep(GOSSIP_PERIOD_S)

    def _spread(self) -> None:
        others = [
            record
            for record in self._members.records
            if record.node != self._own.node
        ]
        chosen = self._random.sample(
            others,
            min(len(others), RECORDS_A_MESSAGE),
        )
        digest = Digest(
            self._own.node,
            self._configuration.stamp,
            (self._own, *chosen),
            self._broadcasts.current,
        )
        payload = _encoder.encode(digest)
        for address in self._receivers(others):
            self._send(payload, address)

    def _receivers(self, others: list[MemberRecord]) -> list[tuple[str, int]]:
        known = [(found.host, found.gossip_port) for found in others]
        seeds = [(seed.host, seed.port) for seed in self._seeds]
        return list(
            itertools.chain(
                self._random.sample(known, min(len(known), FANOUT)),
                self._random.sample(seeds, min(len(seeds), 1)),
            ),
        )

    def _send(self, payload: bytes, address: tuple[str, int]) -> None:
        if self._transport is not None:
            self._transport.sendto(payload, address)

    def _suspect_silent(self) -> None:
        """Declare nodes dead that were not heard of for long."""
        now = asyncio.get_running_loop().time()
        for record in tuple(self._members.records):
            heard_at = self._heard_at.setdefault(record.node, now)
            silent = now - heard_at > SILENCE_S
            own = record.node == self._own.node
            if silent and not own and record.liveness is Liveness.alive:
                log.info("Node '{}' is silent.", record.node)
                self._members.merge(replace(record, liveness=Liveness.dead))
