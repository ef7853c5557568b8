"""Runs one deployment under load while a data centre is out of service.

The data centre is taken out and returned; then the guarantees are checked.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import tempfile
import time
from collections import Counter
from itertools import cycle
from pathlib import Path
from typing import Any, Final

import aiohttp
import msgspec

from demo.links import LinkPlan
from demo.load_generator import LoadGenerator, Record, summarise_by_class
from demo.plan import Deployment
from demo.spans import print_largest_trace, send_traced_requests
from standins.cluster import (
    Cluster,
    NodePlan,
    answers_with_status,
    free_port,
    wait_until,
)

# Requests per second.
RATE: Final = 150
# Time under load before the data centre is taken out.
STEADY_S: Final = 3
# Time after which a data centre that was taken out must get no requests.
DRAIN_LIMIT_S: Final = 5
# Time for which the data centre is out.
OUT_S: Final = 9
# Time under load after the data centre was returned.
BACK_S: Final = 4
EXAMPLES: Final = Path(__file__).parents[1] / 'examples'


class Demo:
    """Runs one deployment on the loopback network.

    Parameters
    ----------
    deployment : Deployment
        Deployment to run.
    folder : Path
        Folder for settings, logs and data of the processes.
    traced : bool
        Whether to trace requests and print the spans of one.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        *,
        traced: bool,
    ) -> None:
        """Plan the nodes, targets and links; `run` starts them."""
        self._deployment = deployment
        self._folder = folder
        self._traced = traced
        self._cluster = Cluster(folder)
        self._links: list[LinkPlan] = []
        self._urls: list[str] = []
        self._violations: list[str] = []
        self._links_process: subprocess.Popen[bytes] | None = None
        data_centres = cycle(enumerate(deployment.data_centres, 1))
        services = [
            service
            for service in deployment.services
            for _ in range(service.targets)
        ]
        for index, service in enumerate(services, 1):
            network, data_centre = next(data_centres)
            node = self._add_node(
                f'{service.name}-{index}', network, data_centre
            )
            self._cluster.add_target(
                node,
                team=deployment.team,
                service=service.name,
                slots=service.slots,
                connections=service.connections,
                service_ms=service.service_ms,
                cold_s=1,
            )

    async def run(self) -> int:
        """Run the demonstration; return the number of violated guarantees."""
        self._start()
        try:
            async with aiohttp.ClientSession() as session:
                await self._configure(session)
                await self._wait_ready(session)
                await self._run_load(session)
                if self._traced:
                    await send_traced_requests(
                        session, self._deployment, self._urls
                    )
        finally:
            self._stop()
        if self._traced:
            print_largest_trace(self._folder)
        for line in self._violations:
            print(f'VIOLATION: {line}')
        return len(self._violations)

    def _add_node(self, name: str, network: int, data_centre: str) -> NodePlan:
        host = f'127.0.{network}.{len(self._links) + 1}'
        node = self._cluster.add_node(name, data_centre, host)
        inner, http = free_port(host), free_port(host)
        node.settings['advertise_inner'] = f'{host}:{inner}'
        if self._traced:
            node.settings['trace_file'] = str(self._folder / f'{name}.spans')
        deployment = self._deployment
        self._links.append(
            LinkPlan(
                host,
                node.inner,
                inner,
                deployment.inter_data_centre_ms,
                f'127.0.{network}.',
            ),
        )
        self._links.append(
            LinkPlan(host, node.http, http, deployment.caller_ms)
        )
        self._urls.append(f'http://{host}:{http}')
        return node

    def _start(self) -> None:
        text = msgspec.json.encode(self._links).decode()
        self._links_process = subprocess.Popen(
            [sys.executable, '-m', 'demo.links', text],
        )
        self._cluster.start()

    def _stop(self) -> None:
        self._cluster.stop()
        if self._links_process is not None:
            self._links_process.kill()
            self._links_process.wait()

    async def _configure(self, session: aiohttp.ClientSession) -> None:
        """Store the example's templates and team with operators' commands."""
        api = self._cluster.api
        await wait_until(
            lambda: answers_with_status(session, f'{api}/v1/configuration', ''),
        )
        example = EXAMPLES / self._deployment.team
        for template in sorted(example.glob('template-*.json')):
            await self._run_command('template', 'put', str(template))
        await self._run_command('team', 'put', str(example / 'team.json'))

    async def _run_command(self, *arguments: str) -> None:
        """Run an operators' command and wait until its change is in force."""
        api_arguments = (
            argument
            for address in self._cluster.control_http.values()
            for argument in ('--api', f'http://{address}')
        )
        command = (*self._cluster.program, *arguments, '--wait', *api_arguments)
        process = await asyncio.create_subprocess_exec(
            *command,
            stdout=asyncio.subprocess.DEVNULL,
        )
        if await process.wait():
            self._violations.append(
                f"the command '{' '.join(arguments)}' failed"
            )

    async def _wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until each node has answered a request of each service."""
        for url in self._urls:
            for service in self._deployment.services:
                host = f'{service.name}.{self._deployment.team}'
                await wait_until(
                    lambda url=url, host=host: answers_with_status(
                        session, url, host
                    ),
                )

    async def _run_load(self, session: aiohttp.ClientSession) -> None:
        deployment = self._deployment
        generator = LoadGenerator(deployment, self._urls, RATE)
        load_task = asyncio.create_task(generator.run())
        await asyncio.sleep(STEADY_S)
        out_at = time.monotonic()
        await self._run_command('take-out', 'data-centre', deployment.taken_out)
        await asyncio.sleep(DRAIN_LIMIT_S)
        runs_before = await self._executions_in(session, deployment.taken_out)
        await asyncio.sleep(OUT_S - DRAIN_LIMIT_S)
        late_runs = (
            await self._executions_in(session, deployment.taken_out)
            - runs_before
        )
        await self._run_command('return', 'data-centre', deployment.taken_out)
        back_at = time.monotonic()
        await asyncio.sleep(BACK_S)
        generator.stop()
        await load_task
        stats = await self._fetch_stats(session)
        self._check_guarantees(generator.records, stats, late_runs)
        self._print_summary(
            generator.records, stats, late_runs, (out_at, back_at)
        )

    async def _fetch_stats(
        self, session: aiohttp.ClientSession
    ) -> dict[str, dict[str, Any]]:
        stats = {}
        for name, target in self._cluster.targets.items():
            url = f'http://{target.host}:{target.port}/_stats'
            async with session.get(url) as response:
                stats[name] = await response.json()
        return stats

    async def _executions_in(
        self, session: aiohttp.ClientSession, data_centre: str
    ) -> int:
        stats = await self._fetch_stats(session)
        return sum(
            sum(stats[name]['executions'].values())
            for name, target in self._cluster.targets.items()
            if target.data_centre == data_centre
        )

    def _check_guarantees(
        self,
        records: list[Record],
        stats: dict[str, dict[str, Any]],
        late_runs: int,
    ) -> None:
        """Record each guarantee that was violated."""
        executions: Counter[str] = Counter()
        for target_stats in stats.values():
            executions.update(target_stats['executions'])
        checks = {
            'answers were incomplete or belonged to another request': [
                record for record in records if record.verdict == 'wrong'
            ],
            'requests got no answer': [
                record for record in records if record.verdict == 'lost'
            ],
            'requests were refused as not run, but ran': [
                record
                for record in records
                if record.verdict == 'refused' and executions[record.execution]
            ],
            'requests with an idempotency key ran more than once': [
                record
                for record in records
                if record.kind.keyed and executions[record.execution] > 1
            ],
        }
        self._violations += [
            f'{len(violating)} {violation}'
            for violation, violating in checks.items()
            if violating
        ]
        if late_runs:
            self._violations.append(
                f'{late_runs} requests ran at the data centre that was out',
            )
        self._violations += [
            f"target '{name}' ran requests while cold and exceeded its limit"
            for name, target_stats in stats.items()
            if target_stats['peak_cold'] and target_stats['overruns']
        ]

    def _print_summary(
        self,
        records: list[Record],
        stats: dict[str, dict[str, Any]],
        late_runs: int,
        out_interval: tuple[float, float],
    ) -> None:
        deployment = self._deployment
        rows = summarise_by_class(records)
        print(
            f'\n{deployment.team}: {len(self._urls)} nodes, {RATE} requests/s'
        )
        print(''.join(f'{name:>13}' for name in rows[0]))
        for row in rows:
            print(''.join(f'{text!s:>13}' for text in row.values()))
        codes = Counter(record.code for record in records if record.code)
        sent_while_out = [
            record
            for record in records
            if out_interval[0] <= record.sent_at <= out_interval[1]
        ]
        complete = sum(
            record.verdict == 'complete' for record in sent_while_out
        )
        probes = sum(target_stats['probes'] for target_stats in stats.values())
        print(f'failures by code: {dict(codes)}')
        print(f'probes received by targets: {probes}')
        print(
            f"while '{deployment.taken_out}' was out: {complete} of "
            f'{len(sent_while_out)} requests got a complete answer',
        )
        print(
            f"requests run at '{deployment.taken_out}' later than "
            f'{DRAIN_LIMIT_S} s after it was taken out: {late_runs}',
        )


def run(deployment: Deployment, *, traced: bool) -> int:
    """Run one deployment; return the number of violated guarantees."""
    with tempfile.TemporaryDirectory(prefix='lycheespar-') as folder:
        return asyncio.run(Demo(deployment, Path(folder), traced=traced).run())
