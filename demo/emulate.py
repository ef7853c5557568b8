"""Runs the real programs against stand-ins of targets, callers, an operator.

``python -m demo.emulate examples/scenarios/calm.json`` prints a table by class
and exits with 0 if no promise was broken.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import uuid
from collections import Counter
from pathlib import Path
from typing import Any, Final

import aiohttp
import click

from demo.report import Outcome, table, write_report
from demo.scenario import ClassPlan, FaultPlan, Scenario, load_scenario
from standins.platform import DEADLINE, ID, SEAL, Machine, Site, Target

MS_PER_S: Final = 1000
HOST: Final = 'emulated.example'
# Time in seconds after which an evacuated data centre must get nothing.
EVACUATE_S: Final = 5
# Statuses that promise that a request has not run and never will.
NOT_RUN: Final = frozenset((408, 421, 429, 503))


class Emulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        """Plan the machines."""
        self.scenario = scenario
        self.site = Site(folder)
        self.random = random.Random(scenario.seed)
        self.outcomes: list[Outcome] = []
        self.broken: list[str] = []
        self.promised: dict[str, str] = {}
        self.kinds: dict[str, str] = {}
        for zone in scenario.zones:
            self.site.add(zone, 'control')
            for service in scenario.services:
                for _ in range(service.targets):
                    self.site.add(zone, 'node', service.name)
        for target in self.site.targets:
            target.work_ms = {
                f'/{found.name}/': found.work_ms for found in scenario.classes
            }

    @property
    def nodes(self) -> list[Machine]:
        """Machines with a node."""
        return [found for found in self.site.machines if found.role == 'node']

    async def run(self) -> None:
        """Run the scenario to its end and check the promises."""
        await self.site.start()
        try:
            status, _ = await self.site.order('config.put', self._document())
            assert status == 200, status
            await self.site.ready()
            await self._play()
        finally:
            await self.site.stop()
        self._check_runs()

    async def _play(self) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        async with (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
            ) as session,
            asyncio.TaskGroup() as tasks,
        ):
            for kind in self.scenario.classes:
                tasks.create_task(
                    self._press(tasks, session, kind, began_at),
                )
            for fault in self.scenario.faults:
                tasks.create_task(self._strike(fault))
            noisy = asyncio.create_task(self._make_noise())
            await asyncio.sleep(self.scenario.seconds)
            noisy.cancel()

    async def _press(
        self,
        tasks: asyncio.TaskGroup,
        session: aiohttp.ClientSession,
        kind: ClassPlan,
        began_at: float,
    ) -> None:
        """Send the requests of one class."""
        loop = asyncio.get_running_loop()
        while loop.time() - began_at < self.scenario.seconds:
            tasks.create_task(self._ask(session, kind, began_at))
            await asyncio.sleep(self.random.expovariate(kind.per_s))

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        kind: ClassPlan,
        began_at: float,
    ) -> None:
        """Send one request; come back once if it was refused."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        ends_at = asked_at + kind.deadline_ms / MS_PER_S
        end = 'failed'
        for _ in range(2):
            status, retry_s = await self._try(session, kind, ends_at)
            if status == 200:
                took_ms = (loop.time() - asked_at) * MS_PER_S
                end = 'in time' if took_ms <= kind.objective_ms else 'late'
                break
            end = 'refused' if status in NOT_RUN else 'failed'
            again = kind.kind != 'non_idempotent' or status in NOT_RUN
            left_s = ends_at - loop.time()
            if not again or left_s <= 0:
                break
            await asyncio.sleep(min(retry_s, left_s / 3))
        self.outcomes.append(
            Outcome(
                kind.name,
                asked_at - began_at,
                (loop.time() - asked_at) * MS_PER_S,
                end,
            ),
        )

    async def _try(
        self,
        session: aiohttp.ClientSession,
        kind: ClassPlan,
        ends_at: float,
    ) -> tuple[int, float]:
        """Make one try at a ready node; return status and when to come back."""
        loop = asyncio.get_running_loop()
        machine = self.random.choice(
            [node for node in self.nodes if not node.leaving] or self.nodes,
        )
        identity = uuid.UUID(int=self.random.getrandbits(128)).hex
        self.kinds[identity] = kind.kind
        left_s = ends_at - loop.time()
        headers = {
            'Host': HOST,
            ID: identity,
            DEADLINE: str(max(int(left_s * MS_PER_S), 1)),
        }
        method = 'POST' if kind.kind == 'non_idempotent' else 'GET'
        url = f'http://{machine.address("outbound")}/{kind.name}/x'
        try:
            async with asyncio.timeout_at(ends_at):
                async with session.request(
                    method,
                    url,
                    headers=headers,
                ) as answer:
                    await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, 0
        self._check_answer(identity, answer)
        return answer.status, float(answer.headers.get('Retry-After', '0'))

    def _check_answer(
        self,
        identity: str,
        answer: aiohttp.ClientResponse,
    ) -> None:
        seal = answer.headers.get(SEAL, '')
        if answer.status == 200 and not seal.endswith(f'.{identity}'):
            self.broken.append(f'{identity}: got the answer of {seal}')
        if answer.status in NOT_RUN:
            self.promised[identity] = str(answer.status)

    async def _strike(self, fault: FaultPlan) -> None:
        await asyncio.sleep(fault.at_s)
        match fault.kind:
            case 'kill_control':
                machine = self.site.seeds[fault.index]
                machine.kill()
                await asyncio.sleep(fault.for_s)
                machine.start()
            case 'stop_node':
                await self._stop_node(self.nodes[fault.index], fault.for_s)
            case 'evacuate':
                await self._evacuate(fault)
            case 'foreign_answers':
                target = self.site.targets[fault.index]
                target.foreign = True
                await asyncio.sleep(fault.for_s)
                target.foreign = False

    async def _stop_node(self, machine: Machine, for_s: float) -> None:
        """Stop a node as the platform does, and start it again."""
        machine.leaving = True
        machine.terminate()
        while not machine.ended:
            await asyncio.sleep(0.05)
        await asyncio.sleep(for_s)
        machine.start()
        await self.site.until_ready(machine)
        machine.leaving = False

    async def _evacuate(self, fault: FaultPlan) -> None:
        zone = self.scenario.zones[fault.index]
        await self.site.order(f'evacuate.start&of={zone}')
        emptied = [
            target
            for target in self.site.targets
            if target.machine.zone == zone
        ]
        await asyncio.sleep(EVACUATE_S)
        before = _total(emptied)
        await asyncio.sleep(max(fault.for_s - EVACUATE_S, 0.5))
        if _total(emptied) > before:
            self.broken.append(f"'{zone}' got work although it was out")
        await self.site.order(f'evacuate.end&of={zone}')

    async def _make_noise(self) -> None:
        """Let each target's host be slow for a part of the time."""
        noise = self.scenario.noise
        if not noise.share:
            return
        pace_s = noise.every_ms / MS_PER_S
        while True:
            for target in self.site.targets:
                slow = self.random.random() < noise.share
                target.pace = noise.factor if slow else 1
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * pace_s)

    def _check_runs(self) -> None:
        runs: Counter[str] = Counter()
        for target in self.site.targets:
            runs.update(target.runs)
            self.broken.extend(target.faults)
        for identity, count in runs.items():
            if self.kinds.get(identity) != 'non_idempotent':
                continue
            if count > 1:
                self.broken.append(f'{identity}: ran {count} times')
            if identity in self.promised:
                status = self.promised[identity]
                self.broken.append(f'{identity}: ran, though told {status}')

    def _document(self) -> dict[str, Any]:
        """Return the configuration in the platform's form."""
        routes = [
            {
                'resource_type': 'routes',
                'metadata': {'name': kind.name},
                'spec': {
                    'host': HOST,
                    'path_prefix': f'/{kind.name}/',
                    'route_type': kind.kind,
                    'timeout': f'{kind.deadline_ms:.0f}ms',
                    'target_latency': f'{kind.objective_ms:.0f}ms',
                    'priority': kind.priority,
                    'service': kind.service,
                    'max_attempts': 2,
                },
            }
            for kind in self.scenario.classes
        ]
        services = [
            {
                'resource_type': 'services',
                'metadata': {'name': service.name},
                'spec': {
                    'health_check_path': '/health',
                    'max_connections': 64,
                    'cold_start': '0ms',
                    'coldstart_per_s': 0,
                },
            }
            for service in self.scenario.services
        ]
        return {
            'version': '00000001',
            'base_version': '00000000',
            'resources': [*routes, *services],
        }


async def _run(scenario: Scenario, folder: Path) -> Emulation:
    emulation = Emulation(scenario, folder)
    await emulation.run()
    return emulation


def _total(targets: list[Target]) -> int:
    return sum(target.runs.total() for target in targets)


@click.command()
@click.argument('scenario', type=click.Path(path_type=Path))
@click.option(
    '--report',
    type=click.Path(path_type=Path),
    help='HTML page with plots to write.',
)
def main(scenario: Path, report: Path | None) -> None:
    """Run a scenario and exit with 0 if no promise was broken."""
    planned = load_scenario(scenario)
    with tempfile.TemporaryDirectory() as folder:
        emulation = asyncio.run(_run(planned, Path(folder)))
    click.echo(table(emulation.outcomes))
    for found in emulation.broken:
        click.echo(f'broken: {found}')
    click.echo(f'{len(emulation.broken)} promises broken')
    if report is not None:
        title = f'Scenario {scenario.stem}'
        write_report(report, emulation.outcomes, emulation.broken, title)
    sys.exit(1 if emulation.broken else 0)


if __name__ == '__main__':
    main()
