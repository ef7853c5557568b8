"""The first answer of several runs of one call; the others are cancelled."""

from __future__ import annotations

import asyncio

from lycheespar.call import Answer
from lycheespar.errors import LycheesparError
from lycheespar.streams import close_stream

Run = asyncio.Task[Answer]

_closing: set[asyncio.Task[None]] = set()


async def first_answer(*runs: Run) -> Answer:
    """Wait for the first run that gives an answer.

    The losers are cancelled, which ends them at their targets; they are not
    waited for.

    Raises
    ------
    RequestError
        All runs failed; the error of the last one.
    """
    pending = set(runs)
    winner: Run | None = None
    try:
        while winner is None:
            done, pending = await asyncio.wait(
                pending,
                return_when=asyncio.FIRST_COMPLETED,
            )
            winner = _winner(done, last=not pending)
        return winner.result()
    finally:
        for run in runs:
            if run is not winner:
                run.cancel()
                run.add_done_callback(_discard)


def _winner(done: set[Run], *, last: bool) -> Run | None:
    answered = [run for run in done if run.exception() is None]
    if answered:
        return answered[0]
    return next(iter(done)) if last else None


def _discard(run: Run) -> None:
    """Close the answer of a loser that came anyway."""
    if run.cancelled():
        return
    error = run.exception()
    if error is None:
        task = asyncio.ensure_future(close_stream(run.result().body))
        _closing.add(task)
        task.add_done_callback(_closing.discard)
    elif not isinstance(error, LycheesparError):
        raise error
