"""Writes the reference page of the logged events from their classes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Final

import msgspec

from lycheespar.telemetry.events import Event

PAGE: Final = Path(__file__).parents[1] / 'docs' / 'user' / 'events.md'

_INTRODUCTION: Final = """# Events in the logs

Each line on standard output is a JSON object with `at`, `level`, `process`,
`part` and either a `message` or an `event` with the fields below. Events on
requests carry `request`, the id that the caller gave or that was made. Their
number is bounded for each kind; `dropped_before` says how many were left out.
Events on what a process believes are never left out.

| event | part | meaning | fields |
| --- | --- | --- | --- |"""


def events_page() -> str:
    """Return the page."""
    rows = (_row(found) for found in _leaves(Event))
    return '\n'.join((_INTRODUCTION, *rows, ''))


def _leaves(root: type[Event]) -> Iterator[type[Event]]:
    children = root.__subclasses__()
    if not children:
        yield root
    for child in children:
        yield from _leaves(child)


def _row(found: type[Event]) -> str:
    meaning = (found.__doc__ or '').partition('\n')[0]
    fields = ', '.join(
        f'`{field.encode_name}`' for field in msgspec.structs.fields(found)
    )
    name = found.__struct_config__.tag
    return f'| `{name}` | {found.part} | {meaning} | {fields} |'


if __name__ == '__main__':
    PAGE.write_text(events_page(), 'utf-8')
