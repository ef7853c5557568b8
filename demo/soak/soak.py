"""One soak: starts the programs, injects faults, and checks what was seen."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from itertools import chain
from pathlib import Path
from typing import Any, Final, TextIO

import aiohttp
import msgspec

from demo.emulate import add_machines, first_configuration
from demo.scenario import Scenario
from demo.soak.exchanges import Ledger, Loss
from demo.soak.faults import Faults
from demo.soak.load import Load
from demo.soak.odd import OddCallers
from demo.soak.targets import SoakTarget
from demo.soak.uploads import UploadingCallers
from standins.platform import Machine, Site

READINESS_INTERVAL_S: Final = 1
SPEED_INTERVAL_S: Final = 0.15
READ_BACK_S: Final = 10
EVACUATION_CHECK_S: Final = 8
GRACE_S: Final = 6
ODD_TARGET_SHARE: Final = 0.02
# Series that concern callers and targets, not the system's programs.
LOAD_SERIES: Final = frozenset(('odd_callers', 'odd_targets', 'early_answers'))


class Soak:
    """Runs the programs of a scenario under a series of faults.

    Parameters
    ----------
    scenario : Scenario
        Machines, classes and rates.
    folder : Path
        Folder for settings, logs and data, and for the timeline.
    seed : int
        Seed of load and faults.
    program_folder : Path | None
        Checkout whose programs run; the current folder if None.

    Attributes
    ----------
    ledger : Ledger
        What callers and targets saw.
    forgotten : list[str]
        Acknowledged changes that were not read back.
    unhandled : list[str]
        Lines of the logs about errors that nothing handled.
    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        seed: int,
        program_folder: Path | None = None,
    ) -> None:
        """Plan the machines; `run` starts them."""
        self._scenario = scenario
        self.folder = folder
        self.site = Site(folder)
        self.site.program_folder = program_folder
        self.site.grace_s = GRACE_S
        # The soak reports them together with what callers lost.
        self.site.checks_logs = False
        self.ledger = Ledger(GRACE_S)
        self._random = random.Random(seed)
        self.load = Load(scenario, self.ledger, seed)
        self._odd_callers = OddCallers(self.load, seed)
        self._uploads = UploadingCallers(self.load, scenario, self.ledger, seed)
        self.forgotten: list[str] = []
        self.unhandled: list[str] = []
        self._timeline: TextIO | None = None
        add_machines(self.site, scenario)
        self.site.targets = [
            self._target(machine, index)
            for index, machine in enumerate(self.nodes)
        ]
        self.load.machines = self.nodes
        self.faults = Faults(
            self.site, scenario, self.ledger, seed, self._report
        )

    @property
    def nodes(self) -> list[Machine]:
        """Machines that run a node."""
        return [
            machine for machine in self.site.machines if machine.role == 'node'
        ]

    async def run(self, seconds: float, series: list[str], end: str) -> None:
        """Run load and faults for a time, then the final fault if named."""
        with (self.folder / 'timeline').open('w') as self._timeline:
            try:
                await self._start()
                await self._run_load(seconds, series)
                if end:
                    await getattr(self.faults, end)()
                await self._read_back()
                if end and self.faults.evacuated:
                    await self._check_evacuation(self.faults.evacuated)
            finally:
                await self.site.stop()
            for loss in self.ledger.losses():
                self._report('loss', **msgspec.to_builtins(loss))
            self.unhandled = self.site.unhandled_errors()
            for line in self.unhandled:
                self._report('unhandled', line=line)

    def use_slow_links(self, bytes_per_s: int) -> None:
        """Limit what each host sends to others on channels between nodes."""
        self.site.program = 'standins.slow_links_host'
        self.site.environment['LINK_BYTES_PER_S'] = str(bytes_per_s)

    def summary(self) -> str:
        """Return the counts of exchanges, stops and losses."""
        exchanges = self.ledger.exchanges
        statuses = Counter(exchange.status for exchange in exchanges)
        losses = Counter(loss.kind for loss in self.ledger.losses())
        stops = sum(map(len, self.ledger.stops.values()))
        return (
            f'{len(exchanges)} requests, statuses {dict(statuses)}, '
            f'{stops} stops, {self.faults.killed_at_grace} killed at the end '
            f'of the grace period, version {self.faults.acknowledged}, exits '
            f'{self.faults.exits}, losses {dict(losses)}, '
            f'forgotten {self.forgotten}, without an answer '
            f'{dict(self.ledger.endings())}, unhandled errors '
            f'{len(self.unhandled)}'
        )

    @property
    def broken(self) -> bool:
        """Whether a promise was broken or an error was not handled."""
        return bool(
            self.losses()
            or self.forgotten
            or self.faults.exits
            or self.unhandled
        )

    def losses(self) -> list[Loss]:
        """Return the broken promises about requests."""
        return self.ledger.losses()

    async def _start(self) -> None:
        await self.site.start()
        document = first_configuration(self._scenario)
        status, content = await self.site.call_operator_api(
            'config.put', document
        )
        assert status == 200, content
        await self.site.wait_until_ready()

    async def _run_load(self, seconds: float, series: list[str]) -> None:
        if 'odd_targets' in series:
            self.load.odd_target_share = ODD_TARGET_SHARE
        self._uploads.early_answers = 'early_answers' in series
        faults = [name for name in series if name not in LOAD_SERIES]
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(coroutine)
                for coroutine in (
                    *self.faults.series(faults),
                    self.faults.watch(),
                    self._check_readiness(),
                    self._vary_speed(),
                )
            ]
            loads = [self.load.run(seconds), self._uploads.run(seconds)]
            if 'odd_callers' in series:
                loads.append(self._odd_callers.run(seconds))
            await asyncio.gather(*loads)
            for task in background:
                task.cancel()
        for machine in self.site.machines:
            if machine.ended:
                machine.start()

    async def _read_back(self) -> None:
        """Read the configuration until it is as new as acknowledged."""
        ends_at = asyncio.get_running_loop().time() + READ_BACK_S
        version = -1
        while asyncio.get_running_loop().time() < ends_at:
            status, content = await self.site.call_operator_api('config.get')
            if status == 200:
                version = int(json.loads(content)['version'], 16)
                break
        self._report('read back', version=version)
        if version < self.faults.acknowledged:
            self.forgotten.append(
                f'version {self.faults.acknowledged}, read {version}'
            )

    async def _check_evacuation(self, zone: str) -> None:
        """Check that an evacuated data centre gets no requests."""
        began_at = asyncio.get_running_loop().time()
        await self.load.run(EVACUATION_CHECK_S)
        runs = chain.from_iterable(self.ledger.runs.values())
        later = [run for run in runs if run.began_at > began_at]
        count = sum(run.zone == zone for run in later)
        self._report('after the end', runs=len(later), evacuated=count)
        if count:
            self.forgotten.append(f'evacuation of {zone}, {count} runs')

    async def _check_readiness(self) -> None:
        """Ask each node once a second; two misses take it out of use."""
        misses: Counter[str] = Counter()
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(READINESS_INTERVAL_S)
        ) as session:
            while True:
                for machine in self.nodes:
                    ready = await _is_ready(session, machine)
                    misses[machine.ip] = 0 if ready else misses[machine.ip] + 1
                    self.load.in_use[machine.ip] = misses[machine.ip] < 2
                await asyncio.sleep(READINESS_INTERVAL_S)

    async def _vary_speed(self) -> None:
        noise = self._scenario.noise
        while True:
            for target in self.site.targets:
                slow = self._random.random() < noise.share
                target.slowdown = noise.factor if slow else 1
            await asyncio.sleep(SPEED_INTERVAL_S)

    def _target(self, machine: Machine, index: int) -> SoakTarget:
        target = SoakTarget(machine, f'i-{index}', self.ledger, self.load.call)
        services = {plan.name: plan for plan in self._scenario.services}
        target.slots = services[machine.service].slots
        return target

    def _report(self, event: str, **fields: Any) -> None:
        assert self._timeline is not None
        now = round(asyncio.get_running_loop().time(), 3)
        line = json.dumps({'t': now, 'event': event} | fields)
        self._timeline.write(f'{line}\n')
        self._timeline.flush()


async def _is_ready(session: aiohttp.ClientSession, machine: Machine) -> bool:
    url = f'http://{machine.address("ready_addr")}/api/ready'
    try:
        async with session.get(url) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False
