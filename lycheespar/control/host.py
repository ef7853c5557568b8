"""A control host: answers the pulls of nodes."""

from __future__ import annotations

import time
from pathlib import Path

import zmq.asyncio

from lycheespar.config.options import Address
from lycheespar.configuration.stamp import MS_PER_S
from lycheespar.control.link import LinkServer
from lycheespar.control.messages import (
    ControlReply,
    ControlRequest,
    Pull,
    PullReply,
)
from lycheespar.control.progress import Progress
from lycheespar.control.store import ConfigurationStore


class ControlHost:
    """Serves the replicated configuration to nodes.

    Parameters
    ----------
    folder : Path
        Data folder.
    context : zmq.asyncio.Context
        Context of the process.
    """

    def __init__(self, folder: Path, context: zmq.asyncio.Context) -> None:
        """Open the data folder."""
        self.store = ConfigurationStore(folder)
        self.progress = Progress()
        self._server: LinkServer[ControlRequest, ControlReply] = LinkServer(
            context,
            ControlRequest,
            self._handle,
        )

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        await self._server.start(address)

    def stop(self) -> None:
        """Close the port."""
        self._server.close()

    async def _handle(self, request: ControlRequest) -> ControlReply:
        match request:
            case Pull(node, revision, wait_s):
                self.progress.note(node, revision)
                began_at = time.monotonic()
                await self.store.wait_beyond(revision, wait_s)
                held_ms = (time.monotonic() - began_at) * MS_PER_S
                return PullReply(
                    self.store.stamp,
                    self.store.changes_since(revision),
                    held_ms=held_ms,
                    base_revision=revision,
                )
