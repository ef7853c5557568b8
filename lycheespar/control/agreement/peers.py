"""Links from one control host to the others."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable, Mapping
from typing import Protocol

import msgspec
import zmq.asyncio

from lycheespar.control.agreement.peer_messages import PeerReply, PeerRequest
from lycheespar.control.link import ControlLink, LinkError
from lycheespar.settings.options import Address, parse_address


class Timing(msgspec.Struct, frozen=True):
    """Time-outs and intervals of a group, in seconds.

    Attributes
    ----------
    heartbeat_s : float
        Interval between two heartbeats of the leader.
    election_timeout_s : float
        Shortest time without a leader before an election, and longest time
        for which a leader keeps leading without a quorum.
    replace_after_s : float
        Silence after which a voter is replaced by a host that has joined;
        infinite if the settings name all hosts.
    least_voters : int
        With this number of voters or fewer, a silent voter keeps its vote
        until another host has joined.
    """

    heartbeat_s: float
    election_timeout_s: float
    replace_after_s: float = float('inf')
    least_voters: int = 3

    @property
    def reply_timeout_s(self) -> float:
        """Time-out of a reply of another control host."""
        return self.heartbeat_s * 2


class Peers(Protocol):
    """Sends requests to other control hosts."""

    async def ask(
        self,
        host: str,
        request: PeerRequest,
        timeout_s: float | None,
    ) -> PeerReply:
        """Send a request and wait for its reply; for ever without a time-out.

        Raises
        ------
        LinkError
            No reply came in time; the request may still be executed.
        """


class PeerLinks:
    """ZeroMQ links to the other control hosts.

    Parameters
    ----------
    context : zmq.asyncio.Context
        ZeroMQ context of the process.
    addresses : Mapping[str, Address]
        Addresses of the control hosts in the settings by name.
    """

    __slots__ = ('_context', '_links')

    def __init__(
        self,
        context: zmq.asyncio.Context,
        addresses: Mapping[str, Address],
    ) -> None:
        """Start connecting to the given hosts in the background."""
        self._context = context
        self._links: dict[str, ControlLink[PeerRequest, PeerReply]] = {
            host: ControlLink(context, address, PeerReply)
            for host, address in addresses.items()
        }

    async def ask(
        self,
        host: str,
        request: PeerRequest,
        timeout_s: float | None,
    ) -> PeerReply:
        """Send a request and wait for its reply.

        The name of a host that is not in the settings is its address.
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
    """Send a request to several hosts; yield the replies as they arrive.

    Hosts that don't reply in time are skipped. Closing the iterator cancels
    the pending requests.
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
    except LinkError:
        return None
