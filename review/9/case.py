# flake8: noqa
"""Downloads at an upstream that falls silent have no end at their time-out."""

from __future__ import annotations

import asyncio
import time
import uuid
from pathlib import Path

import aiohttp
from aiohttp import web

from review.site_2 import (
    BROKEN,
    HELD,
    LIMITS,
    TROUBLE,
    ZONES,
    document,
    main,
    route,
    service,
)
from standins import platform

ROUTE_TIMEOUT_S = 1.5
DEADLINE_MS = 6000
# RULES.md: no final answer this long after the time-out, in seconds.
SLACK_S = 0.5
BODY_BYTES = 128 * 1024
PIECE = bytes(8 * 1024)
# A download takes about so long, in seconds.
DOWNLOAD_S = 0.65
# Nodes with an upstream each: the crash of one is a share of 0.14.
NODES = 7
# The upstream is silent for so long, then it starts again, in seconds.
DARK_S = 4.5


def _reset(request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def case(site, record) -> int:
    for zone in ZONES:
        site.add(zone, 'control')
    for number in range(NODES):
        site.add(ZONES[number % len(ZONES)], 'node', 'library')
    dark, back = asyncio.Event(), asyncio.Event()
    silent = site.targets[2]
    sent_by_silent = []
    # Requests that the upstream began before its crash.
    old = set()

    async def download(target, request):
        identity = request.headers[platform.ATTEMPT_ID_HEADER]
        response = web.StreamResponse(
            headers={
                platform.ATTEMPT_ID_HEADER: identity,
                platform.RESPONSE_SEAL_HEADER: f'{target.identity}.{identity}',
                'Content-Length': str(BODY_BYTES),
            }
        )
        await response.prepare(request)
        if target is silent:
            sent_by_silent.append(identity)
            if not dark.is_set():
                old.add(identity)
        pieces = BODY_BYTES // len(PIECE)
        for _ in range(pieces):
            if target is silent and dark.is_set() and identity in old:
                # It has crashed: nothing more is sent, and nothing is closed
                # until it is back and knows nothing of the connection.
                await back.wait()
                _reset(request)
                raise ConnectionResetError
            await response.write(PIECE)
            await asyncio.sleep(DOWNLOAD_S / pieces)
        await response.write_eof()
        return response

    def handler_of(target):
        answer = target._handle

        async def handle(request):
            if target is silent and dark.is_set() and not back.is_set():
                await back.wait()
                _reset(request)
                raise ConnectionResetError
            if request.path == '/health':
                return await answer(request)
            expected = request.headers.get('X-Lycheespar-Expected-Instance')
            if expected not in {None, target.identity}:
                return web.Response(status=421)
            identity = request.headers[platform.ATTEMPT_ID_HEADER]
            record(f'{target.identity} runs {identity}')
            return await download(target, request)

        return handle

    for target in site.targets:
        target.slots = 14
        target._runner = web.ServerRunner(
            web.Server(handler_of(target)), shutdown_timeout=0.1
        )
    await site.start()
    await site.order(
        site.controls,
        'config.put',
        document(
            1,
            0,
            route(
                'chapter',
                'download',
                'library',
                timeout=f'{int(ROUTE_TIMEOUT_S * 1000)}ms',
            ),
            service('library'),
            LIMITS,
        ),
    )
    await site.wait_until_ready()
    results = []

    async def client(machine):
        identity = uuid.uuid4().hex[:16]
        headers = {
            'Host': 'a.example',
            platform.ATTEMPT_ID_HEADER: identity,
            platform.DEADLINE_HEADER: str(DEADLINE_MS),
        }
        begun = time.monotonic()
        record(f'client on {machine.ip} sends {identity}')
        size, status, end = 0, 0, 'no final answer'
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(
                    f'http://{machine.address("outbound")}/chapter/x',
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(DEADLINE_MS / 1000),
                ) as answer,
            ):
                status = answer.status
                async for chunk in answer.content.iter_any():
                    size += len(chunk)
                end = 'whole'
        except TimeoutError:
            end = 'no final answer'
        except (aiohttp.ClientError, OSError) as error:
            end = f'broken off: {type(error).__name__}'
        took = time.monotonic() - begun
        record(f'client: {identity} {status} {size} bytes {end} {took:.3f} s')
        results.append((identity, took, end))

    async def start_again():
        await asyncio.sleep(DARK_S)
        silent.identity = 'i-new'
        silent._sequence = 0
        silent._started_at_ms = int(time.time() * 1000)
        back.set()
        silent.beats = True
        record('the silent upstream has started again')

    restart = None
    clients = []
    for step in range(40):
        for machine in site.nodes:
            clients.append(asyncio.create_task(client(machine)))
        if step == 20 and TROUBLE:
            record(f'{silent.identity} falls silent')
            dark.set()
            silent.beats = False
            restart = asyncio.create_task(start_again())
        await asyncio.sleep(0.05)
    await asyncio.gather(*clients)
    if restart is not None:
        await restart
    limit = ROUTE_TIMEOUT_S + SLACK_S
    longer = [found for found in results if found[1] > ROUTE_TIMEOUT_S]
    without = [found for found in longer if found[1] > limit]
    at_silent = [found for found in without if found[0] in sent_by_silent]
    record(
        f'{len(longer)} requests lasted longer than the time-out of'
        f' {ROUTE_TIMEOUT_S} s; {len(without)} of them had no final answer'
        f' {SLACK_S} s later, {len(at_silent)} of these at the silent upstream'
    )
    broken = len(without) >= 8 and len(without) > len(longer) / 4
    return BROKEN if broken else HELD


main(case, Path(__file__).parent)
