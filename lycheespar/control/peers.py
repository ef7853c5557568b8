"""Links from one control host to the others."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable, Mapping
from typing import Protocol

import msgspec
import zmq.asyncio

from lycheespar.config.options import Address, parse_address
from lycheespar.control.link import ControlLink, LinkTimeoutError
from lycheespar.control.peer_messages import PeerReply, PeerRequest


class Timing(msgspec.Struct, frozen=True):
    """Times of a group, in seconds.

    Attributes
    ----------
    heartbeat_s : float
        Time between two messages of the leader.
    election_timeout_s : float
        Least time without a leader before an election, and the longest for
        which a leader stays one without a quorum.
    replace_after_s : float
        Silence after which a voter gives its place to a host that has
        joined; infinite where the settings name all hosts.
    least_voters : int
        Voters below which a silent one keeps its vote until another has
        joined.
    """

    heartbeat_s: float
    election_timeout_s: float
    replace_after_s: float = float('inf')
    least_voters: int = 3

    @property
    def reply_s(self) -> float:
        """Longest time to wait for the reply of a peer."""
        return self.heartbeat_s * 2


class Peers(Protocol):
    """Asks other control hosts."""

    async def ask(
        self,
        host: str,
        request: PeerRequest,
        timeout_s: float,
    ) -> PeerReply:
        """Send a request and wait for its reply.

        Raises
        ------
        LinkTimeoutError
            No reply came in time; the request may still arrive.
        """


class PeerLinks:
    """ZeroMQ links to the other control hosts.

    Parameters
    ----------
    context : zmq.asyncio.Context
        Context of the process.
    addresses : Mapping[str, Address]
        Addresses of the other control hosts by name.
    """

    __slots__ = ('_context', '_links')

    def __init__(
        self,
        context: zmq.asyncio.Context,
        addresses: Mapping[str, Address],
    ) -> None:
        """Connect in the background."""
        self._context = context
        self._links: dict[str, ControlLink[PeerRequest, PeerReply]] = {
            host: ControlLink(context, address, PeerReply)
            for host, address in addresses.items()
        }

    async def ask(
        self,
        host: str,
        request: PeerRequest,
        timeout_s: float,
    ) -> PeerReply:
        """Send a request and wait for its reply.

        A host that the settings do not name has its address for a name.
        """
        link = self._links.get(host)
        if link is None:
            link = ControlLink(self._context, parse_address(host), PeerReply)
            self._links[host] = link
        return await link.ask(request, timeout_s)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()


async def ask_all(
    peers: Peers,
    hosts: Iterable[str],
    request: PeerRequest,
    timeout_s: float,
) -> AsyncIterator[tuple[str, PeerReply]]:
    """Ask several hosts at once; yield the replies as they come.

    Hosts that don't reply in time are left out. The asking ends when the
    iterator is closed.
    """
    tasks = [
        asyncio.create_task(_ask_one(peers, host, request, timeout_s))
        for host in hosts
    ]
    try:
        for next_reply in asyncio.as_completed(tasks):
            replied = await next_reply
            if replied is not None:
                yield replied
    finally:
        for task in tasks:
            task.cancel()


async def _ask_one(
    peers: Peers,
    host: str,
    request: PeerRequest,
    timeout_s: float,
) -> tuple[str, PeerReply] | None:
    try:
        return host, await peers.ask(host, request, timeout_s)
    except LinkTimeoutError:
        return None
