"""Nodes and control hosts in one event loop, with fault injection.

Routers, channels, duplicate checks, records and claims are the real ones.
Targets, links between hosts and membership are small fakes.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path

from lycheespar.admission.duplicates import CallTable
from lycheespar.admission.key_records import KeyRecords
from lycheespar.admission.recorded import RecordedExecution
from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.claims.claims import ClaimStore
from lycheespar.control.claims.claims_quorum import ClaimQuorum
from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.messages import ControlReply, ControlRequest
from lycheespar.errors import OverloadedError, TargetLostError
from lycheespar.membership.records import MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.server import ChannelServer
from lycheespar.rollouts.versions import VersionRouting
from lycheespar.routing.attempts import AttemptRunner
from lycheespar.routing.budget import RetryBudgets
from lycheespar.routing.keyed import KeyedDispatch
from lycheespar.routing.picker import Picker
from lycheespar.routing.pool import ChannelPool
from lycheespar.routing.recall import OutcomeLookup
from lycheespar.routing.router import Router
from lycheespar.tests.protocol.nodes import FakeQuotas
from standins.link import Link

SERVICE = 'vlotwacht/station-records'
HOST = '127.0.0.1'
RETENTION_S = 300


class FaultyTarget:
    """Target that counts executions and fails at the rates of its site."""

    def __init__(self, site: Site) -> None:
        self._site = site

    async def execute(self, call: Call) -> Answer:
        """Run a call, or fail at random."""
        draw = self._site.random.random()
        await asyncio.sleep(self._site.random.uniform(0, 0.01))
        if draw < self._site.refusal_rate:
            raise OverloadedError(retry_after_s=0.01)
        call.started = True
        attempt = dict(call.headers)['attempt']
        self._site.executions[call.path] += 1
        self._site.executions_by_attempt[attempt] += 1
        await asyncio.sleep(
            self._site.random.uniform(0, self._site.max_duration_s)
        )
        if draw > 1 - self._site.target_loss_rate:
            raise TargetLostError
        return Answer(200, (), attempt.encode(), Load())


class ControlHost:
    """A control host whose disk can be lost and whose link can be cut."""

    def __init__(self, site: Site, folder: Path) -> None:
        self._site = site
        self._folder = folder
        self.unreachable = False
        self.start(founder=True)

    def start(self, *, founder: bool) -> None:
        """Start with the claims that are stored in the folder."""
        self.claims = ClaimStore(
            self._folder / 'claims',
            founding=founder,
            is_founder=lambda: founder,
        )

    def lose_disk(self) -> None:
        """Restart without the stored claims."""
        self.claims.close()
        (self._folder / 'claims').unlink()
        self.start(founder=False)

    async def ask(
        self,
        request: ControlRequest,
        timeout_s: float,
    ) -> ControlReply:
        """Reply, unless the link loses the request or the reply."""
        await asyncio.sleep(self._site.random.uniform(0, 0.005))
        if not self._loses_message():
            reply = await self.claims.handle(request)
            await asyncio.sleep(self._site.random.uniform(0, 0.005))
            if not self._loses_message():
                return reply
        await asyncio.sleep(timeout_s)
        raise LinkTimeoutError

    def _loses_message(self) -> bool:
        return (
            self.unreachable
            or self._site.random.random() < self._site.message_loss_rate
        )


class Node:
    """A node that other nodes reach through a link that can fail."""

    def __init__(self, site: Site, name: str) -> None:
        self._site = site
        self.name = name
        self.incarnation = 0
        self.link: Link | None = None

    async def start(self) -> None:
        """Start a new incarnation without any records."""
        self.incarnation += 1
        hello = Hello(self.name, self.incarnation, 0)
        self.records = KeyRecords()
        execution = RecordedExecution(
            FaultyTarget(self._site),
            self.records,
            lambda _: RETENTION_S,
        )
        self._server = ChannelServer(
            CallTable(execution),
            Load,
            hello,
            self.records,
            FakeQuotas(),
        )
        await self._server.start(HOST, 0)
        self.link = Link(*self._server.address)
        await self.link.start()
        self._pool = ChannelPool(hello, HOST)
        self._site.publish(self)
        self.dispatch = self._dispatch(execution).dispatch

    def _dispatch(self, execution: RecordedExecution) -> KeyedDispatch:
        members = self._site.members
        configuration = ConfigurationView(Configuration())
        router = Router(
            AttemptRunner(
                self.name,
                members,
                configuration,
                execution,
                self._pool,
                Picker('ijmuiden', self._site.random),
                Load,
                VersionRouting(
                    members, configuration, self._site.random, enabled=False
                ),
            ),
            configuration,
            RetryBudgets(100, 1),
        )
        return KeyedDispatch(
            router,
            ClaimQuorum(lambda: self._site.control),
            self.records,
            OutcomeLookup(
                self.name,
                self.incarnation,
                members,
                self._pool,
                self.records,
            ),
            lambda _: RETENTION_S,
        )

    async def stop(self) -> None:
        """Stop without draining."""
        await self.link.stop()
        await self._server.stop()
        await self._pool.close()

    async def restart(self) -> None:
        """Stop without draining and start a new incarnation."""
        await self.stop()
        await self.start()

    def break_channels(self) -> None:
        """Close the connections from other nodes to this one."""
        for pair in tuple(self.link._connection_pairs):
            pair.close()


class Site:
    """Three control hosts, and nodes with one target each.

    Attributes
    ----------
    refusal_rate, target_loss_rate, message_loss_rate : float
        Probabilities of a refusal by a target, of the loss of a target during
        a call, and of the loss of a message to or from a control host.
    max_duration_s : float
        Longest duration of a call in seconds.
    executions, executions_by_attempt : Counter[str]
        Executions by path and by attempt.
    """

    def __init__(self, folder: Path, seed: int, nodes: int = 3) -> None:
        self.random = random.Random(seed)
        self.refusal_rate = 0.0
        self.target_loss_rate = 0.0
        self.message_loss_rate = 0.0
        self.max_duration_s = 0.02
        self.executions: Counter[str] = Counter()
        self.executions_by_attempt: Counter[str] = Counter()
        self.members = MembershipView()
        folders = [folder / f'control-{index}' for index in range(3)]
        for made in folders:
            made.mkdir()
        self.control = [ControlHost(self, made) for made in folders]
        self.nodes = [Node(self, f'node-{index}') for index in range(nodes)]

    async def __aenter__(self) -> Site:
        """Start all nodes."""
        for node in self.nodes:
            await node.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            await node.stop()

    def publish(self, node: Node, phase: Phase = Phase.ready) -> None:
        """Publish the member record of a node to all nodes."""
        host, port = node.link.address
        self.members.merge(
            MemberRecord(
                node.name,
                node.incarnation,
                int(phase),
                host,
                port,
                1,
                'ijmuiden',
                SERVICE,
                f'{node.name}-target',
                phase,
                8,
            ),
        )


def new_call(
    path: str,
    attempt: str,
    key: str = '',
    deadline_s: float = 5,
    fingerprint: bytes = b'',
) -> Call:
    """Build a non-idempotent call."""
    return Call(
        call_id=random.randbytes(16),
        service=SERVICE,
        method='POST',
        path=path,
        headers=(('attempt', attempt),),
        body=b'',
        request_class='default',
        weight=1,
        idempotent=False,
        deadline=asyncio.get_running_loop().time() + deadline_s,
        idempotency_key=key,
        fingerprint=fingerprint or path.encode(),
    )
