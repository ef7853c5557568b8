"""Gossip over UDP: spreads records, facts and freshness stamps."""

from __future__ import annotations

import asyncio
import random
from typing import Final

from loguru import logger
from msgspec.structs import replace

from lycheespar.configuration.stamp import StampTable
from lycheespar.membership.broadcast import BroadcastTable
from lycheespar.membership.detector import PROBE_PERIOD_S, Detector
from lycheespar.membership.endpoint import Endpoint, HostPort
from lycheespar.membership.messages import (
    Ack,
    Contents,
    Datagram,
    IndirectAck,
    News,
    Ping,
    PingRequest,
    Records,
    Same,
    Summary,
    Want,
    sender_of,
)
from lycheespar.membership.news import NewsQueue
from lycheespar.membership.push import Push
from lycheespar.membership.records import Liveness, MemberRecord, Verdict
from lycheespar.membership.synchronization import Synchronizer
from lycheespar.membership.tracker import MemberTracker
from lycheespar.membership.view import MembershipView

# Times between two probes of a seed or a dead member, in seconds: usual, and
# while no other member is known.
REJOIN_PERIOD_S: Final = 5
JOIN_PERIOD_S: Final = 0.5

log = logger.bind(part='membership')


class Gossip:
    """Keeps the table of members and the freshness stamp up to date.

    Parameters
    ----------
    own : MemberRecord
        Record of this node.
    seeds : tuple[HostPort, ...]
        Gossip addresses to begin with.
    members : MembershipView
        Table that is kept up to date.
    configuration : StampTable
        Source and sink of freshness stamps.
    broadcasts : BroadcastTable
        Facts to spread.

    Attributes
    ----------
    seeds : tuple[HostPort, ...]
        Addresses at which members are looked for; may be replaced.
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: tuple[HostPort, ...],
        members: MembershipView,
        configuration: StampTable,
        broadcasts: BroadcastTable,
    ) -> None:
        """Keep the parts; `start` opens the port."""
        self._own = own
        address = (own.host, own.gossip_port)
        self.seeds = seeds
        self._members = members
        self._configuration = configuration
        self._broadcasts = broadcasts
        self._random = random.Random(own.node)
        news = NewsQueue(members, broadcasts)
        self._tracker = MemberTracker(own.node, members, news)
        self._endpoint = Endpoint(address, news, self._receive)
        self._detector = Detector(
            lambda: self._own,
            members,
            self._endpoint,
            self._tracker.judge,
            configuration,
        )
        self._push = Push(
            lambda: self._own,
            self._detector,
            self._endpoint,
            broadcasts,
        )
        self._sync = Synchronizer(lambda: self._own, members, self._endpoint)
        self._rejoin_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._tracker.take(own)

    @property
    def own(self) -> MemberRecord:
        """Record of this node."""
        return self._own

    @property
    def synchronized(self) -> bool:
        """Whether the table has been the same as another member's."""
        return self._sync.agreed

    @property
    def endpoint(self) -> Endpoint:
        """The port, with its counts of bytes."""
        return self._endpoint

    def update(self, record: MemberRecord) -> None:
        """Replace this node's record; its version is set here."""
        version = self._own.version + 1
        self._own = replace(record, version=version, refutation=0)
        self._tracker.take(self._own)
        self._push.present()

    async def start(self) -> None:
        """Open the port and start to spread."""
        await self._endpoint.open()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Tell some members of the leave, then close the port."""
        if self._task is not None:
            self._task.cancel()
        self._own = replace(
            self._own,
            version=self._own.version + 1,
            liveness=Liveness.dead,
        )
        self._push.present()
        self._detector.stop()
        self._endpoint.close()

    async def _run(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            self._detector.probe_next()
            self._rejoin(now)
            if self._sync.is_due(now):
                self._sync.compare(self._detector.peers(1))
            self._tracker.expire(now)
            await asyncio.sleep(PROBE_PERIOD_S)

    def _rejoin(self, now: float) -> None:
        """Probe a seed or a dead member, so that partitions heal."""
        if now < self._rejoin_at:
            return
        alone = not self._detector.peers(1)
        period_s = JOIN_PERIOD_S if alone else REJOIN_PERIOD_S
        self._rejoin_at = now + period_s * self._random.uniform(0.5, 1.5)
        lost = self._tracker.lost(self.seeds)
        if lost:
            self._detector.probe(self._random.choice(lost))

    def _receive(self, datagram: Datagram, sender: HostPort) -> None:
        if datagram.sender == self._own.node:
            self._report_namesake(datagram)
            return
        self._meet(datagram, sender)
        match datagram:
            case Ping():
                self._take_news(datagram.news, sender)
                self._answer(datagram, sender)
            case Ack():
                self._take_news(datagram.news, sender)
                self._detector.reply(datagram)
            case IndirectAck():
                self._detector.reply(datagram)
            case PingRequest():
                self._detector.help(datagram, sender)
            case Summary():
                self._sync.answer_summary(datagram, sender)
            case Contents():
                self._hasten(datagram.sender)
                for verdict in self._sync.answer_contents(datagram, sender):
                    self._hear(verdict, sender)
            case Same():
                self._sync.agree()
            case Want():
                self._sync.answer_want(datagram.nodes, sender)
            case Records():
                self._take_news(datagram.news, sender)

    def _answer(self, ping: Ping, sender: HostPort) -> None:
        ack = Ack(
            *sender_of(self._own),
            ping.serial,
            self._configuration.stamp,
            self._endpoint.news(),
        )
        self._endpoint.send(ack, sender)

    def _meet(self, datagram: Datagram, sender: HostPort) -> None:
        """Ask an unknown sender for its record; tell one held for lost."""
        claim = datagram.claim
        known = self._members.verdict(claim.node)
        if known is not None and known.rank >= claim.rank:
            if known.liveness is not Liveness.alive:
                self._tell(known, sender)
            return
        if known is None or known.content < claim.content:
            self._sync.ask_for(claim.node, sender)
        else:
            self._tracker.judge(claim)
        if known is None or known.liveness is Liveness.dead:
            self._hasten(claim.node)

    def _hasten(self, node: str) -> None:
        self._sync.hasten(asyncio.get_running_loop().time(), node)

    def _tell(self, verdict: Verdict, sender: HostPort) -> None:
        """Tell of a verdict; removed members count as dead."""
        if self._members.get(verdict.node) is None:
            verdict = replace(verdict, liveness=Liveness.dead)
        self._sync.tell(verdict, sender)

    def _take_news(self, news: News, sender: HostPort) -> None:
        for record in news.records:
            if record.node == self._own.node:
                self._hear(record.verdict, sender)
            elif not self._tracker.take(record):
                self._correct(record, sender)
        for verdict in news.verdicts:
            self._hear(verdict, sender)
        for fact in news.broadcasts:
            self._broadcasts.receive(fact)

    def _correct(self, record: MemberRecord, sender: HostPort) -> None:
        """Answer a record of a member that was removed here."""
        known = self._members.verdict(record.node)
        if known is not None and self._members.get(record.node) is None:
            self._tell(known, sender)

    def _hear(self, verdict: Verdict, sender: HostPort) -> None:
        """Take another node's verdict.

        That a member is dead is not taken from others: the two may have been
        apart. The member is told, so that it refutes, and probed.
        """
        if verdict.node == self._own.node:
            self._refute(verdict)
            if verdict.liveness is not Liveness.alive:
                self._sync.present(sender)
        elif verdict.liveness is Liveness.dead:
            self._doubt(verdict)
        else:
            self._tracker.judge(verdict)

    def _doubt(self, verdict: Verdict) -> None:
        record = self._members.get(verdict.node)
        if record is None or record.liveness is not Liveness.alive:
            return
        if verdict.rank > record.rank and self._endpoint.has_room():
            self._sync.tell(verdict, (record.host, record.gossip_port))
            self._detector.check(record)

    def _refute(self, verdict: Verdict) -> None:
        """Supersede a verdict on this node.

        A verdict on a version that this process never had stems from an
        earlier process whose clock was ahead: then the incarnation grows.
        """
        own = self._own
        if verdict.rank <= own.rank or own.liveness is Liveness.dead:
            return
        if verdict.content == own.verdict.content:
            refutation = verdict.refutation + 1
            self._own = replace(own, refutation=refutation)
        else:
            log.warning("A later start of '{}' is known.", own.node)
            incarnation = verdict.incarnation + 1
            self._own = replace(own, incarnation=incarnation)
        self._tracker.take(self._own)

    def _report_namesake(self, datagram: Datagram) -> None:
        if datagram.incarnation != self._own.incarnation:
            log.error("Another process uses the name '{}'.", self._own.node)
