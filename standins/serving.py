"""Servers of streams for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]
]


async def serve_streams(
    handler: Handler, host: str = '127.0.0.1', port: int = 0
) -> asyncio.Server:
    """Listen on an address and handle each connection in a task.

    `asyncio.start_server` would create the task too. Some versions, such as
    that of Python 3.11.7, report its cancellation as an unhandled error.

    Parameters
    ----------
    handler : Handler
        Serves one connection.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 takes any free port.
    """
    tasks: set[asyncio.Task[None]] = set()

    def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(handler(reader, writer))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    return await asyncio.start_server(accept, host, port)
