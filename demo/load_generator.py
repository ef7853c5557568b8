"""Load generator that sends mixed requests and checks each answer."""

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
    """Result of one request.

    Attributes
    ----------
    execution : str
        Id of the request; targets count how often each id is executed.
    kind : RequestKind
        Kind of the request.
    verdict : str
        ``complete``: the target's answer came in full. ``refused``: the
        request was refused and not run. ``unknown``: it failed and may have
        run. ``failed``: the target answered with another status than 200.
        ``lost``: no answer came. ``wrong``: the answer is incomplete or
        belongs to another request.
    code : str
        Error code or, for a request without a usable answer, the HTTP status
        or the class of the exception; empty for answers with status 200.
    latency_ms : float
        Time until the end of the answer, in milliseconds.
    sent_at : float
        Time of sending in seconds, on the monotonic clock.
    """

    execution: str
    kind: RequestKind
    verdict: str
    code: str
    latency_ms: float
    sent_at: float


class LoadGenerator:
    """Open-loop load generator for one deployment.

    Requests start at random times, independently of earlier answers.

    Parameters
    ----------
    deployment : Deployment
        Deployment to which requests are sent.
    urls : list[str]
        Base URLs of the nodes.
    rate : float
        Mean number of requests per second.
    """

    def __init__(
        self,
        deployment: Deployment,
        urls: list[str],
        rate: float,
    ) -> None:
        """Create an idle generator; `run` sends the requests."""
        self.records: list[Record] = []
        self._deployment = deployment
        self._urls = urls
        self._rate = rate
        self._random = random.Random(7)
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Send requests until `stop` is called, then await all answers."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            loop = asyncio.get_running_loop()
            next_at = loop.time()
            while not self._stopped.is_set():
                next_at += self._random.expovariate(self._rate)
                await asyncio.sleep(max(0, next_at - loop.time()))
                task = asyncio.create_task(self._send_and_record(session))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.gather(*self._tasks)

    def stop(self) -> None:
        """Stop sending requests."""
        self._stopped.set()

    async def _send_and_record(self, session: aiohttp.ClientSession) -> None:
        kind = self._deployment.choose_kind(self._random)
        execution = uuid.uuid4().hex
        sent_at = time.monotonic()
        verdict, code = await self._send(session, kind, execution)
        latency_ms = (time.monotonic() - sent_at) * MS_PER_S
        self.records.append(
            Record(execution, kind, verdict, code, latency_ms, sent_at),
        )

    async def _send(
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
                    return _classify(response, body, kind, execution)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return 'lost', type(error).__name__


def _classify(
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
    matches = body.startswith(f'{execution} '.encode())
    complete = len(body) == kind.size
    return ('complete' if matches and complete else 'wrong'), ''


def percentile(values: list[float], share: float) -> float:
    """Return the value below which the given share of the values lies."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def summarise_by_class(records: list[Record]) -> list[dict[str, Any]]:
    """Summarise the records by class, one row for each."""
    by_kind: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        by_kind[record.kind.name].append(record)
    return [_row(name, members) for name, members in sorted(by_kind.items())]


def _row(name: str, records: list[Record]) -> dict[str, Any]:
    verdicts = Counter(record.verdict for record in records)
    latencies = [
        record.latency_ms for record in records if record.verdict == 'complete'
    ] or [0.0]
    return {
        'class': name,
        'requests': len(records),
        'complete': verdicts['complete'],
        'refused': verdicts['refused'],
        'unknown': verdicts['unknown'],
        'failed': verdicts['failed'],
        'lost': verdicts['lost'],
        'wrong': verdicts['wrong'],
        'p50 ms': round(percentile(latencies, 0.5), 1),
        'p99 ms': round(percentile(latencies, 0.99), 1),
    }
