"""Connections to other nodes, opened on first use."""

from __future__ import annotations

import asyncio

from lycheespar.call import Execution, Load
from lycheespar.membership.records import MemberRecord
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.remote_node import RemoteNode
from lycheespar.quotas.grant import QuotaGrant


class ChannelPool:
    """Keeps one channel to each node in use.

    Parameters
    ----------
    hello : Hello
        Identity of this node, sent when a channel is opened.
    source : str
        Source address of the channels: an IP number of this node.
    """

    __slots__ = ('_hello', '_nodes', '_source')

    def __init__(self, hello: Hello, source: str) -> None:
        """Create an empty pool."""
        self._source = source
        self._hello = hello
        self._nodes: dict[str, tuple[int, RemoteNode]] = {}

    async def get(self, record: MemberRecord) -> Execution:
        """Return the client that runs calls at a node."""
        return self.remote_node(record)

    def query_load(self, record: MemberRecord) -> asyncio.Future[Load] | None:
        """Query the load of a node's target; None if no channel is open."""
        return self.remote_node(record).query_load()

    async def take_quota(self, record: MemberRecord, team: str) -> QuotaGrant:
        """Take a call from a quota at its owner, as `RemoteNode` says."""
        return await self.remote_node(record).take_quota(team)

    def put_back_quota(self, record: MemberRecord, team: str) -> None:
        """Return a call to a quota at its owner."""
        self.remote_node(record).put_back_quota(team)

    def remote_node(self, record: MemberRecord) -> RemoteNode:
        """Return the shared client of a node.

        A node that restarted gets a new one.
        """
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
