"""Writes the reference page of logged events from the event classes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Final

import msgspec

from lycheespar.telemetry import (
    connection_events,
    control_events,
    crash_events,
    error_events,
    events,
    limit_events,
    quota_events,
    rollout_events,
)
from lycheespar.telemetry.events import Event

PAGE: Final = Path(__file__).parents[1] / 'docs' / 'user' / 'events.md'
# Modules with event classes, in the order of their rows.
_MODULES: Final = tuple(
    module.__name__
    for module in (
        events,
        connection_events,
        control_events,
        crash_events,
        error_events,
        limit_events,
        quota_events,
        rollout_events,
    )
)

_INTRODUCTION: Final = """# Events in the logs

Each line on standard output is a JSON object with `at`, `level`, `process`,
`part` and either a `message` or an `event` with the fields below. Events about
a request have the field `request`: the id that the caller sent or a generated
one. The rate of each kind of these events is limited; `dropped_before` is the
number of events of the same kind that were dropped since the previous line of
that kind. The rate of all other events is not limited.

| event | part | meaning | fields |
| --- | --- | --- | --- |"""


def events_page() -> str:
    """Return the text of the page."""
    # The order of subclasses depends on which module was imported first.
    event_types = sorted(
        (
            event_type
            for event_type in _leaf_types(Event)
            if event_type.__module__ in _MODULES
        ),
        key=lambda event_type: _MODULES.index(event_type.__module__),
    )
    rows = (_row(event_type) for event_type in event_types)
    return '\n'.join((_INTRODUCTION, *rows, ''))


def _leaf_types(root: type[Event]) -> Iterator[type[Event]]:
    children = root.__subclasses__()
    if not children:
        yield root
    for child in children:
        yield from _leaf_types(child)


def _row(event_type: type[Event]) -> str:
    meaning = (event_type.__doc__ or '').partition('\n')[0]
    fields = ', '.join(
        f'`{field.encode_name}`' for field in msgspec.structs.fields(event_type)
    )
    name = event_type.__struct_config__.tag
    return f'| `{name}` | {event_type.part} | {meaning} | {fields} |'


if __name__ == '__main__':
    PAGE.write_text(events_page(), 'utf-8')
