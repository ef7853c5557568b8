"""Table, checks and report of an emulated scenario."""

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
    """One request of a caller, with all its tries.

    Attributes
    ----------
    kind : str
        Class of the request.
    began_s : float
        When it began, in seconds from the start.
    took_ms : float
        Time until its end in milliseconds.
    end : str
        ``in time``, ``late``, ``refused`` or ``failed``.
    """

    kind: str
    began_s: float
    took_ms: float
    end: str


ENDS: Final = ('in time', 'late', 'refused', 'failed')


def table(outcomes: Iterable[Outcome]) -> str:
    """Return a table by class."""
    lines = [f'{"class":<16}{"asked":>8}' + ''.join(f'{e:>9}' for e in ENDS)]
    lines[0] += f'{"p50 ms":>9}{"p99 ms":>9}'
    ordered = sorted(outcomes, key=lambda outcome: outcome.kind)
    for kind, members in groupby(ordered, lambda outcome: outcome.kind):
        found = list(members)
        ends = Counter(outcome.end for outcome in found)
        served = sorted(
            outcome.took_ms
            for outcome in found
            if outcome.end in {'in time', 'late'}
        )
        lines.append(
            f'{kind:<16}{len(found):>8}'
            + ''.join(f'{ends[end]:>9}' for end in ENDS)
            + f'{_share(served, 0.5):>9.1f}{_share(served, 0.99):>9.1f}',
        )
    return '\n'.join(lines)


def write_report(
    path: Path,
    outcomes: list[Outcome],
    broken: list[str],
    title: str,
) -> None:
    """Write an HTML page with plots over time."""
    seconds = range(int(max(o.began_s for o in outcomes)) + 1)
    by_second = {
        second: [o for o in outcomes if int(o.began_s) == second]
        for second in seconds
    }
    ends = pygal.Line(title='requests a second', x_title='seconds')
    ends.x_labels = [str(second) for second in seconds]
    for end in ENDS:
        ends.add(
            end,
            [sum(o.end == end for o in by_second[s]) for s in seconds],
        )
    times = pygal.Line(title='latency in ms', x_title='seconds')
    times.x_labels = ends.x_labels
    for share in (0.5, 0.99):
        times.add(
            f'p{share * 100:.0f}',
            [
                _share(sorted(o.took_ms for o in by_second[s]), share)
                for s in seconds
            ],
        )
    said = ''.join(f'<li>{html.escape(found)}</li>' for found in broken)
    path.write_text(
        f'<title>{html.escape(title)}</title><h1>{html.escape(title)}</h1>'
        f'<pre>{html.escape(table(outcomes))}</pre>'
        f'<h2>Broken promises: {len(broken)}</h2><ul>{said}</ul>'
        + ends.render(is_unicode=True, disable_xml_declaration=True)
        + times.render(is_unicode=True, disable_xml_declaration=True),
        'utf-8',
    )


def _share(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
