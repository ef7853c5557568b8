"""Faults of control hosts, alone and together, from a seed."""

from __future__ import annotations

import asyncio
import random

from lycheespar.tests.control.groups import Hosts, until


class Faults:
    """Injects one fault after the other.

    Crashes, restarts and cuts come at any time, also several at once. A
    disk is lost only while a majority of voting disks is left, and right
    after the repair the next host may be lost.
    """

    def __init__(self, hosts: Hosts, seed: int) -> None:
        """Keep the group."""
        self._hosts = hosts
        self._choose = random.Random(seed)
        self.counts: dict[str, int] = {}

    async def inject(self) -> None:
        """Inject faults; for ever."""
        faults = (
            self.crash,
            self.crash_leader,
            self.crash_all,
            self.isolate,
            self.isolate_leader,
            self.cut_one_way,
            self.lose_disk,
        )
        while True:
            fault = self._choose.choice(faults)
            self.counts[fault.__name__] = self.counts.get(fault.__name__, 0) + 1
            await fault()
            await asyncio.sleep(self._choose.uniform(0, 0.3))
            if self._choose.random() < 0.5:
                self._hosts.network.cuts.clear()
            self._restart()

    async def crash(self) -> None:
        """Crash any host."""
        self._choose.choice(self._hosts.all).crash()

    async def crash_leader(self) -> None:
        """Crash the leader."""
        if self._hosts.leader is not None:
            self._hosts.leader.crash()

    async def crash_all(self) -> None:
        """Crash all hosts at once."""
        for host in self._hosts.all:
            host.crash()

    async def isolate(self) -> None:
        """Cut any host off."""
        host = self._choose.choice(self._hosts.all)
        self._hosts.network.isolate(host.name, host.others)

    async def isolate_leader(self) -> None:
        """Cut the leader off."""
        leader = self._hosts.leader
        if leader is not None:
            self._hosts.network.isolate(leader.name, leader.others)

    async def cut_one_way(self) -> None:
        """Cut one direction of a link."""
        host = self._choose.choice(self._hosts.all)
        other = self._choose.choice(host.others)
        self._hosts.network.cuts.add((host.name, other))

    async def lose_disk(self) -> None:
        """Lose a disk while all vote; lose the next one after the repair."""
        self._hosts.network.cuts.clear()
        self._restart()
        for _ in range(self._choose.choice((1, 2))):
            await until(lambda: all(h.admitted for h in self._hosts.all))
            self._choose.choice(self._hosts.all).lose_disk()

    def _restart(self) -> None:
        for host in self._hosts.all:
            if not host.running:
                host.start()
