"""The `explain` command, which finds the events of a request in logs."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from typing import Any, Final

import msgspec

# Fields that `Step.known` leaves out: `Step` has attributes for them, or they
# add nothing to the history of a request.
_COMMON_FIELDS: Final = ('at', 'process', 'part', 'event', 'request', 'level')

_decoder = msgspec.json.Decoder(dict[str, Any])


class Step(msgspec.Struct, frozen=True):
    """One logged event of a request, such as a decision on it.

    Attributes
    ----------
    at : str
        Time stamp of the log record.
    process : str
        Name of the process.
    event : str
        Name of the event.
    known : dict[str, Any]
        The other fields of the record: inputs of the decision, their age or
        version, and its outcome.
    """

    at: str
    process: str
    event: str
    known: dict[str, Any]


def explain(request: str, lines: Iterable[str]) -> list[Step]:
    """Return the events of a request, ordered by time.

    Parameters
    ----------
    request : str
        Id of the request, or a prefix of it.
    lines : Iterable[str]
        Log lines with a JSON object, which may follow other text. Lines
        without one are ignored.
    """
    steps = (
        Step(
            str(fields.get('at', '')),
            str(fields.get('process', '')),
            str(fields['event']),
            {
                name: value
                for name, value in fields.items()
                if name not in _COMMON_FIELDS
            },
        )
        for fields in _decode_records(lines)
        if str(fields.get('request', '')).startswith(request)
        and 'event' in fields
    )
    return sorted(steps, key=lambda step: step.at)


def format_step(step: Step) -> str:
    """Format a step as one line of text."""
    known = ' '.join(f'{name}={value}' for name, value in step.known.items())
    return f'{step.at} {step.process} {step.event} {known}'


def _decode_records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        # A line may be truncated or come from another program.
        with contextlib.suppress(msgspec.DecodeError, ValueError):
            yield _decoder.decode(line[line.index('{') :])
