"""Sends traced requests and prints their spans as a tree."""

from __future__ import annotations

import itertools
import json
import secrets
from pathlib import Path
from typing import Any, Final

import aiohttp

from demo.plan import Deployment
from standins.target import EXECUTION_HEADER

_TRACE_ID: Final = secrets.token_hex(16)
_PARENT_ID: Final = secrets.token_hex(8)

Span = dict[str, Any]


async def send_traced_requests(
    session: aiohttp.ClientSession,
    deployment: Deployment,
    urls: list[str],
) -> None:
    """Send one request through each node, all with the same trace id."""
    kind = deployment.kinds[0]
    headers = {
        'Host': f'{kind.service}.{deployment.team}',
        'traceparent': f'00-{_TRACE_ID}-{_PARENT_ID}-01',
        EXECUTION_HEADER: 'traced',
    }
    for url in urls:
        async with session.get(f'{url}{kind.path}', headers=headers) as answer:
            await answer.read()


def print_largest_trace(folder: Path) -> None:
    """Print the tree with the most spans, from the nodes' trace files."""
    lines = itertools.chain.from_iterable(
        path.read_text('utf-8').splitlines() for path in folder.glob('*.spans')
    )
    spans: list[Span] = [json.loads(line) for line in lines]
    trees = [
        list(_span_lines(span, spans, 0))
        for span in spans
        if span['name'] == 'ingress'
    ]
    print('\n'.join(max(trees, key=len, default=['no spans were written'])))


def _span_lines(span: Span, spans: list[Span], depth: int):
    """Yield a line for a span, then the lines of its child spans."""
    attributes = span['attributes']
    outcome = attributes.get('status', attributes.get('code', ''))
    node = span['resource']['attributes']['service.name']
    name = '  ' * depth + span['name']
    yield f'{name:<16}{node:<20}{outcome:<16}{_interval(span)}'
    children = (
        child
        for child in spans
        if child['parent_id'] == span['context']['span_id']
    )
    for child in children:
        yield from _span_lines(child, spans, depth + 1)


def _interval(span: Span) -> str:
    return f'{span["start_time"][17:-1]} to {span["end_time"][17:-1]}'
