"""Serving side of the inner protocol: runs calls that other nodes send."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from lycheespar.admission.duplicates import DuplicateCheck
from lycheespar.admission.key_records import KeyRecords
from lycheespar.call import Load
from lycheespar.errors import ProtocolError
from lycheespar.protocol.messages import (
    Hello,
)
from lycheespar.protocol.peer import ChannelPeer

# Time in seconds between two checks for channels whose opener is gone.
SWEEP_S: Final = 10
# Time in seconds without a message after which a channel is closed; openers
# send heartbeats more often.
SILENT_S: Final = 30


class ChannelServer:
    """Accepts channels of other nodes.

    Parameters
    ----------
    executions : DuplicateCheck
        Runs each call once at the local target.
    load : Callable[[], Load]
        Gives the load of the local target, sent with each refusal.
    hello : Hello
        Who this node is.
    records : KeyRecords
        Outcomes of idempotency keys.
    """

    __slots__ = (
        '_executions',
        '_hello',
        '_load',
        '_peers',
        '_records',
        '_server',
        '_sweeper',
    )

    def __init__(
        self,
        executions: DuplicateCheck,
        load: Callable[[], Load],
        hello: Hello,
        records: KeyRecords,
    ) -> None:
        """Keep the parts; `start` opens the port."""
        self._records = records
        self._executions = executions
        self._load = load
        self._hello = hello
        self._peers: set[ChannelPeer] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Address on which the server listens.

        Raises
        ------
        ProtocolError
            The server has not started.
        """
        if self._server is None:
            raise ProtocolError('not started')
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self._sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Close the port and all channels, once their bytes are sent.

        What is still under way is ended.
        """
        if self._server is not None:
            self._server.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        peers = tuple(self._peers)
        for peer in peers:
            peer.close()
        await asyncio.gather(*(closed.wait_closed() for closed in peers))
        await self._executions.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        peer = ChannelPeer(
            writer,
            self._executions,
            self._load,
            self._records,
        )
        self._peers.add(peer)
        try:
            await peer.run(reader, self._hello)
        finally:
            self._peers.discard(peer)

    async def _sweep(self) -> None:
        """Close the channels whose openers have gone silent."""
        while True:
            await asyncio.sleep(SWEEP_S)
            heard_after = asyncio.get_running_loop().time() - SILENT_S
            for peer in tuple(self._peers):
                if peer.heard_at < heard_after:
                    peer.abort()
