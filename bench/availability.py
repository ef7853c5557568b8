"""Compares fixed majorities with optimistic dynamic voting by simulation.

Run this module as ``python -m bench.availability``. Hosts fail, restart, lose
their disks and are isolated from the network, and the two regions are
separated, at fixed mean rates and with a fixed random seed. After each event,
the connected parts of the group try an access, as the leader's rounds do once a
second. The access of the first part with a quorum succeeds; its members then
have the newest version.
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from bench.quorum_policies import POLICIES, Host, Policy

HOURS_PER_YEAR: Final = 24 * 365.0
MINUTES_PER_HOUR: Final = 60
REGIONS: Final = 2


class Rate(msgspec.Struct, frozen=True):
    """How often a kind of fault occurs and how long it lasts.

    Attributes
    ----------
    per_year : float
        Mean number of faults per year.
    hours : float
        Mean duration in hours.
    """

    per_year: float
    hours: float


# Faults of each host.
RESTART: Final = Rate(102, 0.5 / 60)
FAILURE: Final = Rate(1, 4)
DATA_CENTRE: Final = Rate(0.25, 2)
ISOLATION: Final = Rate(0.5, 6)
# Faults of the group: the network between the regions fails.
REGION_SPLIT: Final = Rate(4, 5 / 60)
# Share of the host failures after which the disk is empty.
DISK_LOSS_SHARE: Final = 0.5
# Mean time from the repair of a lost disk to the loss of a second host, if
# there is one.
SECOND_LOSS_AFTER_HOURS: Final = 0.1
# Time until operators have rebuilt a group that can never have a quorum again.
REBUILD_HOURS: Final = 4


class Result(msgspec.Struct):
    """Results of one simulation.

    Attributes
    ----------
    down_hours : float
        Hours during which no part of the group had a quorum.
    one_copy_hours : float
        Hours during which only one disk had the newest accepted change.
    losses : int
        Number of times that all copies of an accepted change were lost.
    rebuilt : int
        Number of times that not even all hosts together had a quorum, so that
        operators had to rebuild the group.
    """

    down_hours: float = 0
    one_copy_hours: float = 0
    losses: int = 0
    rebuilt: int = 0


class Simulation:
    """Simulates the faults of one control group.

    Parameters
    ----------
    size : int
        Number of control hosts; odd names are in the second region.
    policy : Policy
        Decides whether a part of the group has a quorum.
    second_share : float
        Share of the disk repairs after which a second host is lost.
    seed : int
        Seed of the random faults.
    """

    def __init__(
        self,
        size: int,
        policy: Policy,
        second_share: float,
        seed: int,
    ) -> None:
        """Create a healthy group and schedule the first faults."""
        self._hosts = [Host(name) for name in range(size)]
        self._policy = policy
        self._second_share = second_share
        self._random = random.Random(seed)
        self._region_splits = 0
        self._version = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self._now = 0.0
        self._down_until = 0.0
        self.result = Result()
        everyone = frozenset(range(size))
        for host in self._hosts:
            host.partition = everyone
            for rate, fault in (
                (RESTART, self._take_down),
                (FAILURE, self._fail),
                (DATA_CENTRE, self._take_down),
                (ISOLATION, self._isolate),
            ):
                self._schedule_faults(rate, fault, host)
        self._schedule_faults(
            REGION_SPLIT, self._separate_regions, self._hosts[0]
        )

    def run(self, years: float) -> Result:
        """Simulate the given number of years."""
        end = years * HOURS_PER_YEAR
        while self._now < end:
            available = self._try_access()
            at, _, event = heapq.heappop(self._events)
            if not available or self._now < self._down_until:
                self.result.down_hours += at - self._now
            if self._count_newest_copies() == 1:
                self.result.one_copy_hours += at - self._now
            self._now = at
            event()
        return self.result

    def _count_newest_copies(self) -> int:
        return sum(host.version == self._version for host in self._hosts)

    def _try_access(self) -> bool:
        """Let each part try an access; return whether one had a quorum."""
        for part in self._connected_parts():
            if self._policy(part, len(self._hosts)):
                self._version += 1
                self._record_access(part)
                return True
        return False

    def _record_access(self, part: list[Host]) -> None:
        names = frozenset(host.name for host in part)
        transaction = 1 + max(host.transaction for host in part)
        for host in part:
            host.version = self._version
            host.transaction = transaction
            host.partition = names
            host.voter = True

    def _connected_parts(self) -> Iterable[list[Host]]:
        """Yield the groups of running hosts that can reach each other."""
        up = [host for host in self._hosts if not host.faults]
        yield from ([host] for host in up if host.isolations)
        joined = [host for host in up if not host.isolations]
        if self._region_splits:
            for region in range(REGIONS):
                yield [h for h in joined if h.name % REGIONS == region]
        else:
            yield joined

    def _schedule_faults(
        self,
        rate: Rate,
        fault: Callable[[Host, float], None],
        host: Host,
    ) -> None:
        """Schedule the next fault of one kind; it schedules its successor."""

        def event() -> None:
            fault(host, self._random.expovariate(1 / rate.hours))
            self._schedule_faults(rate, fault, host)

        wait = self._random.expovariate(rate.per_year / HOURS_PER_YEAR)
        self._schedule(wait, event)

    def _schedule(self, wait: float, event: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._events, (self._now + wait, self._serial, event))

    def _take_down(self, host: Host, hours: float) -> None:
        host.faults += 1

        def recover() -> None:
            host.faults -= 1

        self._schedule(hours, recover)

    def _fail(self, host: Host, hours: float) -> None:
        if self._random.random() < DISK_LOSS_SHARE:
            self._lose_disk(host)
            self._schedule(hours, self._maybe_lose_second_host)
        self._take_down(host, hours)

    def _maybe_lose_second_host(self) -> None:
        """Decide at random whether a second host and its disk are lost."""
        if self._random.random() >= self._second_share:
            return
        host = self._random.choice(self._hosts)

        def lose_host() -> None:
            self._lose_disk(host)
            self._take_down(host, self._random.expovariate(1 / FAILURE.hours))

        wait = self._random.expovariate(1 / SECOND_LOSS_AFTER_HOURS)
        self._schedule(wait, lose_host)

    def _isolate(self, host: Host, hours: float) -> None:
        host.isolations += 1

        def heal() -> None:
            host.isolations -= 1

        self._schedule(hours, heal)

    def _separate_regions(self, _: Host, hours: float) -> None:
        self._region_splits += 1

        def heal() -> None:
            self._region_splits -= 1

        self._schedule(hours, heal)

    def _lose_disk(self, host: Host) -> None:
        host.lose_disk()
        newest = max(other.version for other in self._hosts)
        self.result.losses += newest < self._version
        self._version = max(newest, 0)
        if not self._policy(self._hosts, len(self._hosts)):
            self.result.rebuilt += 1
            self._down_until = self._now + REBUILD_HOURS
            self._record_access(self._hosts)


def main() -> None:
    """Print the table; times are in minutes per year."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--years', type=float, default=1000)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--sizes', type=int, nargs='+', default=(3, 5))
    chosen = parser.parse_args()
    print(
        '| hosts | second loss | policy | down | one copy | losses | rebuilt |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for size in chosen.sizes:
        for second_share in (0, 0.1):
            for name, policy in POLICIES.items():
                simulation = Simulation(size, policy, second_share, chosen.seed)
                simulated = simulation.run(chosen.years)
                per_year = MINUTES_PER_HOUR / chosen.years
                down = simulated.down_hours * per_year
                one_copy = simulated.one_copy_hours * per_year
                print(
                    f'| {size} | {second_share:.0%} | {name} | {down:.2f} '
                    f'| {one_copy:.2f} '
                    f'| {simulated.losses} | {simulated.rebuilt} |',
                )


if __name__ == '__main__':
    main()
