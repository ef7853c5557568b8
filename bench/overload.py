"""Measures the goodput of one target at 0.5 to 4 times its capacity.

Compares the admission control of nodes with a gate that has a fixed limit and
a first-in-first-out queue. Target, executor and callers share this process;
calls arrive at random times.
"""

from __future__ import annotations

import asyncio
import random
import statistics
from collections import Counter, defaultdict, deque
from typing import Final

import uvloop
from loguru import logger

from lycheespar.admission.executor import Executor
from lycheespar.admission.gate import Gate
from lycheespar.admission.limiter import GateLimits, Limiter
from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import (
    Configuration,
    Team,
    TeamService,
    Template,
)
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import DeadlineExceededError, RefusedError, RequestError
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.client import TargetClient
from standins.target import StandInTarget, TargetPlan

SLOTS: Final = 8
SERVICE_MS: Final = 40
# Calls per second.
CAPACITY: Final = SLOTS * 1000 / SERVICE_MS
# Offered loads as multiples of the capacity.
LOADS: Final = (0.5, 1.0, 2.0, 4.0)
WARM_UP_S: Final = 1.0
RUN_S: Final = 4.0
DEADLINE_S: Final = 0.25
# Name, weight and share of the calls of each class.
CLASSES: Final = (('urgent', 10, 0.2), ('normal', 1, 0.8))
# Factor by which calls take longer at a slow target.
SLOW_FACTOR: Final = 3


class FifoGate(Gate):
    """Gate with a fixed limit and a queue in order of arrival.

    Calls wait until their deadline; nothing else ends their wait.
    """

    __slots__ = ('_waiting',)

    def configure(self, limits: GateLimits) -> None:
        """Store the limits and start with an empty queue."""
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._limits = limits

    @property
    def load(self) -> Load:
        """Current load of the target."""
        return Load(self._running, len(self._waiting), SLOTS)

    async def acquire(self, call: Call) -> None:
        """Wait for a slot until the deadline, without other checks."""
        if self._running >= SLOTS:
            admitted = asyncio.get_running_loop().create_future()
            self._waiting.append(admitted)
            try:
                async with asyncio.timeout_at(call.deadline):
                    await admitted
            except TimeoutError as error:
                raise DeadlineExceededError from error
        else:
            self._running += 1

    def release(self, occupied_s: float) -> None:
        """Hand the slot to the next call that still waits, or release it."""
        while self._waiting:
            admitted = self._waiting.popleft()
            if not admitted.done():
                admitted.set_result(None)
                return
        self._running -= 1


