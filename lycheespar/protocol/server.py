"""Serving side of the protocol between nodes: accepts their channels."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from lycheespar.admission.duplicates import CallTable
from lycheespar.admission.key_records import KeyRecords
from lycheespar.background import start_background
from lycheespar.call import Load
from lycheespar.errors import ProtocolError
from lycheespar.protocol.channel_limits import ChannelLimits
from lycheespar.protocol.incoming_channel import IncomingChannel
from lycheespar.protocol.messages import (
    Hello,
)
from lycheespar.protocol.quota_grants import QuotaGrants

# Time in seconds between two checks for channels that have gone silent.
SWEEP_INTERVAL_S: Final = 10
# Time in seconds without a message after which a channel is closed. The node
# that opened the channel sends heartbeats more often than this.
SILENCE_TIMEOUT_S: Final = 30
# Bytes that the buffer of a channel holds before reading pauses, at most twice
# as many.
READ_BUFFER_BYTES: Final = 16 * 1024


class ChannelServer:
    """Accepts channels from other nodes and runs their calls.

    Parameters
    ----------
    executions : CallTable
        Starts each call at most once at the local target.
    load : Callable[[], Load]
        Returns the load of the local target, which is sent with each error.
    hello : Hello
        First message of this node on each channel.
    records : KeyRecords
        Outcomes of idempotency keys.
    quotas : QuotaGrants
        Quotas that this node owns.
    """

    __slots__ = (
        '_channels',
        '_executions',
        '_hello',
        '_limits',
        '_load',
        '_quotas',
        '_records',
        '_server',
        '_sweep_task',
        '_tasks',
    )

    def __init__(
        self,
        executions: CallTable,
        load: Callable[[], Load],
        hello: Hello,
        records: KeyRecords,
        quotas: QuotaGrants,
    ) -> None:
        """Create a stopped server; `start` opens the port."""
        self._quotas = quotas
        self._records = records
        self._executions = executions
        self._load = load
        self._hello = hello
        self._limits = ChannelLimits()
        self._channels: set[IncomingChannel] = set()
        self._server: asyncio.Server | None = None
        self._sweep_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port on which the server listens.

        Raises
        ------
        ProtocolError
            The server has not started.
        """
        if self._server is None:
            raise ProtocolError('channel server is not started')
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def start(self, host: str, port: int) -> None:
        """Listen on an address and start the check for silent channels."""
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=READ_BUFFER_BYTES
        )
        self._sweep_task = start_background(
            'silent channels', self._close_silent
        )

    async def stop(self, until: float = float('inf')) -> None:
        """Close the port, then all channels once their bytes have arrived.

        Calls that still run are cancelled.

        Parameters
        ----------
        until : float
            Time in seconds on the event loop's clock at which channels are
            closed at the latest.
        """
        if self._server is not None:
            self._server.close()
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        channels = tuple(self._channels)
        for channel in channels:
            channel.finish()
        await self._executions.close()
        await asyncio.gather(
            *(closing.wait_closed(until) for closing in channels)
        )

    def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a channel in a task of this server.

        For a coroutine, asyncio would create the task. Some versions, such as
        that of Python 3.11.7, report its cancellation as an unhandled error.
        """
        task = asyncio.create_task(self._serve_channel(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_channel(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        channel = IncomingChannel(
            writer,
            self._executions,
            self._load,
            self._records,
            self._quotas,
            self._limits,
        )
        self._channels.add(channel)
        self._limits.add(channel)
        try:
            await channel.run(reader, self._hello)
        finally:
            self._channels.discard(channel)
            self._limits.remove(channel)

    async def _close_silent(self) -> None:
        """Close the channels that have gone silent."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            cutoff = asyncio.get_running_loop().time() - SILENCE_TIMEOUT_S
            for channel in tuple(self._channels):
                if channel.last_message_at < cutoff:
                    channel.abort()
