"""Random faults of control hosts, reproducible by a seed."""

from __future__ import annotations

import asyncio
import random

from lycheespar.tests.control.agreement.groups import Hosts, until


class Faults:
    """Injects random faults one after the other.

    Crashes, restarts and cut links happen at any time and may overlap. A disk
    is lost only while all hosts vote, so that a majority of voting disks
    remains; the next disk may be lost as soon as that one is replaced.
    """

    def __init__(
        self,
        hosts: Hosts,
        seed: int,
        *,
        replacing: bool = False,
        full: set[str] | None = None,
    ) -> None:
        """Prepare the faults of a group.

        `replacing` adds the permanent loss and replacement of hosts. Given
        `full`, faults add names of hosts to it whose disks are to be full.
        """
        self._full = full
        self._hosts = hosts
        self._replacing = replacing
        self._replaced = 0
        self._rng = random.Random(seed)
        self.counts: dict[str, int] = {}

    async def inject(self) -> None:
        """Inject faults until cancelled."""
        faults = (
            self.crash,
            self.crash_leader,
            self.crash_all,
            self.isolate,
            self.isolate_leader,
            self.cut_one_way,
            self.partition,
            self.lose_disk,
            *((self.replace,) if self._replacing else ()),
            *((self.fill_disk,) if self._full is not None else ()),
        )
        while True:
            fault = self._rng.choice(faults)
            self.counts[fault.__name__] = self.counts.get(fault.__name__, 0) + 1
            await fault()
            await asyncio.sleep(self._rng.uniform(0, 0.3))
            if self._rng.random() < 0.5:
                self._heal()
            self._restart()

    async def crash(self) -> None:
        """Crash a random host."""
        self._rng.choice(self._hosts.all).crash()

    async def crash_leader(self) -> None:
        """Crash the leader."""
        if self._hosts.leader is not None:
            self._hosts.leader.crash()

    async def crash_all(self) -> None:
        """Crash all hosts at once."""
        for host in self._hosts.all:
            host.crash()

    async def isolate(self) -> None:
        """Isolate a random host."""
        host = self._rng.choice(self._hosts.all)
        self._hosts.network.isolate(host.name, self._hosts.others(host))

    async def isolate_leader(self) -> None:
        """Isolate the leader."""
        leader = self._hosts.leader
        if leader is not None:
            self._hosts.network.isolate(
                leader.name,
                self._hosts.others(leader),
            )

    async def cut_one_way(self) -> None:
        """Cut one direction of a random link."""
        host = self._rng.choice(self._hosts.all)
        other = self._rng.choice(self._hosts.others(host))
        self._hosts.network.cuts.add((host.name, other))

    async def partition(self) -> None:
        """Partition the hosts into two sides that can't reach each other."""
        names = [host.name for host in self._hosts.all]
        side = set(self._rng.sample(names, len(names) // 2))
        self._hosts.network.cuts |= {
            (one, other)
            for one in names
            for other in names
            if (one in side) != (other in side)
        }

    async def lose_disk(self) -> None:
        """Lose a disk while all hosts vote; maybe another after the repair."""
        self._heal()
        self._restart()
        for _ in range(self._rng.choice((1, 2))):
            await until(self._is_repaired)
            self._rng.choice(self._hosts.all).lose_disk()

    async def replace(self) -> None:
        """Replace a host permanently by an empty one, while all hosts vote.

        Further faults are injected while the new host joins.
        """
        self._heal()
        self._restart()
        await until(self._is_repaired)
        lost = self._rng.choice(self._hosts.all)
        lost.crash()
        self._hosts.all.remove(lost)
        self._replaced += 1
        seeds = [host.name for host in self._hosts.all]
        self._hosts.add(f'new-{self._replaced}', seeds)

    async def fill_disk(self) -> None:
        """Fill the disk of a random host until faults are healed."""
        if self._full is not None:
            self._full.add(self._rng.choice(self._hosts.all).name)

    def _heal(self) -> None:
        self._hosts.network.cuts.clear()
        if self._full is not None:
            self._full.clear()

    def _is_repaired(self) -> bool:
        """Whether all hosts know that exactly these hosts vote.

        Otherwise an earlier loss is still being repaired. If only the leader
        knows that a voter was replaced, losing the leader's disk would be a
        second loss at the same time.
        """
        names = {host.name for host in self._hosts.all}
        return all(
            host.is_voter
            and host.group is not None
            and set(host.group.state.voters) == names
            for host in self._hosts.all
        )

    def _restart(self) -> None:
        for host in self._hosts.all:
            if not host.running:
                host.start()
