"""Takes the first answer of concurrent runs of one call."""

from __future__ import annotations

import asyncio

from lycheespar.call import Answer
from lycheespar.errors import LycheesparError
from lycheespar.streams import close_stream

Run = asyncio.Task[Answer]

_closing_tasks: set[asyncio.Task[None]] = set()


async def first_answer(*runs: Run) -> Answer:
    """Return the answer of the first run that succeeds.

    The other runs are cancelled, also at their targets. Their end is not
    awaited.

    Raises
    ------
    RequestError
        All runs failed. The error is that of the run that failed last.
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
                abandon(run)


def abandon(run: Run) -> None:
    """Cancel a run whose answer is not needed, without awaiting its end."""
    run.cancel()
    run.add_done_callback(_close_unused)


def _winner(done: set[Run], *, last: bool) -> Run | None:
    """Return a successful run; a failed one only if no others are pending."""
    answered = [run for run in done if run.exception() is None]
    if answered:
        return answered[0]
    return next(iter(done)) if last else None


def _close_unused(run: Run) -> None:
    """Close the answer of a run that completed in spite of its cancellation."""
    if run.cancelled():
        return
    error = run.exception()
    if error is None:
        task = asyncio.ensure_future(close_stream(run.result().body))
        _closing_tasks.add(task)
        task.add_done_callback(_closing_tasks.discard)
    elif not isinstance(error, LycheesparError):
        raise error
