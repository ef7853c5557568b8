"""Callers that send mixed traffic and check each answer."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections import Counter, defaultdict
from typing import Any, Final

import aiohttp
import msgspec

from demo.plan import Deployment, RequestKind
from standins.target import EXECUTION_HEADER

CALLER_TIMEOUT_S: Final = 10
MS_PER_S: Final = 1000


class Record(msgspec.Struct):
    """What became of one request.

    Attributes
    ----------
    execution : str
        Its execution id.
    kind : RequestKind
        What it was.
    verdict : str
        ``whole``, ``refused``, ``unknown``, ``lost`` or ``wrong``.
    code : str
        Code of the answer, if it was a coded one.
    latency_ms : float
        Time until the whole answer in milliseconds.
    sent_at : float
        Monotonic instant in seconds.
    """

    execution: str
    kind: RequestKind
    verdict: str
    code: str
    latency_ms: float
    sent_at: float


class Callers:
    """Open-loop callers of one deployment.

    Parameters
    ----------
    deployment : Deployment
        What is called.
    urls : list[str]
        Base URLs of the nodes.
    rate : float
        Requests a second.
    """

    def __init__(
        self,
        deployment: Deployment,
        urls: list[str],
        rate: float,
    ) -> None:
        """Prepare the callers."""
        self.records: list[Record] = []
        self._deployment = deployment
        self._urls = urls
        self._rate = rate
        self._random = random.Random(7)
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Send requests until `stop`, then wait for all answers."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            loop = asyncio.get_running_loop()
            due = loop.time()
            while not self._stopped.is_set():
                due += self._random.expovariate(self._rate)
                await asyncio.sleep(max(0, due - loop.time()))
                task = asyncio.create_task(self._call(session))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.gather(*self._tasks)

    def stop(self) -> None:
        """Send no more requests."""
        self._stopped.set()

    async def _call(self, session: aiohttp.ClientSession) -> None:
        kind = self._deployment.draw(self._random)
        execution = uuid.uuid4().hex
        sent_at = time.monotonic()
        verdict, code = await self._exchange(session, kind, execution)
        latency_ms = (time.monotonic() - sent_at) * MS_PER_S
        self.records.append(
            Record(execution, kind, verdict, code, latency_ms, sent_at),
        )

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        kind: RequestKind,
        execution: str,
    ) -> tuple[str, str]:
        headers = {
            'Host': f'{kind.service}.{self._deployment.team}',
            EXECUTION_HEADER: execution,
        }
        if kind.keyed:
            headers['Idempotency-Key'] = execution
        url = f'{self._random.choice(self._urls)}{kind.path}?size={kind.size}'
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                async with session.request(
                    kind.method,
                    url,
                    headers=headers,
                    data=b'{}' if kind.method == 'POST' else None,
                ) as response:
                    body = await response.read()
                    return _verdict(response, body, kind, execution)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return 'lost', type(error).__name__


def _verdict(
    response: aiohttp.ClientResponse,
    body: bytes,
    kind: RequestKind,
    execution: str,
) -> tuple[str, str]:
    code = response.headers.get('X-Lycheespar-Code', '')
    if code:
        outcome = msgspec.json.decode(body)['outcome']
        return ('refused' if outcome == 'not_run' else 'unknown'), code
    if response.status != 200:
        return 'failed', str(response.status)
    own = body.startswith(f'{execution} '.encode())
    whole = len(body) == kind.size
    return ('whole' if own and whole else 'wrong'), ''


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of all values lies."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def table(records: list[Record]) -> list[dict[str, Any]]:
    """Summarise the records by class."""
    by_kind: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        by_kind[record.kind.name].append(record)
    return [_row(name, found) for name, found in sorted(by_kind.items())]


def _row(name: str, records: list[Record]) -> dict[str, Any]:
    verdicts = Counter(record.verdict for record in records)
    latencies = [
        record.latency_ms for record in records if record.verdict == 'whole'
    ] or [0.0]
    return {
        'class': name,
        'requests': len(records),
        'whole': verdicts['whole'],
        'refused': verdicts['refused'],
        'unknown': verdicts['unknown'],
        'failed': verdicts['failed'],
        'lost': verdicts['lost'],
        'wrong': verdicts['wrong'],
        'p50 ms': round(percentile(latencies, 0.5), 1),
        'p99 ms': round(percentile(latencies, 0.99), 1),
    }
