"""Stand-in target: an HTTP server with faults that a test controls."""

from __future__ import annotations

import asyncio
import os
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
CRASH_EXIT_CODE: Final = 70
PADDING_CHUNK: Final = b'x' * 16384
# Interval in seconds between two checks of a switch.
POLL_INTERVAL_S: Final = 0.05


class TargetPlan(msgspec.Struct):
    """Identity and behaviour of a stand-in target.

    Attributes
    ----------
    name, team, service, data_centre : str
        Names of the target, the service's team, the service and the data
        centre.
    host : str
        IP address of its HTTP server.
    port : int
        Port of its HTTP server; 0 takes any free port.
    announce : str
        ``host:port`` of its node's announcement API.
    slots : int
        Requests that it can run at once; further ones fail.
    connections : int
        Number of connections that it announces.
    service_ms : float
        Mean time of a request in milliseconds.
    cold_s : float
        Duration of its cold start in seconds.
    cold_slots : int
        Requests that it can run at once while cold; further ones fail.
    lease_s : float
        Lease of its announcements in seconds.
    seed : int
        Seed of its random numbers.
    journal : str
        File that records the requests that it ran; empty for none.
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
    """A target whose load and faults a test controls.

    A test in the same process sets the attributes. From another process, the
    flags (``1`` or ``0``) and the numbers of the plan are set by query
    parameters of ``/_set``, under the same names.

    Attributes
    ----------
    plan : TargetPlan
        Behaviour; may be changed at any time.
    failing : bool
        Whether each request is answered at once with status 500.
    frozen : bool
        Whether requests are accepted but not answered while this is set.
    truncating : bool
        Whether answers end before their declared length.
    stalling : bool
        Whether answers stop after their first part while this is set.
    hiding : bool
        Whether it announces that it is ready while it is cold.
    shedding : bool
        Whether each request is refused with status 503.
    misdirecting : bool
        Whether each request is refused as meant for another target.
    answer_headers : dict[str, str]
        Further headers of each answer.
    raw_answer : bytes
        Bytes that it sends in place of each answer, the load included, before
        it closes the connection; empty for proper answers. A query parameter
        has one character for each byte.
    load_frozen : bool
        Whether its load endpoint does not answer while this is set.
    load_lies : bool
        Whether its load endpoint reports that all slots are in use.
    phase : str
        Phase that it announces; if empty, ``cold`` or ``ready``.
    crash_paths : set[str]
        Paths whose requests crash the target.
    on_crash : Callable
        Coroutine function that crashes the target; if not set, requests
        that should crash it are answered as usual.
    executions : Counter[str]
        How often the target began to run each execution id.
    running, peak, peak_cold : int
        Requests that run now, and the greatest numbers so far: overall and
        during cold starts.
    cancelled : int
        Requests that were cancelled because the connection was closed.
    overruns : int
        Requests that failed because the target ran too many at once.
    probes : int
        Requests to the load endpoint.
    """

    def __init__(self, plan: TargetPlan) -> None:
        """Create a target that is not listening; `start` opens its port."""
        self.plan = plan
        self.executions: Counter[str] = Counter()
        self.failing = False
        self.frozen = False
        self.truncating = False
        self.stalling = False
        self.hiding = False
        self.shedding = False
        self.misdirecting = False
        self.answer_headers: dict[str, str] = {}
        self.raw_answer = b''
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
        """Whether the target is in its cold start."""
        return asyncio.get_running_loop().time() < self._cold_until

    @property
    def address(self) -> str:
        """``host:port`` of the HTTP server."""
        return f'{self.plan.host}:{self.plan.port}'

    async def start(self) -> None:
        """Open the port, begin the cold start and send announcements."""
        self.begin_cold_start()
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.plan.host, self.plan.port)
        await site.start()
        self.plan.port = self._runner.addresses[0][1]
        self._task = asyncio.create_task(self._announce_periodically())

    async def stop(self) -> None:
        """Stop without waiting for running requests, as a crash would."""
        if self._task is not None:
            self._task.cancel()
        self._runner._kwargs['shutdown_timeout'] = 0
        await self._runner.cleanup()

    def begin_cold_start(self) -> None:
        """Begin a cold start without announcing it at once."""
        now = asyncio.get_running_loop().time()
        self._cold_until = now + self.plan.cold_s

    def announcement(self) -> dict[str, Any]:
        """Return the content of an announcement."""
        plan = self.plan
        announced_cold = self.cold and not self.hiding
        return {
            'target': plan.name,
            'team': plan.team,
            'service': plan.service,
            'address': self.address,
            'slots': plan.slots,
            'connections': plan.connections,
            'phase': self.phase or ('cold' if announced_cold else 'ready'),
            'incarnation': self._incarnation,
            'lease_s': plan.lease_s,
            'load_path': '/load',
        }

    async def announce_once(self, session: aiohttp.ClientSession) -> None:
        """Send one announcement; ignore errors, as the next may succeed."""
        url = f'http://{self.plan.announce}/v1/announce'
        try:
            async with session.post(url, json=self.announcement()):
                return
        except (aiohttp.ClientError, OSError):
            return

    def stats(self) -> dict[str, Any]:
        """Return the name of the target and its counters."""
        return {
            'name': self.plan.name,
            'executions': dict(self.executions),
            'peak': self.peak,
            'peak_cold': self.peak_cold,
            'overruns': self.overruns,
            'probes': self.probes,
            'cancelled': self.cancelled,
        }

    async def _announce_periodically(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self.announce_once(session)
                await asyncio.sleep(min(self.plan.lease_s / 3, 0.5))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        match request.path:
            case '/load':
                return await self._report_load(request)
            case '/_stats':
                return web.json_response(self.stats())
            case '/_set':
                return self._change_behaviour(request)
            case _:
                return await self._handle_call(request)

    async def _report_load(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        self.probes += 1
        while self.load_frozen:
            await asyncio.sleep(0.05)
        running = self.plan.slots if self.load_lies else self.running
        load = {'running': running, 'slots': self.plan.slots}
        if self.raw_answer:
            return self._send_raw(request)
        return web.json_response(load)

    def _change_behaviour(self, request: web.BaseRequest) -> web.Response:
        """Set attributes of the plan or the target from query parameters.

        The parameter ``cold`` begins a cold start.
        """
        for name, text in request.query.items():
            if name == 'cold':
                self.begin_cold_start()
            elif name == 'raw_answer':
                self.raw_answer = text.encode('latin-1')
            elif hasattr(self.plan, name):
                setattr(self.plan, name, float(text))
            else:
                setattr(self, name, text == '1')
        return web.json_response(self.stats())

    async def _handle_call(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        execution = request.headers.get(EXECUTION_HEADER, '')
        self.executions[execution] += 1
        self._journal.append('run', execution)
        crashes = request.path in self.crash_paths or 'crash' in request.query
        if crashes and self.on_crash is not None:
            await self.on_crash()
        capacity = self.plan.cold_slots if self.cold else self.plan.slots
        self.running += 1
        self.peak = max(self.peak, self.running)
        if self.cold:
            self.peak_cold = max(self.peak_cold, self.running)
        try:
            return await self._process(request, execution, capacity)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1

    async def _process(
        self,
        request: web.BaseRequest,
        execution: str,
        capacity: int,
    ) -> web.StreamResponse:
        if self.failing:
            return web.Response(status=500, text='fails fast')
        if self.shedding:
            headers = {'Retry-After': '7'}
            return web.Response(status=503, text='sheds', headers=headers)
        if self.misdirecting:
            return web.Response(status=421, headers=self.answer_headers)
        if self.running > capacity:
            self.overruns += 1
            self._journal.append('overrun', execution)
            return web.Response(status=500, text='overrun')
        while self.frozen:
            await asyncio.sleep(POLL_INTERVAL_S)
        received = 0
        async for chunk in request.content.iter_any():
            received += len(chunk)
        mean_ms = float(request.query.get('ms', self.plan.service_ms))
        await asyncio.sleep(
            self._random.gammavariate(4, mean_ms / 4) / MS_PER_S,
        )
        if self.raw_answer:
            return self._send_raw(request)
        size = int(request.query.get('size', 0))
        return await self._respond(request, execution, received, size)

    def _send_raw(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.transport is not None:
            request.transport.write(self.raw_answer)
            request.transport.close()
        return web.Response()

    async def _respond(
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
        } | self.answer_headers
        length = max(size, len(head))
        response = web.StreamResponse(headers=headers)
        response.content_length = length
        await response.prepare(request)
        await response.write(head)
        remaining = length - len(head)
        while remaining > 0:
            await response.write(PADDING_CHUNK[:remaining])
            remaining -= len(PADDING_CHUNK)
            if self.truncating and request.transport is not None:
                request.transport.abort()
                return response
            while self.stalling:
                await asyncio.sleep(POLL_INTERVAL_S)
        await response.write_eof()
        return response


async def _crash() -> None:
    """Exit the process without any cleanup."""
    os._exit(CRASH_EXIT_CODE)


async def _run(plan: TargetPlan) -> None:
    target = StandInTarget(plan)
    target.on_crash = _crash
    await target.start()
    await asyncio.Event().wait()


def main() -> None:
    """Run one target; its plan is the first command-line argument, as JSON."""
    plan = msgspec.json.decode(sys.argv[1], type=TargetPlan)
    asyncio.run(_run(plan))


if __name__ == '__main__':
    main()
