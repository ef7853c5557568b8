"""Tests of nodes whose links are closed while the follower uses them.

Gossip closes the link to a control host that it has declared dead.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

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

Link = ControlLink[ControlRequest, ControlReply]

LIMIT_S = 10


def _free_address() -> Address:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return Address('127.0.0.1', probe.getsockname()[1])


async def _reply_with_one_change(_: ControlRequest) -> ControlReply:
    return PullReply(Stamp(1, 1, 1), (TakeOutDataCentre('a'),), base_revision=0)


class Setup:
    """A follower whose only link leads to a control host that is down."""

    def __init__(self, context: zmq.asyncio.Context) -> None:
        self._context = context
        self.view = ConfigurationView(Configuration())
        self.asked = asyncio.Event()
        self.links: list[Link] = []
        self.add_link(_free_address())
        self._follower = ConfigurationFollower(
            'node-1', self.view, self._list_links
        )
        self._follower.start()

    def add_link(self, address: Address) -> Link:
        """Add a link to a control host."""
        link: Link = ControlLink(self._context, address, ControlReply)
        self.links.append(link)
        return link

    def stop(self) -> None:
        """Stop the follower and close the links."""
        self._follower.stop()
        for link in self.links:
            link.close()

    def _list_links(self) -> list[Link]:
        self.asked.set()
        return self.links


@asynccontextmanager
async def _running_setup() -> AsyncIterator[Setup]:
    context = zmq.asyncio.Context()
    setup = Setup(context)
    server: LinkServer[ControlRequest, ControlReply] = LinkServer(
        context, ControlRequest, _reply_with_one_change
    )
    address = _free_address()
    await server.start(address)
    try:
        yield setup
        setup.links.clear()
        setup.add_link(address)
        async with asyncio.timeout(LIMIT_S):
            while setup.view.current.revision != 1:
                await asyncio.sleep(0.05)
    finally:
        setup.stop()
        server.close()
        context.destroy(linger=0)


async def test_node_follows_again_after_its_link_was_closed_during_a_pull():
    async with _running_setup() as setup:
        (link,) = setup.links
        while not link._pending:
            await asyncio.sleep(0)
        link.close()


async def test_node_follows_again_after_it_pulled_over_a_closed_link():
    async with _running_setup() as setup:
        setup.links[0].close()
        await setup.asked.wait()
        setup.asked.clear()
        async with asyncio.timeout(LIMIT_S):
            await setup.asked.wait()


async def test_a_request_that_waits_on_a_closed_link_gets_an_error():
    context = zmq.asyncio.Context()
    link: Link = ControlLink(context, _free_address(), ControlReply)
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
    link: Link = ControlLink(context, _free_address(), ControlReply)
    request = asyncio.create_task(link.ask(Pull('node-1', 0, 0), LIMIT_S))
    while not link._pending:
        await asyncio.sleep(0)
    request.cancel()
    link.close()
    with pytest.raises(asyncio.CancelledError):
        await request
    context.destroy(linger=0)
