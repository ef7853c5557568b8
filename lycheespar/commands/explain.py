"""Finds in the logs of several processes what happened to one request."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from typing import Any, Final

import msgspec

# Fields that are shown first, or not among the others.
_HEAD: Final = ('at', 'process', 'part', 'event', 'request', 'level')

_decoder = msgspec.json.Decoder(dict[str, Any])


class Step(msgspec.Struct, frozen=True):
    """One decision on a request.

    Attributes
    ----------
    at : str
        Time of day at the process.
    process : str
        Identity of the process.
    event : str
        Name of the event.
    known : dict[str, Any]
        Inputs of the decision, their age or version, and its outcome.
    """

    at: str
    process: str
    event: str
    known: dict[str, Any]


def explain(request: str, lines: Iterable[str]) -> list[Step]:
    """Return the decisions on a request, in the order of their times.

    Parameters
    ----------
    request : str
        Id of the request, or the beginning of it.
    lines : Iterable[str]
        Lines of logs as JSON; others, and what stands before an object, are
        left out.
    """
    steps = (
        Step(
            str(fields.get('at', '')),
            str(fields.get('process', '')),
            str(fields['event']),
            {
                name: found
                for name, found in fields.items()
                if name not in _HEAD
            },
        )
        for fields in _decoded(lines)
        if str(fields.get('request', '')).startswith(request)
        and 'event' in fields
    )
    return sorted(steps, key=lambda step: step.at)


def describe(step: Step) -> str:
    """Return one line for people."""
    known = ' '.join(f'{name}={found}' for name, found in step.known.items())
    return f'{step.at} {step.process} {step.event} {known}'


def _decoded(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        # A line may be cut, or another program's.
        with contextlib.suppress(msgspec.DecodeError, ValueError):
            yield _decoder.decode(line[line.index('{') :])
