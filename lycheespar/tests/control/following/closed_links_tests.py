"""Tests of nodes whose links are closed while the follower uses them.

Gossip closes the link to a control host that it has declared dead.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
import zmq.asyncio

from lycheespar.configuration.changes import TakeOutDataCentre
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import Stamp
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.following.configuration_follower import (
    ConfigurationFollower,
)
from lycheespar.control.link import ControlLink, LinkClosedError, LinkServer
from lycheespar.control.messages import (
    ControlReply,
    ControlRequest,
    Pull,
    PullReply,
)
from lycheespar.settings.options import Address
from standins.cluster import OWN_HOST, free_port

Link = ControlLink[ControlRequest, ControlReply]

LIMIT_S = 10


async def _reply_with_one_change(_: ControlRequest) -> ControlReply:
    return PullReply(Stamp(1, 1, 1), (TakeOutDataCentre('a'),), base_revision=0)


async def _never_reply(_: ControlRequest) -> ControlReply:
    await asyncio.get_running_loop().create_future()
    raise AssertionError


class Setup:
    """A follower with a link to a control host that never replies."""

    def __init__(self) -> None:
        self._context = zmq.asyncio.Context()
        self._servers: list[LinkServer[ControlRequest, ControlReply]] = []
        self.view = ConfigurationView(Configuration())
        self.asked = asyncio.Event()
        self.links: list[Link] = []
        self._follower = ConfigurationFollower(
            'node-1', self.view, self._list_links
        )

    async def add_host(
        self,
        reply: Callable[[ControlRequest], Awaitable[ControlReply]],
    ) -> Link:
        """Start a control host and return the link to it."""
        server: LinkServer[ControlRequest, ControlReply] = LinkServer(
            self._context, ControlRequest, reply
        )
        address = Address(OWN_HOST, free_port(OWN_HOST))
        await server.start(address)
        self._servers.append(server)
        link: Link = ControlLink(self._context, address, ControlReply)
        self.links.append(link)
        return link

    async def start(self) -> Link:
        """Start to follow; return the link to the host that never replies."""
        link = await self.add_host(_never_reply)
        self._follower.start()
        return link

    async def wait_for_change(self) -> None:
        """Replace the link by one to a host with a change, and wait for it."""
        self.links.clear()
        await self.add_host(_reply_with_one_change)
        async with asyncio.timeout(LIMIT_S):
            while self.view.current.revision != 1:
                await asyncio.sleep(0.05)

    def stop(self) -> None:
        """Stop the follower and close all sockets."""
        self._follower.stop()
        for closable in (*self.links, *self._servers):
            closable.close()
        self._context.destroy(linger=0)

    def _list_links(self) -> list[Link]:
        self.asked.set()
        return self.links


@pytest.fixture
async def setup() -> AsyncIterator[Setup]:
    """A follower that the test starts."""
    created = Setup()
    yield created
    created.stop()


async def test_node_follows_again_after_its_link_was_closed_during_a_pull(
    setup,
):
    link = await setup.start()
    async with asyncio.timeout(LIMIT_S):
        while not link._pending:
            await asyncio.sleep(0.01)
    link.close()
    await setup.wait_for_change()


async def test_node_follows_again_after_it_pulled_over_a_closed_link(setup):
    link = await setup.start()
    link.close()
    async with asyncio.timeout(LIMIT_S):
        await setup.asked.wait()
        setup.asked.clear()
        await setup.asked.wait()
    await setup.wait_for_change()


async def test_a_request_that_waits_on_a_closed_link_gets_an_error():
    context = zmq.asyncio.Context()
    link: Link = ControlLink(
        context, Address(OWN_HOST, free_port(OWN_HOST)), ControlReply
    )
    request = asyncio.create_task(link.ask(Pull('node-1', 0, 0), LIMIT_S))
    while not link._pending:
        await asyncio.sleep(0)
    link.close()
    with pytest.raises(LinkClosedError):
        await request
    with pytest.raises(LinkClosedError):
        await link.ask(Pull('node-1', 0, 0), LIMIT_S)
    context.destroy(linger=0)


async def test_a_request_that_its_caller_cancels_stays_cancelled():
    context = zmq.asyncio.Context()
    link: Link = ControlLink(
        context, Address(OWN_HOST, free_port(OWN_HOST)), ControlReply
    )
    request = asyncio.create_task(link.ask(Pull('node-1', 0, 0), LIMIT_S))
    while not link._pending:
        await asyncio.sleep(0)
    request.cancel()
    link.close()
    with pytest.raises(asyncio.CancelledError):
        await request
    context.destroy(linger=0)
