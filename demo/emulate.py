"""Runs a scenario with real nodes and control hosts.

Targets, callers and the operator are emulated. The command
``python -m demo.emulate examples/scenarios/calm.json`` prints a table with a
row for each class and exits with 0 if all guarantees were met.
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

from demo.report import Outcome, format_table, write_report
from demo.scenario import ClassPlan, FaultPlan, Scenario, load_scenario
from standins.platform import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    RESPONSE_SEAL_HEADER,
    Machine,
    Site,
    Target,
)

MS_PER_S: Final = 1000
HOST: Final = 'emulated.example'
# Time after which an evacuated data centre must get no requests.
EVACUATION_LIMIT_S: Final = 5
# Statuses that guarantee that a request was not run and never will be.
NOT_RUN: Final = frozenset((408, 421, 429, 503))


class Emulation:
    """One run of a scenario.

    Attributes
    ----------
    outcomes : list[Outcome]
        Results of the requests that have ended.
    violations : list[str]
        Descriptions of the guarantees that were violated.
    refused_statuses : dict[str, str]
        Status by attempt id, for attempts that were refused as not run.
    route_types : dict[str, str]
        Kind of route by attempt id.
    """

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        """Plan the machines and targets; `run` starts them."""
        self.scenario = scenario
        self.site = Site(folder)
        self.random = random.Random(scenario.seed)
        self.outcomes: list[Outcome] = []
        self.violations: list[str] = []
        self.refused_statuses: dict[str, str] = {}
        self.route_types: dict[str, str] = {}
        add_machines(self.site, scenario)
        for target in self.site.targets:
            target.work_ms = {
                f'/{class_plan.name}/': class_plan.work_ms
                for class_plan in scenario.classes
            }

    @property
    def nodes(self) -> list[Machine]:
        """Machines that run a node."""
        return [
            machine for machine in self.site.machines if machine.role == 'node'
        ]

    async def run(self) -> None:
        """Run the scenario to its end and check the guarantees."""
        await self.site.start()
        try:
            status, _ = await self.site.call_operator_api(
                'config.put', first_configuration(self.scenario)
            )
            assert status == 200, status
            await self.site.wait_until_ready()
            await self._run_load()
        finally:
            await self.site.stop()
        self._check_runs()

    async def _run_load(self) -> None:
        loop = asyncio.get_running_loop()
        load_started_at = loop.time()
        async with (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
            ) as session,
            asyncio.TaskGroup() as tasks,
        ):
            for class_plan in self.scenario.classes:
                tasks.create_task(
                    self._generate_load(
                        tasks, session, class_plan, load_started_at
                    ),
                )
            for fault in self.scenario.faults:
                tasks.create_task(self._inject_fault(fault))
            speed_task = asyncio.create_task(self._vary_speed())
            await asyncio.sleep(self.scenario.seconds)
            speed_task.cancel()

    async def _generate_load(
        self,
        tasks: asyncio.TaskGroup,
        session: aiohttp.ClientSession,
        class_plan: ClassPlan,
        load_started_at: float,
    ) -> None:
        """Start requests of one class at random times until the end."""
        loop = asyncio.get_running_loop()
        while loop.time() - load_started_at < self.scenario.seconds:
            tasks.create_task(
                self._send_with_retry(session, class_plan, load_started_at)
            )
            await asyncio.sleep(self.random.expovariate(class_plan.per_s))

    async def _send_with_retry(
        self,
        session: aiohttp.ClientSession,
        class_plan: ClassPlan,
        load_started_at: float,
    ) -> None:
        """Send one request; retry it once if that is safe."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        deadline = sent_at + class_plan.deadline_ms / MS_PER_S
        result = 'failed'
        for _ in range(2):
            status, retry_after_s = await self._send_attempt(
                session, class_plan, deadline
            )
            if status == 200:
                latency_ms = (loop.time() - sent_at) * MS_PER_S
                result = (
                    'in time'
                    if latency_ms <= class_plan.objective_ms
                    else 'late'
                )
                break
            result = 'refused' if status in NOT_RUN else 'failed'
            may_retry = class_plan.kind != 'non_idempotent' or status in NOT_RUN
            remaining_s = deadline - loop.time()
            if not may_retry or remaining_s <= 0:
                break
            await asyncio.sleep(min(retry_after_s, remaining_s / 3))
        self.outcomes.append(
            Outcome(
                class_plan.name,
                sent_at - load_started_at,
                (loop.time() - sent_at) * MS_PER_S,
                result,
            ),
        )

    async def _send_attempt(
        self,
        session: aiohttp.ClientSession,
        class_plan: ClassPlan,
        deadline: float,
    ) -> tuple[int, float]:
        """Send an attempt to a random node that is not being stopped.

        Returns the status, 0 if there was no answer, and the time in seconds
        that the node asks callers to wait before a retry.
        """
        loop = asyncio.get_running_loop()
        machine = self.random.choice(
            [node for node in self.nodes if not node.stopping] or self.nodes,
        )
        attempt_id = uuid.UUID(int=self.random.getrandbits(128)).hex
        self.route_types[attempt_id] = class_plan.kind
        remaining_s = deadline - loop.time()
        headers = {
            'Host': HOST,
            ATTEMPT_ID_HEADER: attempt_id,
            DEADLINE_HEADER: str(max(int(remaining_s * MS_PER_S), 1)),
        }
        method = 'POST' if class_plan.kind == 'non_idempotent' else 'GET'
        url = f'http://{machine.address("outbound")}/{class_plan.name}/x'
        try:
            async with asyncio.timeout_at(deadline):
                async with session.request(
                    method,
                    url,
                    headers=headers,
                ) as answer:
                    await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, 0
        self._check_answer(attempt_id, answer)
        return answer.status, float(answer.headers.get('Retry-After', '0'))

    def _check_answer(
        self,
        attempt_id: str,
        answer: aiohttp.ClientResponse,
    ) -> None:
        """Check the seal of an answer; record an attempt refused as not run."""
        seal = answer.headers.get(RESPONSE_SEAL_HEADER, '')
        if answer.status == 200 and not seal.endswith(f'.{attempt_id}'):
            self.violations.append(
                f'{attempt_id}: got an answer with the seal {seal}'
            )
        if answer.status in NOT_RUN:
            self.refused_statuses[attempt_id] = str(answer.status)

    async def _inject_fault(self, fault: FaultPlan) -> None:
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
                target.sends_foreign_answers = True
                await asyncio.sleep(fault.for_s)
                target.sends_foreign_answers = False

    async def _stop_node(self, machine: Machine, for_s: float) -> None:
        """Stop a node as the platform does, then start it again."""
        machine.stopping = True
        machine.terminate()
        while not machine.ended:
            await asyncio.sleep(0.05)
        await asyncio.sleep(for_s)
        machine.start()
        await self.site.wait_until_node_ready(machine)
        machine.stopping = False

    async def _evacuate(self, fault: FaultPlan) -> None:
        zone = self.scenario.zones[fault.index]
        await self.site.call_operator_api(f'evacuate.start&of={zone}')
        evacuated_targets = [
            target
            for target in self.site.targets
            if target.machine.zone == zone
        ]
        await asyncio.sleep(EVACUATION_LIMIT_S)
        runs_before = _total_runs(evacuated_targets)
        await asyncio.sleep(max(fault.for_s - EVACUATION_LIMIT_S, 0.5))
        if _total_runs(evacuated_targets) > runs_before:
            self.violations.append(
                f"data centre '{zone}' ran requests while evacuated"
            )
        await self.site.call_operator_api(f'evacuate.end&of={zone}')

    async def _vary_speed(self) -> None:
        """Slow down random targets; choose others after random intervals."""
        noise = self.scenario.noise
        if not noise.share:
            return
        mean_interval_s = noise.every_ms / MS_PER_S
        while True:
            for target in self.site.targets:
                slow = self.random.random() < noise.share
                target.slowdown = noise.factor if slow else 1
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * mean_interval_s)

    def _check_runs(self) -> None:
        """Check that each non-idempotent attempt ran at most once.

        An attempt that was refused must not have run at all.
        """
        runs: Counter[str] = Counter()
        for target in self.site.targets:
            runs.update(target.runs)
            self.violations.extend(target.request_errors)
        for attempt_id, count in runs.items():
            if self.route_types.get(attempt_id) != 'non_idempotent':
                continue
            if count > 1:
                self.violations.append(f'{attempt_id}: ran {count} times')
            if attempt_id in self.refused_statuses:
                status = self.refused_statuses[attempt_id]
                self.violations.append(
                    f'{attempt_id}: ran, although refused with {status}'
                )


