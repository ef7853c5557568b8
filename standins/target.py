"""Stand-in for a target: announces itself, bears little while cold."""

from __future__ import annotations

import asyncio
import random
import sys
import uuid
from collections import Counter
from typing import Any, Final

import aiohttp
import msgspec
from aiohttp import web

from standins.journal import Journal

EXECUTION_HEADER: Final = 'X-Execution-Id'
MS_PER_S: Final = 1000
CHUNK: Final = b'x' * 16384


class TargetPlan(msgspec.Struct):
    """What a stand-in target is and how it behaves.

    Attributes
    ----------
    name, team, service, data_centre : str
        Who the target is.
    host : str
        IP number of its HTTP server.
    port : int
        Port of its HTTP server, 0 for any free one.
    announce : str
        ``host:port`` of its node's announcement API.
    slots : int
        Requests that it bears at once.
    connections : int
        Connections that it bears at once.
    service_ms : float
        Mean time of one request in milliseconds.
    cold_s : float
        Seconds after the start for which it is cold.
    cold_slots : int
        Requests that it bears at once while cold.
    lease_s : float
        Lease of its announcements in seconds.
    seed : int
        Seed of its random numbers.
    journal : str
        File that keeps what it has run; empty for none.
    """

    name: str
    team: str
    service: str
    data_centre: str
    announce: str
    host: str = '127.0.0.1'
    port: int = 0
    slots: int = 12
    connections: int = 240
    service_ms: float = 5
    cold_s: float = 0
    cold_slots: int = 2
    lease_s: float = 3
    seed: int = 1
    journal: str = ''


