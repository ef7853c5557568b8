"""History check: a non-idempotent request runs at most once under faults.

Each request is sent several times, concurrently or later, through several
nodes. Meanwhile nodes restart, channels break or stop responding, links to the
control hosts lose messages, and a control host loses its disk.
"""

from __future__ import annotations

import asyncio
import enum
from collections import defaultdict

import msgspec
import pytest

from lycheespar.errors import Outcome, RequestError
from lycheespar.tests.routing.site import Site, new_call

REQUESTS = 40
COPIES = 4


class Kind(enum.Enum):
    """Result of one copy of a request as its caller sees it."""

    answered = 'answered'
    not_run = 'not run'
    unknown = 'unknown'


class Event(msgspec.Struct, frozen=True):
    """One copy of a request and its result."""

    request: str
    attempt: str
    kind: Kind
    answer: bytes = b''


async def _send(site: Site, request: str, copy: int, *, keyed: bool) -> Event:
    attempt = f'{request}#{copy}'
    call = new_call(
        request,
        attempt,
        request if keyed else '',
        site.random.uniform(0.2, 3),
    )
    node = site.random.choice(site.nodes)
    try:
        answer = await node.dispatch(call)
    except RequestError as error:
        not_run = error.outcome is Outcome.not_run
        kind = Kind.not_run if not_run else Kind.unknown
        return Event(request, attempt, kind)
    return Event(request, attempt, Kind.answered, answer.body)


async def _send_copies(site: Site, number: int, *, keyed: bool) -> list[Event]:
    """Send copies of one request without waiting for answers in between."""
    await asyncio.sleep(site.random.uniform(0, 2))
    copies = []
    for copy in range(COPIES if keyed else 1):
        copies.append(
            asyncio.create_task(
                _send(site, f'/{number}', copy, keyed=keyed),
            ),
        )
        await asyncio.sleep(site.random.choice([0, 0, 0.05, 0.5]))
    return await asyncio.gather(*copies)


async def _inject_faults(site: Site) -> None:
    """Inject faults at random times."""
    for _ in range(12):
        await asyncio.sleep(site.random.uniform(0.05, 0.35))
        node = site.random.choice(site.nodes)
        host = site.random.choice(site.control)
        match site.random.randrange(5):
            case 0:
                await node.restart()
            case 1:
                node.break_channels()
            case 2 | 3:
                up, down = site.random.choice(
                    [(True, True), (True, False), (False, True)],
                )
                node.link.discard_open_traffic(up=up, down=down)
            case 4:
                host.unreachable = not host.unreachable


async def _run(site: Site, *, keyed: bool) -> list[Event]:
    faults = asyncio.create_task(_inject_faults(site))
    results = await asyncio.gather(
        *(
            _send_copies(site, number, keyed=keyed)
            for number in range(REQUESTS)
        ),
    )
    await faults
    return [event for events in results for event in events]


def _check(site: Site, events: list[Event]) -> None:
    """Compare the results with the executions counted at the targets.

    No request may run twice, none that was reported as not run may have run,
    and all answers to a request must come from the same attempt.
    """
    answers = defaultdict(set)
    for event in events:
        match event.kind:
            case Kind.not_run:
                assert site.executions_by_attempt[event.attempt] == 0, event
            case Kind.answered:
                answers[event.request].add(event.answer)
    assert max(site.executions.values()) == 1
    for request, given in answers.items():
        assert len(given) == 1, request
        assert site.executions_by_attempt[given.pop().decode()] == 1


def _report(record, events: list[Event]) -> None:
    total = len(events)
    for kind in Kind:
        share = sum(event.kind is kind for event in events) / total
        record(kind.value, round(share, 3))
    print({kind.value: sum(e.kind is kind for e in events) for kind in Kind})


@pytest.mark.parametrize('keyed', [True, False])
@pytest.mark.parametrize('seed', range(4))
async def test_requests_run_at_most_once_under_faults(
    tmp_path,
    record_property,
    seed,
    keyed,
):
    async with Site(tmp_path, seed, nodes=4) as site:
        site.refusal_rate, site.target_loss_rate, site.message_loss_rate = (
            0.1,
            0.05,
            0.02,
        )
        events = await _run(site, keyed=keyed)
        _report(record_property, events)
        _check(site, events)
        assert any(event.kind is Kind.answered for event in events)


async def test_disk_loss_under_faults_allows_no_second_run(tmp_path):
    async with Site(tmp_path, 11, nodes=4) as site:
        site.message_loss_rate = 0.1
        running = asyncio.create_task(_run(site, keyed=True))
        await asyncio.sleep(1)
        site.control[0].lose_disk()
        _check(site, await running)


@pytest.mark.soak
@pytest.mark.parametrize('seed', range(100, 160))
async def test_requests_run_at_most_once_under_faults_with_many_seeds(
    tmp_path,
    seed,
):
    async with Site(tmp_path, seed, nodes=5) as site:
        site.refusal_rate, site.target_loss_rate, site.message_loss_rate = (
            0.1,
            0.05,
            0.05,
        )
        _check(site, await _run(site, keyed=seed % 4 > 0))