def add_machines(site: Site, scenario: Scenario) -> None:
    """Add the machines of a scenario to a site: control hosts and nodes."""
    zones = scenario.zones
    hosts = scenario.control_hosts or [1] * len(zones)
    for index, zone in enumerate(zones):
        for _ in range(hosts[index]):
            site.add(zone, 'control')
        for service in scenario.services:
            counts = service.targets
            for _ in range(
                counts if isinstance(counts, int) else counts[index]
            ):
                site.add(zone, 'node', service.name)


def first_configuration(scenario: Scenario) -> dict[str, Any]:
    """Return the first configuration in the platform's format."""
    routes = [
        {
            'resource_type': 'routes',
            'metadata': {'name': class_plan.name},
            'spec': {
                'host': HOST,
                'path_prefix': f'/{class_plan.name}/',
                'route_type': class_plan.kind,
                'timeout': f'{class_plan.deadline_ms:.0f}ms',
                'target_latency': f'{class_plan.objective_ms:.0f}ms',
                'priority': class_plan.priority,
                'service': class_plan.service,
                'max_attempts': 2,
            },
        }
        for class_plan in scenario.classes
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
        for service in scenario.services
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


def _total_runs(targets: list[Target]) -> int:
    return sum(target.runs.total() for target in targets)


@click.command()
@click.argument('scenario', type=click.Path(path_type=Path))
@click.option(
    '--report',
    type=click.Path(path_type=Path),
    help='HTML file to which a report with plots is written.',
)
def main(scenario: Path, report: Path | None) -> None:
    """Run a scenario and exit with 0 if all guarantees were met."""
    loaded = load_scenario(scenario)
    with tempfile.TemporaryDirectory() as folder:
        emulation = asyncio.run(_run(loaded, Path(folder)))
    click.echo(format_table(emulation.outcomes))
    for violation in emulation.violations:
        click.echo(f'violation: {violation}')
    click.echo(f'{len(emulation.violations)} guarantees violated')
    if report is not None:
        title = f'Scenario {scenario.stem}'
        write_report(report, emulation.outcomes, emulation.violations, title)
    sys.exit(1 if emulation.violations else 0)


if __name__ == '__main__':
    main()
