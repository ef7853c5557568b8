"""Faults of a soak: signals, restarts and changes that overlap."""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

from demo.emulate import first_configuration
from demo.scenario import Scenario
from demo.soak.exchanges import Ledger
from standins.platform import Machine, Site

POLL_S: Final = 0.02
# Signals that may follow the first SIGTERM of a stop.
LATER_SIGNALS: Final = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGHUP,
    signal.SIGCONT,
)
# Time in seconds for a pause of this process that is counted as such.
MAX_DELAY_S: Final = 0.05
PAUSE_S: Final = 2.5
OK: Final = 200


class Faults:
    """Injects a series of faults, chosen with a seed.

    Parameters
    ----------
    site : Site
        Machines whose programs get signals.
    scenario : Scenario
        Its first configuration is the one that changes begin with.
    ledger : Ledger
        Records stops and disruptions.
    seed : int
        Seed of the random numbers.
    report : Callable[..., None]
        Writes an event to the timeline.

    Attributes
    ----------
    acknowledged : int
        Number of the last acknowledged change.
    evacuated : str
        Data centre whose evacuation was the last thing acknowledged.
    killed_at_grace : int
        Stops that outlasted the grace period.
    exits : list[str]
        Processes that ended by themselves, or with an error when stopped.
    """

    def __init__(
        self,
        site: Site,
        scenario: Scenario,
        ledger: Ledger,
        seed: int,
        report: Callable[..., None],
    ) -> None:
        """Prepare faults; the methods inject them until cancelled."""
        self._site = site
        self._ledger = ledger
        self._random = random.Random(seed)
        self._report = report
        self._document = first_configuration(scenario)
        self._busy: set[str] = set()
        self.acknowledged = 1
        self.sent = 1
        self.evacuated = ''
        self.killed_at_grace = 0
        self.exits: list[str] = []

    def series(self, names: list[str]) -> list[Coroutine[Any, Any, None]]:
        """Return the series with these names."""
        return [getattr(self, name)() for name in names]

    async def stops(self) -> None:
        """Stop nodes one after the other, and start them again."""
        while True:
            await asyncio.sleep(self._random.uniform(0.2, 1.5))
            await self._stop_and_start(self._choose('node'))

    async def overlapping_stops(self) -> None:
        """Stop nodes; some are stopped again while they still start."""
        while True:
            await asyncio.sleep(self._random.uniform(0.2, 1))
            machine = self._choose('node')
            if machine is None:
                continue
            self._busy.add(machine.ip)
            await self._stop(machine)
            for _ in range(self._random.randrange(4)):
                machine.start()
                await asyncio.sleep(self._random.uniform(0, 4))
                await self._stop(machine)
            machine.start()
            self._busy.discard(machine.ip)
            await asyncio.sleep(2)

    async def mass_stops(self) -> None:
        """Stop a random half of all nodes at once, and start them again."""
        while True:
            await asyncio.sleep(self._random.uniform(3, 6))
            free = [
                machine
                for machine in self._site.machines
                if machine.role == 'node' and machine.ip not in self._busy
            ]
            half = self._random.sample(free, len(free) // 2)
            await asyncio.gather(*map(self._stop_and_start, half))

    async def control_stops(self) -> None:
        """Stop control hosts one after the other, and start them again."""
        while True:
            await asyncio.sleep(self._random.uniform(2, 5))
            await self._stop_and_start(self._choose('control'))

    async def reloads(self) -> None:
        """Send SIGHUP in series to any program."""
        while True:
            await asyncio.sleep(self._random.uniform(0.5, 2))
            machine = self._random.choice(self._site.machines)
            for _ in range(self._random.randrange(1, 6)):
                if not machine.ended:
                    machine.send(signal.SIGHUP)
                await asyncio.sleep(self._random.uniform(0, 0.3))

    async def changes(self) -> None:
        """Change time-outs of routes, and add and remove a route."""
        while True:
            await asyncio.sleep(self._random.uniform(0.1, 0.6))
            await self.change()

    async def change(self) -> None:
        """Send one change and wait until it is acknowledged."""
        version = self.sent + self._random.randrange(1, 4)
        routes = [
            entry
            for entry in self._document['resources']
            if entry['resource_type'] == 'routes'
        ]
        route = self._random.choice(routes)
        spec = route['spec']
        # Not shorter than the callers' deadlines.
        timeout_ms = int(spec['timeout'].removesuffix('ms'))
        timeout_ms += self._random.randrange(100, 2000)
        changed = route | {'spec': spec | {'timeout': f'{timeout_ms}ms'}}
        added = {
            'resource_type': 'routes',
            'metadata': {'name': f'extra-{version}'},
            'spec': spec | {'path_prefix': f'/extra-{version}/'},
        }
        body: dict[str, Any] = {
            'version': f'{version:08x}',
            'base_version': f'{self.acknowledged:08x}',
            'upsert': {'resources': [changed, added]},
        }
        if self.acknowledged > 1:
            body['remove'] = {'routes': [f'extra-{self.acknowledged}']}
        self.sent = version
        status, content = await self._site.call_operator_api(
            'config.patch', body
        )
        self._report(
            'change',
            version=version,
            status=status,
            content='' if status == OK else content.decode(),
        )
        if status == OK:
            self.acknowledged = version

    async def pauses(self) -> None:
        """Suspend single programs for some seconds, unplanned."""
        while True:
            await asyncio.sleep(self._random.uniform(3, 8))
            machine = self._choose('')
            if machine is None or machine.ended:
                continue
            self._busy.add(machine.ip)
            began_at = asyncio.get_running_loop().time()
            self._report('pause', machine=machine.ip)
            machine.send(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.5, PAUSE_S))
            machine.send(signal.SIGCONT)
            self._busy.discard(machine.ip)
            self._disrupted(began_at)

    async def kills(self) -> None:
        """Kill single programs, unplanned, and start them again."""
        while True:
            await asyncio.sleep(self._random.uniform(3, 8))
            machine = self._choose('')
            if machine is None:
                continue
            self._busy.add(machine.ip)
            began_at = asyncio.get_running_loop().time()
            self._report('kill', machine=machine.ip)
            machine.kill()
            await asyncio.sleep(self._random.uniform(0, 2))
            machine.start()
            self._busy.discard(machine.ip)
            self._disrupted(began_at)

    async def watch(self) -> None:
        """Note programs that end by themselves; start them again.

        Also note when this process itself does not run.
        """
        loop = asyncio.get_running_loop()
        while True:
            slept_at = loop.time()
            await asyncio.sleep(POLL_S)
            if loop.time() - slept_at > MAX_DELAY_S:
                self._ledger.delays.append((slept_at, loop.time()))
            for machine in self._site.machines:
                if machine.ended and machine.ip not in self._busy:
                    self.exits.append(f'{machine.ip}: {machine.exit_code}')
                    self._report(
                        'exit', machine=machine.ip, code=machine.exit_code
                    )
                    machine.start()

    async def evacuations(self) -> None:
        """Evacuate data centres one after the other, and take them back."""
        while True:
            await asyncio.sleep(self._random.uniform(1, 4))
            await self._evacuate()
            await asyncio.sleep(self._random.uniform(1, 6))
            await self._site.call_operator_api(
                f'evacuate.end&of={self.evacuated}'
            )
            self._report('evacuation ends', zone=self.evacuated)
            self.evacuated = ''

    async def lose_all_evacuated(self) -> None:
        """Kill all programs after an evacuation; one disk is lost."""
        await self._evacuate()
        await self.lose_all()

    async def lose_all(self) -> None:
        """Kill all programs after an acknowledgement; one disk is lost."""
        if not self.evacuated:
            await self.change()
        controls = [
            machine
            for machine in self._site.machines
            if machine.role == 'control'
        ]
        lost = self._random.choice(controls)
        for machine in self._site.machines:
            self._busy.add(machine.ip)
            machine.send(signal.SIGKILL)
        for machine in self._site.machines:
            machine.kill()
        shutil.rmtree(lost.data)
        self._report('all killed', lost_disk=lost.ip)
        for machine in self._site.machines:
            machine.start()
            self._busy.discard(machine.ip)

    async def _evacuate(self) -> None:
        zones = sorted({machine.zone for machine in self._site.machines})
        zone = self._random.choice(zones)
        status, _ = await self._site.call_operator_api(
            f'evacuate.start&of={zone}'
        )
        self._report('evacuation', zone=zone, status=status)
        self.evacuated = zone

    def _choose(self, role: str) -> Machine | None:
        """Return a random machine with a role, whose program is not busy."""
        free = [
            machine
            for machine in self._site.machines
            if machine.role.startswith(role) and machine.ip not in self._busy
        ]
        return self._random.choice(free) if free else None

    def _disrupted(self, began_at: float) -> None:
        now = asyncio.get_running_loop().time()
        self._ledger.disruptions.append((began_at, now))

    async def _stop_and_start(self, machine: Machine | None) -> None:
        if machine is None:
            return
        self._busy.add(machine.ip)
        await self._stop(machine)
        await asyncio.sleep(self._random.uniform(0, 1.5))
        machine.start()
        await asyncio.sleep(1)
        self._busy.discard(machine.ip)

    async def _stop(self, machine: Machine) -> None:
        """Send SIGTERM, maybe others; kill the program after its grace."""
        loop = asyncio.get_running_loop()
        stopped_at = loop.time()
        self._report('SIGTERM', machine=machine.ip)
        self._ledger.stops[machine.ip].append(stopped_at)
        machine.terminate()
        more = self._random.choices(
            LATER_SIGNALS, k=self._random.choice((0, 0, 3))
        )
        while not machine.ended:
            await asyncio.sleep(POLL_S)
            if more and self._random.random() < 0.05 and not machine.ended:
                machine.send(more.pop())
            if loop.time() > stopped_at + self._ledger.grace_s:
                self.killed_at_grace += 1
                self._report('SIGKILL', machine=machine.ip)
                machine.kill()
        code = machine.exit_code
        if code is not None and code > 0:
            self.exits.append(f'{machine.ip}: {code} when stopped')
        self._report(
            'stopped',
            machine=machine.ip,
            code=code,
            after_s=round(loop.time() - stopped_at, 2),
        )
