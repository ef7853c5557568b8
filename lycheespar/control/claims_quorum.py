"""Claims a key at a majority of all control hosts."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.messages import (
    Claim,
    ClaimReply,
    ControlReply,
    ControlRequest,
    Release,
)


class ClaimLink(Protocol):
    """Link to one control host."""

    async def ask(
        self,
        request: ControlRequest,
        timeout_s: float,
    ) -> ControlReply:
        """Send a request and wait for its reply."""


class Won(msgspec.Struct, frozen=True):
    """The attempt holds the key and may start."""


class Held(msgspec.Struct, frozen=True):
    """Another attempt may hold the key.

    Attributes
    ----------
    claim : Claim
        The claim that most of the control hosts hold.
    surely : bool
        Whether a majority holds it.
    """

    claim: Claim
    surely: bool


class Unavailable(msgspec.Struct, frozen=True):
    """Too few control hosts replied, and none holds another claim."""


Verdict = Won | Held | Unavailable


class ClaimQuorum:
    """Asks all control hosts for claims.

    Parameters
    ----------
    links : Callable[[], Sequence[ClaimLink]]
        Gives the links to all configured control hosts.
    """

    __slots__ = ('_links', '_tasks')

    def __init__(self, links: Callable[[], Sequence[ClaimLink]]) -> None:
        """Keep the links."""
        self._links = links
        self._tasks: set[asyncio.Task[None]] = set()

    async def claim(self, claim: Claim, timeout_s: float) -> Verdict:
        """Claim a key; the claim may stand at some hosts if it is not won.

        Parameters
        ----------
        claim : Claim
            The claim.
        timeout_s : float
            Longest time to wait, in seconds.
        """
        links = self._links()
        quorum = len(links) // 2 + 1
        votes: Counter[bytes] = Counter()
        others: dict[bytes, Claim] = {}
        contested = False
        asks = [_ask(link, claim, timeout_s) for link in links]
        for missing, reply in zip(
            reversed(range(len(asks))),
            asyncio.as_completed(asks),
            strict=True,
        ):
            found = await reply
            if found is not None:
                votes[found.attempt] += 1
                others[found.attempt] = found
                contested = contested or found.attempt != claim.attempt
            if votes[claim.attempt] >= quorum:
                return Won()
            if contested and votes[claim.attempt] + missing < quorum:
                break
        others.pop(claim.attempt, None)
        if not others:
            return Unavailable()
        first = max(others, key=votes.__getitem__)
        return Held(others[first], votes[first] >= quorum)

    def release(self, key: bytes, attempt: bytes, timeout_s: float) -> None:
        """Release the claims of an attempt, without waiting."""
        message = Release(key, attempt)
        for link in self._links():
            task = asyncio.create_task(_send(link, message, timeout_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def released(self) -> None:
        """Wait until all releases were confirmed or given up."""
        await asyncio.gather(*self._tasks)


async def _ask(
    link: ClaimLink,
    claim: Claim,
    timeout_s: float,
) -> Claim | None:
    try:
        reply = await link.ask(claim, timeout_s)
    except LinkTimeoutError:
        return None
    return reply.claim if isinstance(reply, ClaimReply) else None


async def _send(link: ClaimLink, message: Release, timeout_s: float) -> None:
    try:
        await link.ask(message, timeout_s)
    except LinkTimeoutError:
        return
