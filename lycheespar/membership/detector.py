"""Failure detection: pings, indirect pings and suspicion with refutation."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Final

from msgspec.structs import replace

from lycheespar.configuration.stamp import StampTable
from lycheespar.membership.endpoint import Endpoint, HostPort
from lycheespar.membership.messages import (
    Ack,
    IndirectAck,
    Ping,
    PingRequest,
    sender_of,
)
from lycheespar.membership.records import Liveness, MemberRecord, Verdict
from lycheespar.membership.suspicion import DetectorHealth
from lycheespar.membership.view import MembershipView

PROBE_PERIOD_S: Final = 0.2
PROBES_A_PERIOD: Final = 1
ACK_TIMEOUT_S: Final = 0.5
INDIRECT_TIMEOUT_S: Final = 1
HELPERS: Final = 3

Reply = Ack | IndirectAck


class Detector:
    """Probes the members one after the other, in a shuffled order.

    Parameters
    ----------
    own : Callable
        Returns the record of this node.
    members : MembershipView
        Members to probe.
    endpoint : Endpoint
        Port to send from.
    suspect : Callable
        Takes the verdict on a member that no one could reach.
    configuration : StampTable
        Takes each stamp that a member answers with.
    """

    __slots__ = (
        '_configuration',
        '_endpoint',
        '_health',
        '_members',
        '_order',
        '_own',
        '_pending',
        '_random',
        '_serials',
        '_suspect',
        '_tasks',
    )

    def __init__(
        self,
        own: Callable[[], MemberRecord],
        members: MembershipView,
        endpoint: Endpoint,
        suspect: Callable[[Verdict], None],
        configuration: StampTable,
    ) -> None:
        """Keep the parts."""
        self._own = own
        self._members = members
        self._endpoint = endpoint
        self._suspect = suspect
        self._configuration = configuration
        self._health = DetectorHealth()
        self._random = random.Random(own().node)
        self._order: list[str] = []
        self._serials = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Reply]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def probe_next(self) -> None:
        """Probe the next members, each in a task of its own."""
        for _ in range(PROBES_A_PERIOD):
            record = self._next()
            if record is not None:
                self._start(self._probe(record))

    def check(self, record: MemberRecord) -> None:
        """Probe a member out of its turn."""
        self._start(self._probe(record))

    def probe(self, address: HostPort) -> None:
        """Probe an address of which nothing is known."""
        self._start(self._knock(address))

    def help(self, request: PingRequest, sender: HostPort) -> None:
        """Probe a member for another one."""
        self._start(self._probe_for(request, sender))

    def reply(self, reply: Reply) -> None:
        """Take an answer to a probe, unless it comes late."""
        waiting = self._pending.get(reply.serial)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def stop(self) -> None:
        """Cancel the probes."""
        for task in self._tasks:
            task.cancel()

    def peers(self, count: int, *but: str) -> list[MemberRecord]:
        """Return some members that are alive, chosen at random."""
        skipped = {self._own().node, *but}
        alive = [
            record
            for record in self._members.records
            if record.liveness is Liveness.alive and record.node not in skipped
        ]
        return self._random.sample(alive, min(count, len(alive)))

    def _start(self, probe: asyncio._CoroutineLike[None]) -> None:
        task = asyncio.create_task(probe)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _next(self) -> MemberRecord | None:
        own = self._own().node
        for _ in range(len(self._members) + 1):
            if not self._order:
                self._order = [record.node for record in self._members.records]
                self._random.shuffle(self._order)
            record = self._members.get(self._order.pop())
            if record is None or record.node == own:
                continue
            if record.liveness is not Liveness.dead:
                return record
        return None

    async def _probe(self, record: MemberRecord) -> None:
        """Probe a member, also through others; suspect it in the end."""
        timeout_s = ACK_TIMEOUT_S * self._health.factor
        more_s = INDIRECT_TIMEOUT_S * self._health.factor
        began_at = asyncio.get_running_loop().time()
        if await self._ping(_address(record), timeout_s) is not None:
            self._health.improve()
            return
        answered = await self._ask_helpers(record, more_s)
        took_s = asyncio.get_running_loop().time() - began_at
        if any(answered):
            return
        if not answered:
            self._health.worsen()
        # A longer time shows that this process itself did not run.
        if took_s < 2 * (timeout_s + more_s):
            self._suspect(_suspicion(record))

    async def _ask_helpers(
        self,
        record: MemberRecord,
        timeout_s: float,
    ) -> list[bool]:
        """Return what the helpers said, without those that were silent."""
        helpers = self.peers(HELPERS, record.node)
        replies = await asyncio.gather(
            *(self._ask(helper, record, timeout_s) for helper in helpers),
            self._ping(_address(record), timeout_s),
        )
        return [
            not isinstance(reply, IndirectAck) or reply.answered
            for reply in replies
            if reply is not None
        ]

    async def _ask(
        self,
        helper: MemberRecord,
        record: MemberRecord,
        timeout_s: float,
    ) -> Reply | None:
        serial = next(self._serials)
        request = PingRequest(
            *sender_of(self._own()),
            serial,
            record.node,
            record.host,
            record.gossip_port,
        )
        self._endpoint.send(request, _address(helper))
        return await self._wait(serial, timeout_s)

    async def _probe_for(
        self,
        request: PingRequest,
        sender: HostPort,
    ) -> None:
        address = (request.host, request.port)
        reply = await self._ping(address, ACK_TIMEOUT_S)
        answered = reply is not None and reply.sender == request.node
        self._endpoint.send(
            IndirectAck(*sender_of(self._own()), request.serial, answered),
            sender,
        )

    async def _knock(self, address: HostPort) -> None:
        await self._ping(address, ACK_TIMEOUT_S)

    async def _ping(
        self,
        address: HostPort,
        timeout_s: float,
    ) -> Reply | None:
        """Ping an address, and take the stamp of the answer.

        The age of the stamp grows by the whole round trip: the answer may
        have waited in a buffer since it was sent.
        """
        serial = next(self._serials)
        began_at = self._configuration.now()
        ping = Ping(
            *sender_of(self._own()),
            serial,
            self._endpoint.news(),
        )
        self._endpoint.send(ping, address)
        reply = await self._wait(serial, timeout_s)
        if isinstance(reply, Ack):
            took_s = self._configuration.now() - began_at
            self._configuration.confirm(reply.stamp.aged(took_s))
        return reply

    async def _wait(self, serial: int, timeout_s: float) -> Reply | None:
        waiting: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[serial] = waiting
        try:
            async with asyncio.timeout(timeout_s):
                return await waiting
        except TimeoutError:
            return None
        finally:
            self._pending.pop(serial, None)


def _address(record: MemberRecord) -> HostPort:
    return (record.host, record.gossip_port)


def _suspicion(record: MemberRecord) -> Verdict:
    return replace(record.verdict, liveness=Liveness.suspect)
