"""Table and HTML report of an emulated scenario."""

from __future__ import annotations

import html
from collections import Counter
from collections.abc import Iterable
from itertools import groupby
from pathlib import Path
from typing import Final

import msgspec
import pygal

MS_PER_S: Final = 1000


class Outcome(msgspec.Struct):
    """Result of one request, including its retry.

    Attributes
    ----------
    kind : str
        Class of the request.
    started_s : float
        Start of the request, in seconds from the start of the load.
    latency_ms : float
        Time until the last answer or failure, in milliseconds.
    result : str
        ``in time``: answered within the latency objective. ``late``: answered
        after it. ``refused``: refused and not run. ``failed``: anything else.
    """

    kind: str
    started_s: float
    latency_ms: float
    result: str


RESULTS: Final = ('in time', 'late', 'refused', 'failed')


def format_table(outcomes: Iterable[Outcome]) -> str:
    """Return a text table with one row for each class."""
    lines = [
        f'{"class":<16}{"requests":>8}'
        + ''.join(f'{result:>9}' for result in RESULTS)
    ]
    lines[0] += f'{"p50 ms":>9}{"p99 ms":>9}'
    ordered = sorted(outcomes, key=lambda outcome: outcome.kind)
    for kind, members in groupby(ordered, lambda outcome: outcome.kind):
        class_outcomes = list(members)
        counts = Counter(outcome.result for outcome in class_outcomes)
        served = sorted(
            outcome.latency_ms
            for outcome in class_outcomes
            if outcome.result in {'in time', 'late'}
        )
        lines.append(
            f'{kind:<16}{len(class_outcomes):>8}'
            + ''.join(f'{counts[result]:>9}' for result in RESULTS)
            + f'{_quantile(served, 0.5):>9.1f}{_quantile(served, 0.99):>9.1f}',
        )
    return '\n'.join(lines)


def write_report(
    path: Path,
    outcomes: list[Outcome],
    violations: list[str],
    title: str,
) -> None:
    """Write an HTML page with the table, the violations and plots."""
    seconds = range(int(max(o.started_s for o in outcomes)) + 1)
    by_second = {
        second: [o for o in outcomes if int(o.started_s) == second]
        for second in seconds
    }
    rates = pygal.Line(title='requests per second', x_title='seconds')
    rates.x_labels = [str(second) for second in seconds]
    for result in RESULTS:
        rates.add(
            result,
            [sum(o.result == result for o in by_second[s]) for s in seconds],
        )
    latencies = pygal.Line(title='latency in ms', x_title='seconds')
    latencies.x_labels = rates.x_labels
    for share in (0.5, 0.99):
        latencies.add(
            f'p{share * 100:.0f}',
            [
                _quantile(sorted(o.latency_ms for o in by_second[s]), share)
                for s in seconds
            ],
        )
    items = ''.join(f'<li>{html.escape(line)}</li>' for line in violations)
    path.write_text(
        f'<title>{html.escape(title)}</title><h1>{html.escape(title)}</h1>'
        f'<pre>{html.escape(format_table(outcomes))}</pre>'
        f'<h2>Violated guarantees: {len(violations)}</h2><ul>{items}</ul>'
        + rates.render(is_unicode=True, disable_xml_declaration=True)
        + latencies.render(is_unicode=True, disable_xml_declaration=True),
        'utf-8',
    )


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
