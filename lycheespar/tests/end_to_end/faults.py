"""A deployment under random faults, with a record of all requests.

Control hosts, nodes and targets are processes. Nodes reach each other through
links that can silently discard traffic. The seed determines the faults.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import shutil
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

import aiohttp
import msgspec

from standins.cluster import (
    Cluster,
    NodePlan,
    answers_with_status,
    submit_configuration_change,
    wait_until,
)
from standins.journal import Entry, read_journal
from standins.link import Link
from standins.target import EXECUTION_HEADER

HOST: Final = 'records.vlotwacht'
DATA_CENTRES: Final = ('ijmuiden', 'rotterdam', 'den-helder')
# Time within which a data centre that is taken out stops getting calls: the age
# at which a node regards its configuration as stale, and time for calls that
# were sent before.
OUT_WITHIN_S: Final = 8
SEND_TIMEOUT_S: Final = 6
MAX_SENDS: Final = 4
PAUSE_S: Final = 0.3


class RequestRecord(msgspec.Struct):
    """A request and the outcomes of all its sends.

    Attributes
    ----------
    execution : str
        Execution id, the same in all sends.
    kind : str
        ``lookup``, ``booking`` (keyed) or ``unkeyed``.
    outcomes : list[str]
        One outcome for each send: ``complete``, ``wrong`` (the answer of
        another request, or a truncated one), ``not_run``, ``unknown`` or
        ``lost``.
    """

    execution: str
    kind: str
    outcomes: list[str]


class OutPeriod(msgspec.Struct):
    """A period in which a data centre was taken out.

    Attributes
    ----------
    data_centre : str
        Its name.
    began, ended : float
        When the change was accepted and when the return of the data centre
        was requested, in seconds of the monotonic clock; `ended` is infinite
        until then.
    """

    data_centre: str
    began: float
    ended: float = float('inf')


class Deployment:
    """Six targets in three data centres, and three control hosts.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs, data and journals.
    seed : int
        Seed of requests and faults.
    """

    def __init__(self, folder: Path, seed: int) -> None:
        """Choose ports for the control hosts; `start` starts all processes."""
        self.cluster = Cluster(folder, control_hosts=3)
        self.history: list[RequestRecord] = []
        self.out_periods: list[OutPeriod] = []
        self.accepted_revisions: list[int] = []
        self.faults: list[str] = []
        self._fault_random = random.Random(seed)
        # A separate generator: the number of requests differs between runs and
        # must not affect the faults.
        self._request_random = random.Random(seed)
        self._numbers = itertools.count()
        self._links: list[Link] = []
        self._stopped = asyncio.Event()

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start all processes and wait until each node answers a request."""
        for index in range(6):
            await self._add_node(f'node-{index}', DATA_CENTRES[index % 3])
        self.cluster.start()
        api = self.cluster.api
        await wait_until(
            lambda: answers_with_status(session, f'{api}/v1/configuration', ''),
        )
        routes = [
            {'method': 'GET', 'idempotent': True},
            {'idempotent': False, 'deadline_ms': 3000},
        ]
        await self.change(
            session,
            'put_template',
            template={
                'name': 'records',
                'routes': routes,
                'parameters': {'cold_start_s': 1},
            },
        )
        services = {'records': {'template': 'records'}}
        team = {'name': 'vlotwacht', 'services': services}
        await self.change(session, 'put_team', team=team)
        await self.wait_healthy(session)

    async def stop(self) -> None:
        """Stop all processes and links."""
        self.cluster.stop()
        for link in self._links:
            await link.stop()

    async def wait_healthy(self, session: aiohttp.ClientSession) -> None:
        """Wait until each node answers a request."""
        for node in self.cluster.nodes.values():
            url = f'{node.url}/health'
            await wait_until(
                lambda url=url: answers_with_status(session, url, HOST),
                timeout_s=30,
            )

    async def run(self, session: aiohttp.ClientSession, faults: int) -> None:
        """Send requests while a number of faults occur one after the other."""
        callers = [
            asyncio.create_task(self._send_until_stopped(session))
            for _ in range(8)
        ]
        for _ in range(faults):
            await self._inject_fault(session)
            await asyncio.sleep(self._fault_random.uniform(0, 1))
        self._stopped.set()
        await asyncio.gather(*callers)

    async def change(
        self,
        session: aiohttp.ClientSession,
        kind: str,
        **fields: Any,
    ) -> None:
        """Submit a change to each control host in turn until one accepts it."""
        for address in itertools.cycle(self.cluster.control_http.values()):
            api = f'http://{address}'
            try:
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    revision = await submit_configuration_change(
                        session, api, kind, **fields
                    )
            except (aiohttp.ClientError, OSError, KeyError, AssertionError):
                await asyncio.sleep(PAUSE_S)
            else:
                self.accepted_revisions.append(revision)
                return

    def read_journals(self) -> dict[str, list[Entry]]:
        """Return the journal entries of each target."""
        return {
            name: list(read_journal(Path(plan.journal)))
            for name, plan in self.cluster.targets.items()
            if Path(plan.journal).exists()
        }

    async def _add_node(self, name: str, data_centre: str) -> None:
        node = self.cluster.add_node(name, data_centre)
        link = Link(node.host, node.inner)
        await link.start(node.host)
        self._links.append(link)
        host, port = link.address
        node.settings['advertise_inner'] = f'{host}:{port}'
        node.settings['data_folder'] = str(self.cluster.folder / name)
        self.cluster.add_target(
            node,
            team='vlotwacht',
            service='records',
            cold_s=0.8,
            journal=str(self.cluster.folder / f'{name}.journal'),
        )

    async def _send_until_stopped(
        self,
        session: aiohttp.ClientSession,
    ) -> None:
        while not self._stopped.is_set():
            kind = self._request_random.choice(('lookup', 'booking', 'unkeyed'))
            record = RequestRecord(f'{kind}-{next(self._numbers)}', kind, [])
            self.history.append(record)
            await self._send_with_resends(session, record)
            await asyncio.sleep(self._request_random.uniform(0, 0.03))

    async def _send_with_resends(
        self,
        session: aiohttp.ClientSession,
        record: RequestRecord,
    ) -> None:
        """Send a request; resend one with a key through random nodes."""
        sends = MAX_SENDS if record.kind == 'booking' else 1
        for _ in range(sends):
            node = self._request_random.choice(
                list(self.cluster.nodes.values())
            )
            outcome = await _send(session, node, record)
            record.outcomes.append(outcome)
            if outcome == 'complete':
                return
            await asyncio.sleep(self._request_random.uniform(0, PAUSE_S))

    async def _inject_fault(self, session: aiohttp.ClientSession) -> None:
        """Cause a random fault and end it."""
        name = self._fault_random.choice(
            (
                'kill_node',
                'kill_target',
                'freeze_node',
                'silence_link',
                'kill_control',
                'freeze_control',
                'lose_disk',
                'data_centre_out',
            ),
        )
        self.faults.append(name)
        match name:
            case 'kill_node':
                node = self._fault_random.choice(
                    list(self.cluster.nodes.values())
                )
                self.cluster.processes[node.name].kill()
                await asyncio.sleep(PAUSE_S)
                self.cluster.start_node(node)
            case 'kill_target':
                plan = self._fault_random.choice(
                    list(self.cluster.targets.values())
                )
                self.cluster.processes[plan.name].kill()
                await asyncio.sleep(PAUSE_S)
                self.cluster.start_target(plan)
            case 'freeze_node':
                await self._freeze(
                    self._fault_random.choice(list(self.cluster.nodes))
                )
            case 'silence_link':
                self._fault_random.choice(self._links).discard_open_traffic()
            case 'data_centre_out':
                await self._take_out_and_return(session)
            case _:
                await self._inject_control_fault(name)

    async def _inject_control_fault(self, name: str) -> None:
        host = self._fault_random.choice(list(self.cluster.control_peers))
        if name == 'freeze_control':
            await self._freeze(host)
            return
        self.cluster.processes[host].kill()
        if name == 'lose_disk':
            await self._wait_for_control_leader()
            shutil.rmtree(self.cluster.folder / host)
        await asyncio.sleep(PAUSE_S)
        self.cluster.start_control(host)
        await self._wait_for_control_leader(host)

    async def _wait_for_control_leader(self, host: str = '') -> None:
        """Wait until any control host, or a given one, is current and led."""
        async with aiohttp.ClientSession() as session:
            await wait_until(lambda: self._has_current_leader(session, host))

    async def _has_current_leader(
        self, session: aiohttp.ClientSession, host: str
    ) -> bool:
        """Whether any control host, or a given one, is current and led."""
        for name, address in self.cluster.control_http.items():
            if host not in {'', name}:
                continue
            try:
                async with session.get(f'http://{address}/v1/status') as reply:
                    found = await reply.json()
            except (aiohttp.ClientError, OSError):
                continue
            if found.get('leader') and found.get('current'):
                return True
        return False

    async def _freeze(self, name: str) -> None:
        process = self.cluster.processes[name]
        process.send(signal.SIGSTOP)
        await asyncio.sleep(self._fault_random.uniform(1, 3))
        process.send(signal.SIGCONT)

    async def _take_out_and_return(
        self, session: aiohttp.ClientSession
    ) -> None:
        name = self._fault_random.choice(DATA_CENTRES)
        await self.change(session, 'take_out_data_centre', name=name)
        period = OutPeriod(name, time.monotonic())
        self.out_periods.append(period)
        await asyncio.sleep(OUT_WITHIN_S + 1)
        period.ended = time.monotonic()
        await self.change(session, 'return_data_centre', name=name)


