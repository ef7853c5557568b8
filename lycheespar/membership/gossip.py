"""Gossip over UDP: spreads records, broadcasts and freshness stamps."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import partial

from loguru import logger
from msgspec.structs import replace

from lycheespar.background import start_background
from lycheespar.configuration.stamp import StampSource
from lycheespar.membership.broadcast import BroadcastTable
from lycheespar.membership.detector import PROBE_PERIOD_S, Detector
from lycheespar.membership.endpoint import Endpoint, HostPort
from lycheespar.membership.joining import Joiner
from lycheespar.membership.messages import (
    Ack,
    BucketContents,
    Datagram,
    IndirectAck,
    Join,
    Ping,
    PingRequest,
    RecordRequest,
    Records,
    TablePage,
    TablesEqual,
    TableSummary,
    Updates,
    sender_fields,
    unpack_records,
)
from lycheespar.membership.pusher import Pusher
from lycheespar.membership.records import Liveness, MemberRecord, Verdict
from lycheespar.membership.synchronization import Synchronizer
from lycheespar.membership.tables import TableSender
from lycheespar.membership.tracker import MemberTracker
from lycheespar.membership.update_queue import UpdateQueue
from lycheespar.membership.view import MembershipView

log = logger.bind(part='membership')


class Gossip:
    """Gossip that keeps the member table and freshness stamp up to date.

    Parameters
    ----------
    own : MemberRecord
        Record of this node.
    seeds : tuple[HostPort, ...]
        Gossip addresses used for joining.
    members : MembershipView
        Member table that is kept up to date.
    configuration : StampSource
        Provides the stamp that is sent and accepts received stamps.
    broadcasts : BroadcastTable
        Broadcasts to spread.

    Attributes
    ----------
    seeds : tuple[HostPort, ...]
        Gossip addresses that are probed to join; may be replaced.
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: tuple[HostPort, ...],
        members: MembershipView,
        configuration: StampSource,
        broadcasts: BroadcastTable,
    ) -> None:
        """Create stopped gossip; `start` opens the port."""
        self._own = own
        address = (own.host, own.gossip_port)
        self.seeds = seeds
        self._members = members
        self._stamps = configuration
        self._broadcasts = broadcasts
        self._random = random.Random(own.node)
        updates = UpdateQueue(members, broadcasts)
        self._tracker = MemberTracker(own.node, members, updates)
        own_now: Callable[[], MemberRecord] = partial(getattr, self, '_own')
        self._endpoint = Endpoint(address, updates, self._receive)
        self._detector = Detector(
            own_now,
            members,
            self._endpoint,
            self._tracker.apply_verdict,
            configuration,
        )
        self._pusher = Pusher(
            own_now,
            self._detector,
            self._endpoint,
            broadcasts,
        )
        self._tables = TableSender(
            own_now,
            members,
            self._endpoint,
            lambda: self._synchronizer.has_synchronized,
        )
        self._synchronizer = Synchronizer(
            own_now,
            members,
            self._endpoint,
            self._tables,
        )
        self._joiner = Joiner(
            own_now, self._tracker, self._detector, self._endpoint
        )
        self._task: asyncio.Task[None] | None = None
        self._tracker.apply_record(own)

    @property
    def own_record(self) -> MemberRecord:
        """Record of this node."""
        return self._own

    @property
    def synchronized(self) -> bool:
        """Whether the table has ever matched those of other members."""
        return self._synchronizer.has_synchronized

    @property
    def endpoint(self) -> Endpoint:
        """UDP endpoint, which counts the bytes sent and received."""
        return self._endpoint

    def update_own_record(self, record: MemberRecord) -> None:
        """Replace this node's record and send it, with a new version."""
        version = self._own.version + 1
        self._own = replace(record, version=version, refutation=0)
        self._tracker.apply_record(self._own)
        self._pusher.send_own_record()

    async def start(self) -> None:
        """Open the port and start the periodic probes."""
        await self._endpoint.open()
        self._task = start_background('gossip', self._run)

    async def stop(self) -> None:
        """Announce the leave to some members, then close the port."""
        if self._task is not None:
            self._task.cancel()
        self._own = replace(
            self._own,
            version=self._own.version + 1,
            liveness=Liveness.dead,
        )
        self._pusher.send_own_record()
        self._detector.stop()
        self._endpoint.close()

    async def _run(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            self._detector.probe_next()
            self._joiner.run_if_due(now, self.seeds)
            if self._synchronizer.is_due(now):
                self._synchronizer.compare(self._detector.choose_peers(1))
            self._tracker.expire(now)
            await asyncio.sleep(PROBE_PERIOD_S)

    def _apply_page(self, page: TablePage, sender: HostPort) -> None:
        """Store the records of a page, but not those of suspected members."""
        records = unpack_records(page.packed)
        others = [
            record
            for record in records
            if record.node != self._own.node
            and record.liveness is Liveness.alive
        ]
        changed = bool(self._tracker.apply_table(others, page.sender))
        self._synchronizer.record_page(
            asyncio.get_running_loop().time(), page.table_size, changed=changed
        )
        for record in records:
            if record.node == self._own.node:
                self._receive_verdict(record.verdict, sender)

    def _receive(self, datagram: Datagram, sender: HostPort) -> None:
        if datagram.sender == self._own.node:
            _report_name_conflict(self._own, datagram)
            return
        if isinstance(datagram, Join):
            self._tracker.apply_record(datagram.record)
        self._check_sender(datagram, sender)
        match datagram:
            case Ping():
                self._apply_updates(datagram.updates, sender)
                self._send_ack(datagram, sender)
            case Ack():
                self._apply_updates(datagram.updates, sender)
                self._detector.handle_reply(datagram)
            case IndirectAck():
                self._detector.handle_reply(datagram)
            case PingRequest():
                self._detector.handle_ping_request(datagram, sender)
            case RecordRequest():
                self._synchronizer.answer_record_request(datagram.nodes, sender)
            case Records():
                self._apply_updates(datagram.updates, sender)
            case _:
                self._receive_table(datagram, sender)

    def _receive_table(self, datagram: Datagram, sender: HostPort) -> None:
        """Handle a datagram of a comparison of tables."""
        match datagram:
            case TableSummary():
                if self._synchronizer.answer_summary(datagram, sender):
                    self._schedule_sync(datagram.sender)
            case BucketContents():
                self._schedule_sync(datagram.sender)
                for verdict in self._synchronizer.answer_contents(
                    datagram,
                    sender,
                ):
                    self._receive_verdict(verdict, sender)
            case TablesEqual():
                self._synchronizer.record_equal_table(datagram.sender)
            case Join():
                self._tables.send_sample(sender)
            case TablePage():
                self._apply_page(datagram, sender)

    def _send_ack(self, ping: Ping, sender: HostPort) -> None:
        ack = Ack(
            *sender_fields(self._own),
            ping.serial,
            self._stamps.stamp,
            self._endpoint.take_updates(),
        )
        self._endpoint.send(ack, sender)

    def _check_sender(self, datagram: Datagram, sender: HostPort) -> None:
        """Compare a sender's own verdict with the member table.

        The record of an unknown or updated sender is requested. To a sender
        that is suspected or dead here, that verdict is sent; the sender then
        refutes it.
        """
        sender_verdict = datagram.sender_verdict
        known = self._members.verdict(sender_verdict.node)
        if known is not None and known.rank >= sender_verdict.rank:
            if known.liveness is not Liveness.alive:
                self._send_verdict(known, sender)
            return
        if (
            known is None
            or known.record_version < sender_verdict.record_version
        ):
            self._synchronizer.request_records((sender_verdict.node,), sender)
        else:
            self._tracker.apply_verdict(sender_verdict)
        if known is None or known.liveness is Liveness.dead:
            self._schedule_sync(sender_verdict.node)

    def _schedule_sync(self, node: str) -> None:
        self._synchronizer.schedule_soon(
            asyncio.get_running_loop().time(),
            node,
        )

    def _send_verdict(self, verdict: Verdict, sender: HostPort) -> None:
        """Send a verdict; removed members count as dead."""
        if self._members.get(verdict.node) is None:
            verdict = replace(verdict, liveness=Liveness.dead)
        self._synchronizer.send_verdict(verdict, sender)

    def _apply_updates(self, updates: Updates, sender: HostPort) -> None:
        for record in updates.records:
            if record.node == self._own.node:
                self._receive_verdict(record.verdict, sender)
            elif not self._tracker.apply_record(record):
                self._answer_stale_record(record, sender)
        for verdict in updates.verdicts:
            self._receive_verdict(verdict, sender)
        for broadcast in updates.broadcasts:
            self._broadcasts.receive(broadcast)

    def _answer_stale_record(
        self,
        record: MemberRecord,
        sender: HostPort,
    ) -> None:
        """Reply to an old record of a removed member with its verdict."""
        known = self._members.verdict(record.node)
        if known is not None and self._members.get(record.node) is None:
            self._send_verdict(known, sender)

    def _receive_verdict(self, verdict: Verdict, sender: HostPort) -> None:
        """Apply the verdict of another node.

        A verdict that a member is dead is not adopted, since a partition may
        have separated the member from the other node only. Instead the verdict
        is sent to the member, so that the member refutes it, and the member
        is probed.
        """
        if verdict.node == self._own.node:
            self._refute(verdict)
            if verdict.liveness is not Liveness.alive:
                self._synchronizer.send_own_record(sender)
        elif verdict.liveness is Liveness.dead:
            self._verify_death(verdict)
        else:
            self._tracker.apply_verdict(verdict)

    def _verify_death(self, verdict: Verdict) -> None:
        """Probe a member that another node declared dead."""
        record = self._members.get(verdict.node)
        if record is None or record.liveness is not Liveness.alive:
            return
        if verdict.rank > record.rank and self._endpoint.has_budget():
            self._synchronizer.send_verdict(
                verdict,
                (record.host, record.gossip_port),
            )
            self._detector.probe_member(record)

    def _refute(self, verdict: Verdict) -> None:
        """Supersede a verdict on this node.

        A verdict on a version that this process never had stems from an
        earlier process whose clock was ahead; it is refuted by a greater
        incarnation.
        """
        own = self._own
        if verdict.rank <= own.rank or own.liveness is Liveness.dead:
            return
        if verdict.record_version == own.verdict.record_version:
            refutation = verdict.refutation + 1
            self._own = replace(own, refutation=refutation)
        else:
            log.warning(
                "Other members have a newer record of '{}' than this process; "
                'increasing the incarnation.',
                own.node,
            )
            incarnation = verdict.incarnation + 1
            self._own = replace(own, incarnation=incarnation)
        self._tracker.apply_record(self._own)


def _report_name_conflict(own: MemberRecord, datagram: Datagram) -> None:
    if datagram.incarnation != own.incarnation:
        log.error(
            "Another process sends gossip under this node's name, '{}'.",
            own.node,
        )
