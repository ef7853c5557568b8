"""Nodes for tests: real channel servers in front of a fake target."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lycheespar.admission.duplicates import CallTable
from lycheespar.admission.key_records import KeyRecords
from lycheespar.call import Answer, Body, Call, Load
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.remote_node import RemoteNode
from lycheespar.protocol.server import ChannelServer
from lycheespar.quotas.grant import QuotaGrant
from standins.link import Link

LOAD = Load()
CLIENT = Hello('client', 1, 0)


class FakeTarget:
    """Target that counts executions; tests control their start and end."""

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        self.called = asyncio.Event()
        self.may_start = asyncio.Event()
        self.may_end = asyncio.Event()
        self.body: Body = b'whole'
        self.may_start.set()
        self.may_end.set()

    async def execute(self, call: Call) -> Answer:
        """Wait for `may_start`, count the execution, wait for `may_end`."""
        self.called.set()
        await self.may_start.wait()
        call.started = True
        self.executions[call.path] += 1
        await self.may_end.wait()
        return Answer(200, (), self.body, LOAD)


class FakeQuotas:
    """Owner of quotas that gives the same word on each call."""

    def __init__(self) -> None:
        self.grant = QuotaGrant()
        self.returned: list[str] = []

    def take(self, name: str) -> float:
        """Return the word on a call."""
        return self.grant

    def put_back(self, name: str) -> None:
        """Note a call that was given back."""
        self.returned.append(name)


class Node:
    """Node with a channel server, reached through a link that can fail."""

    def __init__(self, incarnation: int = 1) -> None:
        self.target = FakeTarget()
        self.executions = CallTable(self.target)
        hello = Hello('server', incarnation, 0)
        self.quotas = FakeQuotas()
        self.server = ChannelServer(
            self.executions, Load, hello, KeyRecords(), self.quotas
        )

    async def start(self) -> None:
        """Open the ports of the server and the link."""
        await self.server.start('127.0.0.1', 0)
        self.link = Link(*self.server.address)
        await self.link.start()
        self.remote = RemoteNode(*self.link.address, CLIENT, '127.0.0.1')

    async def stop(self) -> None:
        """Close the ports."""
        await self.remote.close()
        await self.link.stop()
        await self.server.stop()


@asynccontextmanager
async def running_node() -> AsyncIterator[Node]:
    """Run a node until the context ends."""
    node = Node()
    await node.start()
    try:
        yield node
    finally:
        await node.stop()


def new_call(
    path: str = '/book',
    deadline_s: float = 20,
    body: Body = b'',
) -> Call:
    """Return a call that is not idempotent."""
    return Call(
        call_id=random.randbytes(16),
        service='vlotwacht/station-records',
        method='POST',
        path=path,
        headers=(),
        body=body,
        request_class='default',
        weight=1,
        idempotent=False,
        deadline=asyncio.get_running_loop().time() + deadline_s,
    )
