"""Failure detector with pings, indirect pings and suspicion."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Final

from msgspec.structs import replace

from lycheespar.configuration.stamp import StampSource
from lycheespar.membership.endpoint import Endpoint, HostPort
from lycheespar.membership.messages import (
    Ack,
    IndirectAck,
    Ping,
    PingRequest,
    sender_fields,
)
from lycheespar.membership.records import Liveness, MemberRecord, Verdict
from lycheespar.membership.suspicion import DetectorHealth
from lycheespar.membership.view import MembershipView

PROBE_PERIOD_S: Final = 0.2
PROBES_PER_PERIOD: Final = 1
ACK_TIMEOUT_S: Final = 0.5
INDIRECT_TIMEOUT_S: Final = 1
MAX_HELPERS: Final = 3

Reply = Ack | IndirectAck


class Detector:
    """Failure detector that probes the members in shuffled order.

    Parameters
    ----------
    own : Callable
        Returns the record of this node.
    members : MembershipView
        Members to probe.
    endpoint : Endpoint
        Endpoint for sending datagrams.
    report_suspect : Callable
        Called with the verdict on a member that no helper could reach either.
    stamps : StampSource
        Accepts the stamps from the members' replies.
    """

    __slots__ = (
        '_endpoint',
        '_health',
        '_members',
        '_own',
        '_pending',
        '_probe_order',
        '_random',
        '_report_suspect',
        '_serials',
        '_stamps',
        '_tasks',
    )

    def __init__(
        self,
        own: Callable[[], MemberRecord],
        members: MembershipView,
        endpoint: Endpoint,
        report_suspect: Callable[[Verdict], None],
        stamps: StampSource,
    ) -> None:
        """Create a detector without pending probes."""
        self._own = own
        self._members = members
        self._endpoint = endpoint
        self._report_suspect = report_suspect
        self._stamps = stamps
        self._health = DetectorHealth()
        self._random = random.Random(own().node)
        self._probe_order: list[str] = []
        self._serials = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Reply]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def probe_next(self) -> None:
        """Start probes of the next members in the probe order."""
        for _ in range(PROBES_PER_PERIOD):
            record = self._next_member()
            if record is not None:
                self._start(self._probe(record))

    def probe_member(self, record: MemberRecord) -> None:
        """Start a probe of a member outside the probe order."""
        self._start(self._probe(record))

    def probe_address(self, address: HostPort) -> None:
        """Start a probe of an address whose member may be unknown."""
        self._start(self._probe_address(address))

    def handle_ping_request(
        self,
        request: PingRequest,
        sender: HostPort,
    ) -> None:
        """Start a probe of a member on behalf of another one."""
        self._start(self._probe_on_behalf(request, sender))

    def handle_reply(self, reply: Reply) -> None:
        """Pass a reply to the probe that waits for it; ignore a late one."""
        waiting = self._pending.get(reply.serial)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def stop(self) -> None:
        """Cancel all probes in progress."""
        for task in self._tasks:
            task.cancel()

    def choose_peers(self, count: int, *excluded: str) -> list[MemberRecord]:
        """Return up to `count` live members, chosen at random."""
        excluded_nodes = {self._own().node, *excluded}
        alive = [
            record
            for record in self._members.records
            if record.liveness is Liveness.alive
            and record.node not in excluded_nodes
        ]
        return self._random.sample(alive, min(count, len(alive)))

    def _start(self, probe: asyncio._CoroutineLike[None]) -> None:
        task = asyncio.create_task(probe)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _next_member(self) -> MemberRecord | None:
        own = self._own().node
        for _ in range(len(self._members) + 1):
            if not self._probe_order:
                self._probe_order = [
                    record.node for record in self._members.records
                ]
                self._random.shuffle(self._probe_order)
            record = self._members.get(self._probe_order.pop())
            if record is None or record.node == own:
                continue
            if record.liveness is not Liveness.dead:
                return record
        return None

    async def _probe(self, record: MemberRecord) -> None:
        """Ping a member, then through helpers; suspect it if all fail."""
        timeout_s = ACK_TIMEOUT_S * self._health.timeout_factor
        indirect_timeout_s = INDIRECT_TIMEOUT_S * self._health.timeout_factor
        started_at = asyncio.get_running_loop().time()
        if await self._ping(_address(record), timeout_s) is not None:
            self._health.record_success()
            return
        answered = await self._ping_through_helpers(record, indirect_timeout_s)
        elapsed_s = asyncio.get_running_loop().time() - started_at
        if any(answered):
            return
        if not answered:
            self._health.record_fault()
        # A probe that took longer shows that this process itself was paused.
        if elapsed_s < 2 * (timeout_s + indirect_timeout_s):
            self._report_suspect(_suspect_verdict(record))

    async def _ping_through_helpers(
        self,
        record: MemberRecord,
        timeout_s: float,
    ) -> list[bool]:
        """Ping a member again, directly and through helpers.

        Returns
        -------
        list[bool]
            Whether the member answered, for each reply that arrived in time.
        """
        helpers = self.choose_peers(MAX_HELPERS, record.node)
        replies = await asyncio.gather(
            *(
                self._request_ping(helper, record, timeout_s)
                for helper in helpers
            ),
            self._ping(_address(record), timeout_s),
        )
        return [
            not isinstance(reply, IndirectAck) or reply.answered
            for reply in replies
            if reply is not None
        ]

    async def _request_ping(
        self,
        helper: MemberRecord,
        record: MemberRecord,
        timeout_s: float,
    ) -> Reply | None:
        serial = next(self._serials)
        request = PingRequest(
            *sender_fields(self._own()),
            serial,
            record.node,
            record.host,
            record.gossip_port,
        )
        self._endpoint.send(request, _address(helper))
        return await self._wait_for_reply(serial, timeout_s)

    async def _probe_on_behalf(
        self,
        request: PingRequest,
        sender: HostPort,
    ) -> None:
        address = (request.host, request.port)
        reply = await self._ping(address, ACK_TIMEOUT_S)
        answered = reply is not None and reply.sender == request.node
        self._endpoint.send(
            IndirectAck(*sender_fields(self._own()), request.serial, answered),
            sender,
        )

    async def _probe_address(self, address: HostPort) -> None:
        await self._ping(address, ACK_TIMEOUT_S)

    async def _ping(
        self,
        address: HostPort,
        timeout_s: float,
    ) -> Reply | None:
        """Ping an address and store the stamp of the reply.

        The whole round trip is added to the age of the stamp, because the
        reply may have waited in a buffer after it was sent.
        """
        serial = next(self._serials)
        started_at = self._stamps.now()
        ping = Ping(
            *sender_fields(self._own()),
            serial,
            self._endpoint.take_updates(),
        )
        self._endpoint.send(ping, address)
        reply = await self._wait_for_reply(serial, timeout_s)
        if isinstance(reply, Ack):
            elapsed_s = self._stamps.now() - started_at
            self._stamps.accept_stamp(reply.stamp.with_added_age(elapsed_s))
        return reply

    async def _wait_for_reply(
        self,
        serial: int,
        timeout_s: float,
    ) -> Reply | None:
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


def _suspect_verdict(record: MemberRecord) -> Verdict:
    return replace(record.verdict, liveness=Liveness.suspect)