async def _send(
    session: aiohttp.ClientSession,
    node: NodePlan,
    record: RequestRecord,
) -> str:
    headers = {'Host': HOST, EXECUTION_HEADER: record.execution}
    if record.kind == 'booking':
        headers['Idempotency-Key'] = record.execution
    method = 'GET' if record.kind == 'lookup' else 'POST'
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            async with session.request(
                method,
                f'{node.url}/x?size=3000',
                headers=headers,
                data=None if method == 'GET' else b'{}',
            ) as response:
                return _outcome(response, await response.read(), record)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 'lost'


def _outcome(
    response: aiohttp.ClientResponse,
    body: bytes,
    record: RequestRecord,
) -> str:
    if response.headers.get('X-Lycheespar-Code'):
        return str(msgspec.json.decode(body)['outcome'])
    if response.status != 200:
        return 'unknown'
    is_own = body.startswith(f'{record.execution} '.encode())
    return 'complete' if is_own and len(body) == 3000 else 'wrong'


def find_violations(deployment: Deployment) -> list[str]:
    """Return a sentence for each guarantee that the run violated."""
    journals = deployment.read_journals()
    runs = Counter(
        entry.execution
        for entries in journals.values()
        for entry in entries
        if entry.kind == 'run'
    )
    return [
        *_request_violations(deployment.history, runs),
        *_runs_while_out(deployment, journals),
        *(
            f'{name} got more requests at once than it bears'
            for name, entries in journals.items()
            if any(entry.kind == 'overrun' for entry in entries)
        ),
    ]


def _request_violations(
    history: list[RequestRecord], runs: Counter[str]
) -> list[str]:
    found = []
    for record in history:
        ran = runs[record.execution]
        if 'wrong' in record.outcomes:
            found.append(f'{record.execution}: wrong or truncated answer')
        if set(record.outcomes) == {'not_run'} and ran:
            found.append(
                f'{record.execution}: reported as not run, ran {ran} times'
            )
        if record.kind != 'lookup' and ran > 1:
            found.append(f'{record.execution}: ran {ran} times')
        if 'complete' in record.outcomes and not ran:
            found.append(f'{record.execution}: answered, but never ran')
    return found


def _runs_while_out(
    deployment: Deployment,
    journals: dict[str, list[Entry]],
) -> list[str]:
    return [
        f'{name} ran {entry.execution} while {period.data_centre} was out'
        for period in deployment.out_periods
        for name, entries in journals.items()
        if deployment.cluster.targets[name].data_centre == period.data_centre
        for entry in entries
        if period.began + OUT_WITHIN_S < entry.at < period.ended
    ]
