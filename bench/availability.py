"""Compares fixed majorities with optimistic dynamic voting by simulation.

Run ``python -m bench.availability``. Hosts fail, restart, lose disks, are cut
off, and regions lose each other, at fixed rates and from a fixed seed. After
each event each connected part of the group tries an access, as the leader's
rounds do once a second; where one succeeds, the members of that part hold
the newest version from then on.
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

HOURS_PER_YEAR: Final = 24 * 365.0
MINUTES_PER_HOUR: Final = 60
REGIONS: Final = 2


class Rate(msgspec.Struct, frozen=True):
    """How often a fault comes and how long it lasts.

    Attributes
    ----------
    per_year : float
        Faults a year, for each host; for the group if it says so below.
    hours : float
        Mean duration in hours.
    """

    per_year: float
    hours: float


RESTART: Final = Rate(102, 0.5 / 60)
FAILURE: Final = Rate(1, 4)
DATA_CENTRE: Final = Rate(0.25, 2)
CUT_OFF: Final = Rate(0.5, 6)
REGION_SPLIT: Final = Rate(4, 5 / 60)
# Share of the failed hosts that come back with an empty disk.
DISK_LOST: Final = 0.5
# Mean hours after which a second host fails that is lost after a repair.
SECOND_AFTER_HOURS: Final = 0.1
# Hours until operators have set up a group anew that can't go on.
RESET_HOURS: Final = 4


class Host:
    """One control host.

    Attributes
    ----------
    faults : int
        Faults that hold it down now.
    cut : int
        Faults that cut it off now.
    version : int
        Newest version on its disk; -1 for an empty disk.
    transaction, partition
        State of dynamic voting: number of the last access, and its members.
    """

    def __init__(self, name: int) -> None:
        """Start up, with an empty history."""
        self.name = name
        self.faults = 0
        self.cut = 0
        self.version = 0
        self.transaction = 0
        self.partition: frozenset[int] = frozenset()
        self.voter = True

    def lose_disk(self) -> None:
        """Empty the disk."""
        self.version = -1
        self.transaction = -1
        self.partition = frozenset()
        self.voter = False


Policy = Callable[[list[Host], int], bool]


def fixed_majority(part: list[Host], size: int) -> bool:
    """Whether more than half of all voters are in a part."""
    return 2 * sum(host.voter for host in part) > size


def dynamic(part: list[Host], size: int) -> bool:
    """Whether a part holds the majority of the last access's members.

    Half of them is enough with the one that is last in order.
    """
    known = [host for host in part if host.version >= 0]
    if not known:
        return False
    newest = max(host.transaction for host in known)
    current = {host.name for host in known if host.transaction == newest}
    members = next(
        host.partition for host in known if host.transaction == newest
    )
    present = 2 * len(current & members)
    return present > len(members) or (
        present == len(members) and max(members) in current
    )


def dynamic_two_copies(part: list[Host], size: int) -> bool:
    """Dynamic voting that never goes on with a single host."""
    return len(part) > 1 and dynamic(part, size)


POLICIES: Final[dict[str, Policy]] = {
    'fixed majority': fixed_majority,
    'dynamic voting': dynamic,
    'dynamic, two copies': dynamic_two_copies,
}


class Result(msgspec.Struct):
    """What one run found.

    Attributes
    ----------
    down_hours : float
        Hours without a quorum anywhere.
    one_copy_hours : float
        Hours for which one disk alone held the newest accepted change.
    losses : int
        Times that all copies of an accepted change were lost.
    stuck : int
        Times that the group could not go on even with all hosts back.
    """

    down_hours: float = 0
    one_copy_hours: float = 0
    losses: int = 0
    stuck: int = 0


class Simulation:
    """One group under faults.

    Parameters
    ----------
    size : int
        Control hosts; odd names stand in the second region.
    policy : Policy
        Which part of the group may go on.
    second_share : float
        Share of the disk repairs after which a second host is lost.
    seed : int
        Seed of the faults.
    """

    def __init__(
        self,
        size: int,
        policy: Policy,
        second_share: float,
        seed: int,
    ) -> None:
        """Plan the first faults."""
        self._hosts = [Host(name) for name in range(size)]
        self._policy = policy
        self._second_share = second_share
        self._choose = random.Random(seed)
        self._split = 0
        self._version = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self._now = 0.0
        self._down_until = 0.0
        self.result = Result()
        everyone = frozenset(range(size))
        for host in self._hosts:
            host.partition = everyone
            for rate, fault in (
                (RESTART, self._restart),
                (FAILURE, self._fail),
                (DATA_CENTRE, self._restart),
                (CUT_OFF, self._cut),
            ):
                self._plan(rate, fault, host)
        self._plan(REGION_SPLIT, self._split_regions, self._hosts[0])

    def run(self, years: float) -> Result:
        """Run for some years."""
        end = years * HOURS_PER_YEAR
        while self._now < end:
            available = self._access()
            at, _, event = heapq.heappop(self._queue)
            if not available or self._now < self._down_until:
                self.result.down_hours += at - self._now
            if self._copies() == 1:
                self.result.one_copy_hours += at - self._now
            self._now = at
            event()
        return self.result

    def _copies(self) -> int:
        return sum(host.version == self._version for host in self._hosts)

    def _access(self) -> bool:
        """Let each part try an access; say whether one succeeded."""
        for part in self._parts():
            if self._policy(part, len(self._hosts)):
                self._version += 1
                self._update(part)
                return True
        return False

    def _update(self, part: list[Host]) -> None:
        names = frozenset(host.name for host in part)
        transaction = 1 + max(host.transaction for host in part)
        for host in part:
            host.version = self._version
            host.transaction = transaction
            host.partition = names
            host.voter = True

    def _parts(self) -> Iterable[list[Host]]:
        """Yield the connected parts of the group."""
        up = [host for host in self._hosts if not host.faults]
        yield from ([host] for host in up if host.cut)
        joined = [host for host in up if not host.cut]
        if self._split:
            for region in range(REGIONS):
                yield [h for h in joined if h.name % REGIONS == region]
        else:
            yield joined

    def _plan(
        self,
        rate: Rate,
        fault: Callable[[Host, float], None],
        host: Host,
    ) -> None:
        """Plan the next fault of one kind."""

        def event() -> None:
            fault(host, self._choose.expovariate(1 / rate.hours))
            self._plan(rate, fault, host)

        wait = self._choose.expovariate(rate.per_year / HOURS_PER_YEAR)
        self._at(wait, event)

    def _at(self, wait: float, event: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._queue, (self._now + wait, self._serial, event))

    def _restart(self, host: Host, hours: float) -> None:
        host.faults += 1

        def back() -> None:
            host.faults -= 1

        self._at(hours, back)

    def _fail(self, host: Host, hours: float) -> None:
        if self._choose.random() < DISK_LOST:
            self._lose(host)
            self._at(hours, self._second)
        self._restart(host, hours)

    def _second(self) -> None:
        """After a repair: perhaps lose another host and its disk."""
        if self._choose.random() >= self._second_share:
            return
        host = self._choose.choice(self._hosts)

        def lose() -> None:
            self._lose(host)
            self._restart(host, self._choose.expovariate(1 / FAILURE.hours))

        wait = self._choose.expovariate(1 / SECOND_AFTER_HOURS)
        self._at(wait, lose)

    def _cut(self, host: Host, hours: float) -> None:
        host.cut += 1

        def heal() -> None:
            host.cut -= 1

        self._at(hours, heal)

    def _split_regions(self, _: Host, hours: float) -> None:
        self._split += 1

        def heal() -> None:
            self._split -= 1

        self._at(hours, heal)

    def _lose(self, host: Host) -> None:
        host.lose_disk()
        newest = max(other.version for other in self._hosts)
        self.result.losses += newest < self._version
        self._version = max(newest, 0)
        if not self._policy(self._hosts, len(self._hosts)):
            self.result.stuck += 1
            self._down_until = self._now + RESET_HOURS
            self._update(self._hosts)


def main() -> None:
    """Print the table; times are minutes a year."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--years', type=float, default=1000)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--sizes', type=int, nargs='+', default=(3, 5))
    chosen = parser.parse_args()
    print('| hosts | second loss | policy | down | one copy | losses | stuck |')
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for size in chosen.sizes:
        for second in (0, 0.1):
            for name, policy in POLICIES.items():
                simulation = Simulation(size, policy, second, chosen.seed)
                found = simulation.run(chosen.years)
                per_year = MINUTES_PER_HOUR / chosen.years
                down = found.down_hours * per_year
                one_copy = found.one_copy_hours * per_year
                print(
                    f'| {size} | {second:.0%} | {name} | {down:.2f} '
                    f'| {one_copy:.2f} '
                    f'| {found.losses} | {found.stuck} |',
                )


if __name__ == '__main__':
    main()
