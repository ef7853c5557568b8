"""Soak of a node that follows control hosts which come and go.

Real links and the real directory; control hosts are killed, freeze, are
declared dead by gossip and start again, in series and at once, while changes
are made.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest
import zmq.asyncio

from lycheespar.configuration.changes import TakeOutDataCentre
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import Stamp
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.following.configuration_follower import (
    ConfigurationFollower,
)
from lycheespar.control.following.directory import ControlDirectory
from lycheespar.control.link import LinkServer
from lycheespar.control.messages import (
    ControlReply,
    ControlRequest,
    Pull,
    PullReply,
)
from lycheespar.membership.records import Liveness, MemberRecord
from lycheespar.membership.view import MembershipView
from lycheespar.settings.options import Address
from standins.cluster import OWN_HOST, free_port

HOSTS = 5
# Control hosts that the settings of the node name.
SEEDS = 2
STEPS = 8
# Time in seconds after which the newest change is in force, from the moment at
# which all control hosts are back.
LIMIT_S = 5
POLL_S = 0.01


class Fleet:
    """Control hosts that share their changes, and a node that follows."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.context = zmq.asyncio.Context()
        self.changes: list[TakeOutDataCentre] = []
        self.hosts = [
            Host(self, Address(OWN_HOST, free_port(OWN_HOST)))
            for _ in range(HOSTS)
        ]
        self.members = MembershipView()
        self.view = ConfigurationView(Configuration())
        self._directory = ControlDirectory(
            self.context,
            [host.address for host in self.hosts[:SEEDS]],
            self.members,
        )
        self._follower = ConfigurationFollower(
            f'node-{seed}', self.view, lambda: self._directory.links
        )

    async def start(self) -> None:
        """Start all control hosts and the node."""
        for host in self.hosts:
            await host.start()
        self._follower.start()

    def stop(self) -> None:
        """Stop the node and all control hosts."""
        self._follower.stop()
        self._directory.close()
        for host in self.hosts:
            host.kill()
        self.context.destroy(linger=0)

    async def change(self, count: int) -> None:
        """Accept some changes one soon after the other."""
        for _ in range(count):
            self.changes.append(TakeOutDataCentre(f'd-{len(self.changes)}'))
            await asyncio.sleep(self.random.uniform(0.01, 0.05))

    async def disturb(self) -> None:
        """Let some control hosts fail or start again."""
        for host in self.random.sample(
            self.hosts, self.random.randint(1, HOSTS)
        ):
            actions: list[Callable[[], None]] = [
                host.kill,
                host.freeze,
                host.declare_dead,
            ]
            self.random.choice(actions)()
            await asyncio.sleep(self.random.uniform(0, 0.3))
        await asyncio.sleep(self.random.uniform(0, 1.5))
        for host in self.hosts:
            if self.random.random() < 0.5:
                await host.start()


class Host:
    """A control host."""

    def __init__(self, fleet: Fleet, address: Address) -> None:
        self.address = address
        self._fleet = fleet
        self._incarnation = 0
        self._frozen = False
        self._server: LinkServer[ControlRequest, ControlReply] | None = None

    async def start(self) -> None:
        """Start, or go on after a freeze; gossip learns of it."""
        self._frozen = False
        while self._server is None:
            self._server = await self._try_to_listen()
        self._incarnation += 1
        self._spread(Liveness.alive)

    def kill(self) -> None:
        """Close all connections without a word."""
        if self._server is not None:
            self._server.close()
        self._server = None

    def freeze(self) -> None:
        """Go on to accept requests, but answer none."""
        self._frozen = True

    def declare_dead(self) -> None:
        """Let gossip declare this host dead, whether it is or not."""
        self._spread(Liveness.dead)

    async def _try_to_listen(
        self,
    ) -> LinkServer[ControlRequest, ControlReply] | None:
        """Open the port; ZeroMQ may still be closing the former socket."""
        server: LinkServer[ControlRequest, ControlReply] = LinkServer(
            self._fleet.context, ControlRequest, self._reply
        )
        try:
            await server.start(self.address)
        except zmq.ZMQError:
            server.close()
            await asyncio.sleep(POLL_S)
            return None
        return server

    def _spread(self, liveness: Liveness) -> None:
        host, port = self.address.host, self.address.port
        self._fleet.members.merge(
            MemberRecord(
                str(self.address),
                self._incarnation,
                0,
                host,
                0,
                port,
                'd',
                liveness=liveness,
                control_port=port,
            )
        )

    async def _reply(self, request: ControlRequest) -> ControlReply:
        assert isinstance(request, Pull)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + request.wait_s
        changes = self._fleet.changes
        while self._frozen or (
            len(changes) <= request.revision and loop.time() < ends_at
        ):
            await asyncio.sleep(POLL_S)
        return PullReply(
            Stamp(1, len(changes), int(loop.time() * 1000), 0),
            tuple(changes[request.revision :]),
            base_revision=request.revision,
        )


async def _run(seed: int) -> None:
    fleet = Fleet(seed)
    await fleet.start()
    try:
        for _ in range(STEPS):
            await asyncio.gather(
                fleet.disturb(), fleet.change(fleet.random.randint(1, 20))
            )
        for host in fleet.hosts:
            await host.start()
        await fleet.change(1)
        async with asyncio.timeout(LIMIT_S):
            while fleet.view.current.revision < len(fleet.changes):
                await asyncio.sleep(POLL_S)
    finally:
        fleet.stop()


@pytest.mark.parametrize('seed', range(4))
async def test_node_follows_again_after_control_hosts_came_and_went(seed):
    await _run(seed)


@pytest.mark.soak
@pytest.mark.parametrize('seed', range(100, 160))
async def test_node_follows_again_in_a_long_soak(seed):
    await _run(seed)