class StandInTarget:
    """A target whose load and faults a test can steer.

    Attributes
    ----------
    executions : Counter[str]
        How often each execution id was started here.
    plan : TargetPlan
        Behaviour; may be changed at any time.
    failing : bool
        Whether each request fails at once.
    frozen : bool
        Whether requests are taken but never answered.
    truncating : bool
        Whether answers end before their declared length.
    hiding : bool
        Whether it announces that it is ready while it is cold.
    shedding : bool
        Whether each request is refused with status 503.
    load_frozen : bool
        Whether its load endpoint never answers.
    load_lies : bool
        Whether its load endpoint reports that it is full.
    """

    def __init__(self, plan: TargetPlan) -> None:
        """Prepare the target; `start` opens its port."""
        self.plan = plan
        self.executions: Counter[str] = Counter()
        self.failing = False
        self.frozen = False
        self.truncating = False
        self.hiding = False
        self.shedding = False
        self.load_frozen = False
        self.load_lies = False
        self.cancelled = 0
        self.running = 0
        self.peak = 0
        self.peak_cold = 0
        self.overruns = 0
        self.probes = 0
        self.phase = ''
        self.crash_paths: set[str] = set()
        self.on_crash: Any = None
        self._journal = Journal(plan.journal)
        self._random = random.Random(plan.seed)
        self._incarnation = uuid.uuid4().hex
        self._cold_until = 0.0
        self._runner = web.ServerRunner(
            web.Server(
                self._handle,
                access_log=None,
                handler_cancellation=True,
            ),
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def cold(self) -> bool:
        """Whether the target is cold now."""
        return asyncio.get_running_loop().time() < self._cold_until

    @property
    def address(self) -> str:
        """``host:port`` of the HTTP server."""
        return f'{self.plan.host}:{self.plan.port}'

    async def start(self) -> None:
        """Open the port, begin cold, and announce."""
        self.turn_cold()
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.plan.host, self.plan.port)
        await site.start()
        self.plan.port = self._runner.addresses[0][1]
        self._task = asyncio.create_task(self._announce())

    async def stop(self) -> None:
        """Close the port at once, as a crash would."""
        if self._task is not None:
            self._task.cancel()
        self._runner._kwargs['shutdown_timeout'] = 0
        await self._runner.cleanup()

    def turn_cold(self) -> None:
        """Begin a cold start without telling anyone."""
        now = asyncio.get_running_loop().time()
        self._cold_until = now + self.plan.cold_s

    def announcement(self) -> dict[str, Any]:
        """Return what the target says of itself."""
        plan = self.plan
        shown_cold = self.cold and not self.hiding
        return {
            'target': plan.name,
            'team': plan.team,
            'service': plan.service,
            'address': self.address,
            'slots': plan.slots,
            'connections': plan.connections,
            'phase': self.phase or ('cold' if shown_cold else 'ready'),
            'incarnation': self._incarnation,
            'lease_s': plan.lease_s,
            'load_path': '/load',
        }

    async def announce_now(self, session: aiohttp.ClientSession) -> None:
        """Announce once; a node that is away is tried again later."""
        url = f'http://{self.plan.announce}/v1/announce'
        try:
            async with session.post(url, json=self.announcement()):
                return
        except (aiohttp.ClientError, OSError):
            return

    def stats(self) -> dict[str, Any]:
        """Return the counters."""
        return {
            'name': self.plan.name,
            'executions': dict(self.executions),
            'peak': self.peak,
            'peak_cold': self.peak_cold,
            'overruns': self.overruns,
            'probes': self.probes,
            'cancelled': self.cancelled,
        }

    async def _announce(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self.announce_now(session)
                await asyncio.sleep(min(self.plan.lease_s / 3, 0.5))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        match request.path:
            case '/load':
                return await self._report_load()
            case '/_stats':
                return web.json_response(self.stats())
            case '/_set':
                return self._set(request)
            case _:
                return await self._work(request)

    async def _report_load(self) -> web.Response:
        self.probes += 1
        while self.load_frozen:
            await asyncio.sleep(0.05)
        running = self.plan.slots if self.load_lies else self.running
        load = {'running': running, 'slots': self.plan.slots}
        return web.json_response(load)

    def _set(self, request: web.BaseRequest) -> web.Response:
        """Change the behaviour by query parameters."""
        for name, text in request.query.items():
            if name == 'cold':
                self.turn_cold()
            elif hasattr(self.plan, name):
                setattr(self.plan, name, float(text))
            else:
                setattr(self, name, text == '1')
        return web.json_response(self.stats())

    async def _work(self, request: web.BaseRequest) -> web.StreamResponse:
        execution = request.headers.get(EXECUTION_HEADER, '')
        self.executions[execution] += 1
        self._journal.note('run', execution)
        if request.path in self.crash_paths and self.on_crash is not None:
            await self.on_crash()
        bears = self.plan.cold_slots if self.cold else self.plan.slots
        self.running += 1
        self.peak = max(self.peak, self.running)
        if self.cold:
            self.peak_cold = max(self.peak_cold, self.running)
        try:
            return await self._serve(request, execution, bears)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1

    async def _serve(
        self,
        request: web.BaseRequest,
        execution: str,
        bears: int,
    ) -> web.StreamResponse:
        if self.failing:
            return web.Response(status=500, text='fails fast')
        if self.shedding:
            headers = {'Retry-After': '7'}
            return web.Response(status=503, text='sheds', headers=headers)
        if self.running > bears:
            self.overruns += 1
            self._journal.note('overrun', execution)
            return web.Response(status=500, text='overrun')
        while self.frozen:
            await asyncio.sleep(0.05)
        received = 0
        async for chunk in request.content.iter_any():
            received += len(chunk)
        mean_ms = float(request.query.get('ms', self.plan.service_ms))
        await asyncio.sleep(
            self._random.gammavariate(4, mean_ms / 4) / MS_PER_S,
        )
        size = int(request.query.get('size', 0))
        return await self._answer(request, execution, received, size)

    async def _answer(
        self,
        request: web.BaseRequest,
        execution: str,
        received: int,
        size: int,
    ) -> web.StreamResponse:
        head = f'{execution} {received} '.encode()
        headers = {
            EXECUTION_HEADER: execution,
            'X-Target': self.plan.name,
            'X-Data-Centre': self.plan.data_centre,
        }
        length = max(size, len(head))
        response = web.StreamResponse(headers=headers)
        response.content_length = length
        await response.prepare(request)
        await response.write(head)
        left = length - len(head)
        while left > 0:
            await response.write(CHUNK[:left])
            left -= len(CHUNK)
            if self.truncating and request.transport is not None:
                request.transport.abort()
                return response
        await response.write_eof()
        return response


async def _serve_forever(plan: TargetPlan) -> None:
    target = StandInTarget(plan)
    await target.start()
    await asyncio.Event().wait()


def main() -> None:
    """Run one target; the plan is the first argument, as JSON."""
    plan = msgspec.json.decode(sys.argv[1], type=TargetPlan)
    asyncio.run(_serve_forever(plan))


if __name__ == '__main__':
    main()
