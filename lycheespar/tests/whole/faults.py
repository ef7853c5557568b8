"""A deployment under faults drawn from a seed, and the history of its callers.

Control hosts, nodes and targets are processes; nodes reach each other through
links that can go silent.
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

from standins.cluster import Cluster, NodePlan, answers, change, wait_until
from standins.journal import Entry, read_journal
from standins.link import Link
from standins.target import EXECUTION_HEADER

HOST: Final = 'records.vlotwacht'
DATA_CENTRES: Final = ('ijmuiden', 'rotterdam', 'den-helder')
# Time after which a data centre that is out gets no new work: the age at which
# a node doubts its configuration, and time for what was sent before.
OUT_BOUND_S: Final = 8
SEND_TIMEOUT_S: Final = 6
RESENDS: Final = 4
PAUSE_S: Final = 0.3


class Sent(msgspec.Struct):
    """One logical request and the outcomes of all its sends.

    Attributes
    ----------
    execution : str
        Execution id, the same in all sends.
    kind : str
        ``lookup``, ``booking`` (keyed) or ``unkeyed``.
    outcomes : list[str]
        ``whole``, ``wrong``, ``not_run``, ``unknown`` or ``lost`` a send.
    """

    execution: str
    kind: str
    outcomes: list[str]


class Absence(msgspec.Struct):
    """A time for which a data centre was out.

    Attributes
    ----------
    data_centre : str
        Its name.
    began, ended : float
        Instants of the monotonic clock in seconds, when the change was
        accepted and when its return was asked for.
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
        """Plan all processes."""
        self.cluster = Cluster(folder, control_hosts=3)
        self.history: list[Sent] = []
        self.absences: list[Absence] = []
        self.accepted: list[int] = []
        self.faults: list[str] = []
        self._schedule = random.Random(seed)
        # Apart, since the number of requests is not the same in each run.
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._links: list[Link] = []
        self._stopped = asyncio.Event()

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start all processes and wait until each node serves."""
        for index in range(6):
            await self._add_node(f'node-{index}', DATA_CENTRES[index % 3])
        self.cluster.start()
        api = self.cluster.api
        await wait_until(
            lambda: answers(session, f'{api}/v1/configuration', ''),
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
        """End all processes and links."""
        self.cluster.stop()
        for link in self._links:
            await link.stop()

    async def wait_healthy(self, session: aiohttp.ClientSession) -> None:
        """Wait until each node answers a request."""
        for node in self.cluster.nodes.values():
            url = f'{node.url}/health'
            await wait_until(
                lambda url=url: answers(session, url, HOST),
                timeout_s=30,
            )

    async def run(self, session: aiohttp.ClientSession, faults: int) -> None:
        """Send requests while so many faults happen one after the other."""
        callers = [
            asyncio.create_task(self._call_until_stopped(session))
            for _ in range(8)
        ]
        for _ in range(faults):
            await self._fault(session)
            await asyncio.sleep(self._schedule.uniform(0, 1))
        self._stopped.set()
        await asyncio.gather(*callers)

    async def change(
        self,
        session: aiohttp.ClientSession,
        kind: str,
        **fields: Any,
    ) -> None:
        """Make a change, through whichever control host answers."""
        for address in itertools.cycle(self.cluster.control_http.values()):
            api = f'http://{address}'
            try:
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    revision = await change(session, api, kind, **fields)
            except (aiohttp.ClientError, OSError, KeyError, AssertionError):
                await asyncio.sleep(PAUSE_S)
            else:
                self.accepted.append(revision)
                return

    def executions(self) -> dict[str, list[Entry]]:
        """Return what each target's journal holds."""
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

    async def _call_until_stopped(
        self,
        session: aiohttp.ClientSession,
    ) -> None:
        while not self._stopped.is_set():
            kind = self._random.choice(('lookup', 'booking', 'unkeyed'))
            sent = Sent(f'{kind}-{next(self._numbers)}', kind, [])
            self.history.append(sent)
            await self._send_until_known(session, sent)
            await asyncio.sleep(self._random.uniform(0, 0.03))

    async def _send_until_known(
        self,
        session: aiohttp.ClientSession,
        sent: Sent,
    ) -> None:
        """Send a request; a keyed one again, through other nodes."""
        sends = RESENDS if sent.kind == 'booking' else 1
        for _ in range(sends):
            node = self._random.choice(list(self.cluster.nodes.values()))
            outcome = await _send(session, node, sent)
            sent.outcomes.append(outcome)
            if outcome == 'whole':
                return
            await asyncio.sleep(self._random.uniform(0, PAUSE_S))

    async def _fault(self, session: aiohttp.ClientSession) -> None:
        """Let one fault, drawn from the seed, happen and end."""
        name = self._schedule.choice(
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
                node = self._schedule.choice(list(self.cluster.nodes.values()))
                self.cluster.processes[node.name].kill()
                await asyncio.sleep(PAUSE_S)
                self.cluster.start_node(node)
            case 'kill_target':
                plan = self._schedule.choice(
                    list(self.cluster.targets.values())
                )
                self.cluster.processes[plan.name].kill()
                await asyncio.sleep(PAUSE_S)
                self.cluster.start_target(plan)
            case 'freeze_node':
                await self._freeze(
                    self._schedule.choice(list(self.cluster.nodes))
                )
            case 'silence_link':
                self._schedule.choice(self._links).silence()
            case 'data_centre_out':
                await self._leave_and_return(session)
            case _:
                await self._disturb_control(name)

    async def _disturb_control(self, name: str) -> None:
        host = self._schedule.choice(list(self.cluster.control_peers))
        if name == 'freeze_control':
            await self._freeze(host)
            return
        self.cluster.processes[host].kill()
        if name == 'lose_disk':
            await self._await_voters()
            shutil.rmtree(self.cluster.folder / host)
        await asyncio.sleep(PAUSE_S)
        self.cluster.start_control(host)
        await self._await_voters(host)

    async def _await_voters(self, host: str = '') -> None:
        """Wait until the control hosts have settled after a fault."""
        async with aiohttp.ClientSession() as session:
            await wait_until(lambda: self._settled(session, host))

    async def _settled(self, session: aiohttp.ClientSession, host: str) -> bool:
        """Whether a control host leads, and a given one is current."""
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
        await asyncio.sleep(self._schedule.uniform(1, 3))
        process.send(signal.SIGCONT)

    async def _leave_and_return(self, session: aiohttp.ClientSession) -> None:
        name = self._schedule.choice(DATA_CENTRES)
        await self.change(session, 'take_out_data_centre', name=name)
        absence = Absence(name, time.monotonic())
        self.absences.append(absence)
        await asyncio.sleep(OUT_BOUND_S + 1)
        absence.ended = time.monotonic()
        await self.change(session, 'return_data_centre', name=name)


async def _send(
    session: aiohttp.ClientSession,
    node: NodePlan,
    sent: Sent,
) -> str:
    headers = {'Host': HOST, EXECUTION_HEADER: sent.execution}
    if sent.kind == 'booking':
        headers['Idempotency-Key'] = sent.execution
    method = 'GET' if sent.kind == 'lookup' else 'POST'
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            async with session.request(
                method,
                f'{node.url}/x?size=3000',
                headers=headers,
                data=None if method == 'GET' else b'{}',
            ) as response:
                return _outcome(response, await response.read(), sent)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 'lost'


def _outcome(
    response: aiohttp.ClientResponse,
    body: bytes,
    sent: Sent,
) -> str:
    if response.headers.get('X-Lycheespar-Code'):
        return str(msgspec.json.decode(body)['outcome'])
    if response.status != 200:
        return 'unknown'
    own = body.startswith(f'{sent.execution} '.encode())
    return 'whole' if own and len(body) == 3000 else 'wrong'


def broken_promises(deployment: Deployment) -> list[str]:
    """List what the history and the journals contradict."""
    journals = deployment.executions()
    runs = Counter(
        entry.execution
        for entries in journals.values()
        for entry in entries
        if entry.kind == 'run'
    )
    return [
        *_broken_requests(deployment.history, runs),
        *_late_work(deployment, journals),
        *(
            f'{name} got more than it bears'
            for name, entries in journals.items()
            if any(entry.kind == 'overrun' for entry in entries)
        ),
    ]


def _broken_requests(history: list[Sent], runs: Counter[str]) -> list[str]:
    found = []
    for sent in history:
        ran = runs[sent.execution]
        if 'wrong' in sent.outcomes:
            found.append(f'{sent.execution}: not its own whole answer')
        if set(sent.outcomes) == {'not_run'} and ran:
            found.append(f'{sent.execution}: told not run, ran {ran} times')
        if sent.kind != 'lookup' and ran > 1:
            found.append(f'{sent.execution}: ran {ran} times')
        if 'whole' in sent.outcomes and not ran:
            found.append(f'{sent.execution}: answered, never ran')
    return found


def _late_work(
    deployment: Deployment,
    journals: dict[str, list[Entry]],
) -> list[str]:
    return [
        f'{name} ran {entry.execution} in {absence.data_centre} when out'
        for absence in deployment.absences
        for name, entries in journals.items()
        if deployment.cluster.targets[name].data_centre == absence.data_centre
        for entry in entries
        if absence.began + OUT_BOUND_S < entry.at < absence.ended
    ]
