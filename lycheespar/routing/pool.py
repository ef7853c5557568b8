"""Other nodes as places of execution, with channels opened when first used."""

from __future__ import annotations

import asyncio

from lycheespar.call import Execution, Load
from lycheespar.membership.records import MemberRecord
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.remote import RemoteNode


class ChannelPool:
    """Keeps one channel to each node in use.

    Parameters
    ----------
    hello : Hello
        Who this node is.
    source : str
        IP number of this node from which channels are opened.
    """

    __slots__ = ('_hello', '_nodes', '_source')

    def __init__(self, hello: Hello, source: str) -> None:
        """Start without channels."""
        self._source = source
        self._hello = hello
        self._nodes: dict[str, tuple[int, RemoteNode]] = {}

    async def get(self, record: MemberRecord) -> Execution:
        """Return the execution at a node; it opens its channel when used."""
        return self.remote(record)

    def ask_load(self, record: MemberRecord) -> asyncio.Future[Load] | None:
        """Ask a node for the load of its target, if its channel is open."""
        return self.remote(record).ask_load()

    def remote(self, record: MemberRecord) -> RemoteNode:
        """Return a node, with one channel for all that use it."""
        incarnation, remote = self._nodes.get(record.node, (None, None))
        if remote is not None and incarnation == record.incarnation:
            return remote
        remote = RemoteNode(
            record.host,
            record.inner_port,
            self._hello,
            self._source,
        )
        self._nodes[record.node] = (record.incarnation, remote)
        return remote

    async def close(self) -> None:
        """Close all channels."""
        for _, remote in tuple(self._nodes.values()):
            await remote.close()
        self._nodes.clear()
