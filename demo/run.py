"""Runs one deployment: traffic, a data centre out and back, verdicts."""

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

from demo.callers import Callers, Record, table
from demo.plan import Deployment
from demo.relay import LinkPlan
from demo.spans import print_spans, send_traced
from standins.cluster import (
    Cluster,
    NodePlan,
    answers,
    free_port,
    wait_until,
)

RATE: Final = 150
STEADY_S: Final = 3
OUT_BOUND_S: Final = 5
OUT_S: Final = 9
BACK_S: Final = 4
EXAMPLES: Final = Path(__file__).parents[1] / 'examples'


class Demo:
    """One deployment on loopback.

    Parameters
    ----------
    deployment : Deployment
        What runs.
    folder : Path
        Folder for settings, logs and data.
    traced : bool
        Whether one request is traced and its spans are printed.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        *,
        traced: bool,
    ) -> None:
        """Plan all processes."""
        self._deployment = deployment
        self._folder = folder
        self._traced = traced
        self._cluster = Cluster(folder)
        self._links: list[LinkPlan] = []
        self._urls: list[str] = []
        self._broken: list[str] = []
        self._relay: subprocess.Popen[bytes] | None = None
        centres = cycle(enumerate(deployment.data_centres, 1))
        upstreams = [
            service
            for service in deployment.services
            for _ in range(service.upstreams)
        ]
        for index, service in enumerate(upstreams, 1):
            number, centre = next(centres)
            node = self._add_node(f'{service.name}-{index}', number, centre)
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
        """Run everything; return the number of broken promises."""
        self._start()
        try:
            async with aiohttp.ClientSession() as session:
                await self._configure(session)
                await self._wait_ready(session)
                await self._measure(session)
                if self._traced:
                    await send_traced(session, self._deployment, self._urls)
        finally:
            self._stop()
        if self._traced:
            print_spans(self._folder)
        for line in self._broken:
            print(f'BROKEN: {line}')
        return len(self._broken)

    def _add_node(self, name: str, number: int, centre: str) -> NodePlan:
        host = f'127.0.{number}.{len(self._links) + 1}'
        node = self._cluster.add_node(name, centre, host)
        inner, http = free_port(host), free_port(host)
        node.settings['advertise_inner'] = f'{host}:{inner}'
        if self._traced:
            node.settings['trace_file'] = str(self._folder / f'{name}.spans')
        plan = self._deployment
        self._links.append(
            LinkPlan(
                host, node.inner, inner, plan.between_ms, f'127.0.{number}.'
            ),
        )
        self._links.append(LinkPlan(host, node.http, http, plan.caller_ms))
        self._urls.append(f'http://{host}:{http}')
        return node

    def _start(self) -> None:
        text = msgspec.json.encode(self._links).decode()
        self._relay = subprocess.Popen(
            [sys.executable, '-m', 'demo.relay', text],
        )
        self._cluster.start()

    def _stop(self) -> None:
        self._cluster.stop()
        if self._relay is not None:
            self._relay.kill()
            self._relay.wait()

    async def _configure(self, session: aiohttp.ClientSession) -> None:
        """Put the example's templates and team by the operators' commands."""
        api = self._cluster.api
        await wait_until(
            lambda: answers(session, f'{api}/v1/configuration', ''),
        )
        example = EXAMPLES / self._deployment.team
        for template in sorted(example.glob('template-*.json')):
            await self._command('template', 'put', str(template))
        await self._command('team', 'put', str(example / 'team.json'))

    async def _command(self, *words: str) -> None:
        """Run one of the operators' commands until it is in force."""
        apis = (
            word
            for address in self._cluster.control_http.values()
            for word in ('--api', f'http://{address}')
        )
        command = (*self._cluster.program, *words, '--wait', *apis)
        started = await asyncio.create_subprocess_exec(
            *command,
            stdout=asyncio.subprocess.DEVNULL,
        )
        if await started.wait():
            self._broken.append(f"the command '{' '.join(words)}' failed")

    async def _wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until each node has answered a request of each service."""
        for url in self._urls:
            for service in self._deployment.services:
                host = f'{service.name}.{self._deployment.team}'
                await wait_until(
                    lambda url=url, host=host: answers(session, url, host),
                )

    async def _measure(self, session: aiohttp.ClientSession) -> None:
        plan = self._deployment
        callers = Callers(plan, self._urls, RATE)
        running = asyncio.create_task(callers.run())
        await asyncio.sleep(STEADY_S)
        out_at = time.monotonic()
        await self._command('take-out', 'data-centre', plan.leaves)
        await asyncio.sleep(OUT_BOUND_S)
        before = await self._work_in(session, plan.leaves)
        await asyncio.sleep(OUT_S - OUT_BOUND_S)
        late = await self._work_in(session, plan.leaves) - before
        await self._command('return', 'data-centre', plan.leaves)
        back_at = time.monotonic()
        await asyncio.sleep(BACK_S)
        callers.stop()
        await running
        stats = await self._stats(session)
        self._judge(callers.records, stats, late)
        self._print(callers.records, stats, late, (out_at, back_at))

    async def _stats(
        self, session: aiohttp.ClientSession
    ) -> dict[str, dict[str, Any]]:
        found = {}
        for name, target in self._cluster.targets.items():
            url = f'http://{target.host}:{target.port}/_stats'
            async with session.get(url) as response:
                found[name] = await response.json()
        return found

    async def _work_in(
        self, session: aiohttp.ClientSession, data_centre: str
    ) -> int:
        stats = await self._stats(session)
        return sum(
            sum(stats[name]['executions'].values())
            for name, target in self._cluster.targets.items()
            if target.data_centre == data_centre
        )

    def _judge(
        self,
        records: list[Record],
        stats: dict[str, dict[str, Any]],
        late: int,
    ) -> None:
        """Note each promise that was broken."""
        executions: Counter[str] = Counter()
        for found in stats.values():
            executions.update(found['executions'])
        checks = {
            'answers that were not whole or not their own': [
                record for record in records if record.verdict == 'wrong'
            ],
            'requests without an answer': [
                record for record in records if record.verdict == 'lost'
            ],
            'requests told "not run" that ran': [
                record
                for record in records
                if record.verdict == 'refused' and executions[record.execution]
            ],
            'requests that ran more than once but must not': [
                record
                for record in records
                if record.kind.keyed and executions[record.execution] > 1
            ],
        }
        self._broken += [
            f'{len(found)} {name}' for name, found in checks.items() if found
        ]
        if late:
            self._broken.append(
                f'{late} requests ran at a data centre that was out',
            )
        self._broken += [
            f'target {name} got more than it bore while cold'
            for name, found in stats.items()
            if found['peak_cold'] and found['overruns']
        ]

    def _print(
        self,
        records: list[Record],
        stats: dict[str, dict[str, Any]],
        late: int,
        absent: tuple[float, float],
    ) -> None:
        plan = self._deployment
        rows = table(records)
        print(f'\n{plan.team}: {len(self._urls)} nodes, {RATE} requests/s')
        print(''.join(f'{name:>13}' for name in rows[0]))
        for row in rows:
            print(''.join(f'{text!s:>13}' for text in row.values()))
        codes = Counter(record.code for record in records if record.code)
        meanwhile = [
            record
            for record in records
            if absent[0] <= record.sent_at <= absent[1]
        ]
        whole = sum(record.verdict == 'whole' for record in meanwhile)
        probes = sum(found['probes'] for found in stats.values())
        print(f'codes: {dict(codes)}')
        print(f'probes spent: {probes}')
        print(
            f"while '{plan.leaves}' was out: "
            f'{whole} of {len(meanwhile)} answered whole',
        )
        print(f"new work at '{plan.leaves}' after {OUT_BOUND_S} s: {late}")


def run(deployment: Deployment, *, traced: bool) -> int:
    """Run one deployment; return the number of broken promises."""
    with tempfile.TemporaryDirectory(prefix='lycheespar-') as folder:
        return asyncio.run(Demo(deployment, Path(folder), traced=traced).run())