class Run:
    """One run at one load.

    Attributes
    ----------
    latencies : dict[str, list[float]]
        Seconds until the answer, by class, of calls answered in time.
    refused, late, offered : Counter[str]
        Calls by class that were refused, that failed otherwise, and all calls.
    refusal_s : list[float]
        Seconds until each refusal.
    """

    def __init__(self, *, fifo: bool) -> None:
        """Create the target and its executor; `measure` runs them."""
        self.latencies: dict[str, list[float]] = defaultdict(list)
        self.refused: Counter[str] = Counter()
        self.refusal_s: list[float] = []
        self.late: Counter[str] = Counter()
        self.offered: Counter[str] = Counter()
        self._random = random.Random(11)
        plan = TargetPlan(
            'one',
            'team',
            'service',
            'dc',
            '127.0.0.1:1',
            slots=SLOTS,
            service_ms=SERVICE_MS,
        )
        self.target = StandInTarget(plan)
        self._local = LocalTarget()
        view = ConfigurationView(Configuration())
        self._executor = Executor(
            self._local, view, 'dc', float('inf'), TargetClient
        )
        if fifo:
            self._executor._gate = FifoGate(Limiter())  # noqa: SLF001
        parameters = {'cold_start_s': 0, 'cold_share': 1}
        services = {'service': TeamService('kind', parameters)}
        teams = {'team': Team('team', services)}
        kinds = {'kind': Template('kind')}
        view.update_if_newer(Configuration(1, kinds, teams))

    async def measure(self, load: float, *, slow: bool) -> None:
        """Make calls at a multiple of the capacity.

        With `slow`, the target slows down after the warm-up.
        """
        await self.target.start()
        content = self.target.announcement() | {'lease_s': 60}
        self._local.announce(Announcement(**content))
        loop = asyncio.get_running_loop()
        load_started_at = loop.time()
        next_at = load_started_at
        calls = []
        while next_at < load_started_at + WARM_UP_S + RUN_S:
            if slow and next_at > load_started_at + WARM_UP_S:
                self.target.plan.service_ms = SERVICE_MS * SLOW_FACTOR
            await asyncio.sleep(max(0, next_at - loop.time()))
            measured = next_at > load_started_at + WARM_UP_S
            calls.append(asyncio.create_task(self._call(measured)))
            next_at += self._random.expovariate(load * CAPACITY)
        await asyncio.gather(*calls)
        await self._executor.close()
        await self.target.stop()

    async def _call(self, measured: bool) -> None:
        loop = asyncio.get_running_loop()
        shares = [share for _, _, share in CLASSES]
        name, weight, _ = self._random.choices(CLASSES, shares)[0]
        started_at = loop.time()
        call = Call(
            call_id=self._random.randbytes(16),
            service='team/service',
            method='GET',
            path='/a',
            headers=(),
            body=b'',
            request_class=name,
            weight=weight,
            idempotent=False,
            deadline=started_at + DEADLINE_S,
        )
        result = await self._execute(call)
        elapsed_s = loop.time() - started_at
        if not measured:
            return
        self.offered[name] += 1
        if isinstance(result, Answer) and result.status == 200:
            self.latencies[name].append(elapsed_s)
        elif isinstance(result, RefusedError):
            self.refused[name] += 1
            self.refusal_s.append(elapsed_s)
        else:
            self.late[name] += 1

    async def _execute(self, call: Call) -> Answer | RequestError:
        try:
            return await self._executor.execute(call)
        except RequestError as error:
            return error


def _row(label: str, load: float, run: Run) -> str:
    cells = [f'{label:<10}{load:>5.1f}']
    for name, _, _ in CLASSES:
        in_time = sorted(run.latencies[name])
        p99_ms = in_time[int(len(in_time) * 0.99)] * 1000 if in_time else 0
        good = len(in_time) / RUN_S
        cells.append(
            f'{run.offered[name] / RUN_S:>8.0f}{good:>8.0f}{p99_ms:>8.0f}'
            f'{run.late[name]:>6}',
        )
    wait_ms = statistics.median(run.refusal_s or [0]) * 1000
    cells.append(f'{run.refused.total():>9}{wait_ms:>9.1f}')
    return ''.join(cells)


async def _main() -> None:
    logger.remove()
    print(
        f'capacity {CAPACITY:.0f}/s, deadline {DEADLINE_S * 1000:.0f} ms, '
        f'{RUN_S:.0f} s per row; good: calls per second that were answered in '
        'time; after ms: median time until a refusal'
    )
    names = ''.join(
        f'{name:>8}{"good":>8}{"p99ms":>8}{"late":>6}' for name, _, _ in CLASSES
    )
    print(f'{"":<10}{"load":>5}{names}{"refused":>9}{"after ms":>9}')
    for load in LOADS:
        for label, fifo in (('fifo', True), ('admission', False)):
            run = Run(fifo=fifo)
            await run.measure(load, slow=False)
            print(_row(label, load, run))
    for label, fifo in (('fifo slow', True), ('adm. slow', False)):
        run = Run(fifo=fifo)
        await run.measure(1, slow=True)
        print(_row(label, 1, run))


if __name__ == '__main__':
    uvloop.run(_main())
