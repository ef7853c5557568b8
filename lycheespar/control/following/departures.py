"""Stores departures of a node's targets at the control hosts."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable, Sequence
from typing import Final, TypeVar

from loguru import logger

from lycheespar.control.following.configuration_follower import NodeLink
from lycheespar.control.link import LinkError
from lycheespar.control.messages import (
    AskDepartures,
    ControlReply,
    ControlRequest,
    DepartureRecorded,
    DeparturesReply,
    Failure,
    RecordDeparture,
)
from lycheespar.targets.departures import Departure

# Time in seconds in which a departure is recorded. Targets wait a second for
# the acknowledgement.
RECORD_TIMEOUT_S: Final = 0.8
# Time in seconds for the reply of one control host, which may be frozen: to
# record a departure, and to load those of earlier processes.
RECORD_REPLY_TIMEOUT_S: Final = 0.35
LOAD_REPLY_TIMEOUT_S: Final = 1
# Bounds of the backoff in seconds before the next control host is asked. All
# nodes may start at once.
MIN_PAUSE_S: Final = 0.05
MAX_PAUSE_S: Final = 0.5

Reply = TypeVar('Reply', bound=ControlReply)

log = logger.bind(part='control')


class ControlDepartures:
    """Stores departures in the replicated state of the control hosts.

    Parameters
    ----------
    node : str
        Identity of this node.
    links : Callable[[], Sequence[NodeLink]]
        Returns links to the currently known control hosts.
    """

    __slots__ = ('_links', '_node', '_position', '_random')

    def __init__(
        self, node: str, links: Callable[[], Sequence[NodeLink]]
    ) -> None:
        """Create a client that has not asked any control host yet."""
        self._node = node
        self._links = links
        self._random = random.Random(node)
        self._position = zlib.crc32(node.encode())

    async def record(self, departure: Departure) -> bool:
        """Store a departure; return whether a quorum has confirmed it."""
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await self._ask_until(
                    RecordDeparture(self._node, departure),
                    DepartureRecorded,
                    RECORD_REPLY_TIMEOUT_S,
                )
        except TimeoutError:
            log.warning(
                "The departure of target '{}' is not recorded: no control "
                'host confirmed it in time.',
                departure.target,
            )
            return False
        return True

    async def load(self) -> tuple[Departure, ...]:
        """Return the departures of this node's targets.

        Waits until a quorum of the control hosts has confirmed them.
        """
        reply = await self._ask_until(
            AskDepartures(self._node), DeparturesReply, LOAD_REPLY_TIMEOUT_S
        )
        return reply.departures

    async def _ask_until(
        self,
        request: ControlRequest,
        reply_type: type[Reply],
        reply_timeout_s: float,
    ) -> Reply:
        """Ask one control host after the other until one replies so."""
        pause_s = MIN_PAUSE_S
        while True:
            connected = [link for link in self._links() if link.connected]
            if connected:
                link = connected[self._position % len(connected)]
                reply = await _ask(link, request, reply_timeout_s)
                if isinstance(reply, reply_type):
                    return reply
                self._position += 1
            await asyncio.sleep(pause_s * self._random.uniform(0.5, 1))
            pause_s = min(2 * pause_s, MAX_PAUSE_S)


async def _ask(
    link: NodeLink, request: ControlRequest, timeout_s: float
) -> ControlReply:
    """Return the reply of a control host; a failure if there is none."""
    try:
        return await link.ask(request, timeout_s)
    except LinkError as error:
        return Failure(error.code, error.detail)
