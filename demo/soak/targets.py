"""Targets of a soak: they make calls, stream, and record each run."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Awaitable, Callable
from itertools import repeat

from aiohttp import web

from demo.soak.exchanges import Ledger, Run
from standins.platform import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    RESPONSE_SEAL_HEADER,
    SERVER_LOAD_HEADER,
    Machine,
    Target,
)

MS_PER_S = 1000
CHUNK_BYTES = 16_384
ENDLESS_ANSWERS = 500
# Answers in chunks of a byte, and such that are not whole or not alone.
ODD_FRAMINGS = ('tiny', 'short', 'garbage', 'reset', 'endless')
# Sends a call of a class through a node; returns whether it succeeded.
CallThroughNode = Callable[[Machine, str, float], Awaitable[bool]]


def answer_body(attempt: str, size: int) -> bytes:
    """Return the body of the answer to an attempt."""
    block = hashlib.sha256(attempt.encode()).hexdigest().encode()
    return b''.join(repeat(block, size // len(block) + 1))[:size]


class SoakTarget(Target):
    """Target whose requests say how long they take and what they return.

    Parameters
    ----------
    machine : Machine
        Machine of the target and its node.
    identity : str
        Id of this start of the target.
    ledger : Ledger
        Records the runs.
    call : CallThroughNode
        Sends the calls that runs make.
    """

    def __init__(
        self,
        machine: Machine,
        identity: str,
        ledger: Ledger,
        call: CallThroughNode,
    ) -> None:
        """Create a target that is not listening; `start` opens its port."""
        super().__init__(machine, identity)
        self._ledger = ledger
        self._call = call
        self._random = random.Random(identity)
        self._runner = web.ServerRunner(
            web.Server(
                self._handle, handler_cancellation=True, access_log=None
            ),
            shutdown_timeout=0.1,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        load = {
            SERVER_LOAD_HEADER: (
                f'{self._running},0,{self.slots},{self.slowdown * 100:.0f}'
            )
        }
        if request.path == '/health':
            return web.Response(
                status=200 if self.state == 'ready' else 503,
                headers=load
                | {
                    'X-Lycheespar-Instance-Id': self.identity,
                    'X-Lycheespar-Cold-Ms': '0',
                },
            )
        attempt = request.headers.get(ATTEMPT_ID_HEADER, '')
        echo = load | {ATTEMPT_ID_HEADER: attempt}
        expected = request.headers.get('X-Lycheespar-Expected-Instance')
        if expected not in {None, self.identity}:
            return web.Response(status=421, headers=echo)
        if self._running >= self.slots:
            return web.Response(
                status=503, headers=echo | {'X-Lycheespar-Not-Executed': '1'}
            )
        return await self._run(request, attempt, echo)

    async def _run(
        self,
        request: web.BaseRequest,
        attempt: str,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        run = Run(loop.time(), zone=self.machine.zone)
        self._ledger.runs[attempt].append(run)
        self._running += 1
        try:
            if request.query.get('early') is None:
                # `read` refuses bodies over 1 MB.
                while not request.content.at_eof():
                    await request.content.readany()
            run.failed = await self._work(request, loop.time())
            response = await self._respond(
                request, attempt, headers, run.failed
            )
        except BaseException:
            run.dropped = True
            raise
        finally:
            self._running -= 1
            run.ended_at = loop.time()
        return response

    async def _work(self, request: web.BaseRequest, now: float) -> bool:
        """Work and make the calls; return whether a call failed."""
        query = request.query
        work_s = float(query.get('ms', '10')) / MS_PER_S * self.slowdown
        budget_s = float(request.headers.get(DEADLINE_HEADER, '1000'))
        deadline = now + budget_s / MS_PER_S
        await asyncio.sleep(work_s / 2)
        results = await asyncio.gather(
            *(
                self._call(self.machine, query['calls'], deadline)
                for _ in range(int(query.get('count', '0')))
            )
        )
        await asyncio.sleep(work_s / 2)
        return not all(results)

    async def _respond(
        self,
        request: web.BaseRequest,
        attempt: str,
        headers: dict[str, str],
        failed: bool,
    ) -> web.StreamResponse:
        headers |= {RESPONSE_SEAL_HEADER: f'{self.identity}.{attempt}'}
        if failed:
            return web.Response(status=500, headers=headers)
        body = answer_body(attempt, int(request.query.get('size', '400')))
        framing = request.query.get('framing', 'length')
        if framing == 'length':
            return web.Response(body=body, headers=headers)
        if framing != 'chunked':
            return await self._send_raw(request, framing, body, headers)
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for begin in range(0, len(body), CHUNK_BYTES):
            await response.write(body[begin : begin + CHUNK_BYTES])
            await asyncio.sleep(self._random.uniform(0, 0.02))
        await response.write_eof()
        return response

    async def _send_raw(
        self,
        request: web.BaseRequest,
        framing: str,
        body: bytes,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        """Send an answer in a framing of its own, then end the connection."""
        response = web.StreamResponse(headers=headers)
        response.force_close()
        request.protocol.keep_alive(False)
        transport = request.transport
        if transport is None:
            raise ConnectionResetError
        for piece in _raw_answer(framing, body, headers):
            transport.write(piece)
            await asyncio.sleep(self._random.uniform(0, 0.02))
        if framing == 'reset':
            transport.abort()
        transport.close()
        return response


def _raw_answer(
    framing: str, body: bytes, headers: dict[str, str]
) -> list[bytes]:
    """Return the pieces of an answer in a framing that aiohttp lacks."""
    lines = [f'{name}: {text}\r\n' for name, text in headers.items()]
    head = ''.join(['HTTP/1.1 200 OK\r\n', *lines]).encode()
    whole = head + b'Content-Length: %d\r\n\r\n' % len(body) + body
    match framing:
        case 'tiny':
            chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in body)
            start = head + b'Transfer-Encoding: chunked\r\n\r\n'
            return [start, chunks + b'0\r\n\r\n']
        case 'short':
            return [whole[:-1]]
        case 'garbage':
            return [b'nonsense\r\n\r\n']
        case 'reset':
            return [whole[: len(whole) // 2]]
        case 'endless':
            return [whole * ENDLESS_ANSWERS]
        case _:
            starts = range(0, len(body), CHUNK_BYTES)
            parts = [body[begin : begin + CHUNK_BYTES] for begin in starts]
            return [head + b'\r\n', *parts]
