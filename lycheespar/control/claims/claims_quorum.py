"""Claims idempotency keys at a majority of the control hosts."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from lycheespar.control.link import LinkError
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
    """A majority granted the key; the attempt may start."""


class HeldByOther(msgspec.Struct, frozen=True):
    """The attempt did not get the key; another attempt may hold it.

    Attributes
    ----------
    claim : Claim
        The competing claim that most control hosts have granted.
    by_majority : bool
        Whether a majority of the control hosts has granted it.
    """

    claim: Claim
    by_majority: bool


class Unavailable(msgspec.Struct, frozen=True):
    """Too few control hosts replied, and none reported another claim."""


ClaimResult = Won | HeldByOther | Unavailable


class ClaimQuorum:
    """Claims and releases keys at all configured control hosts.

    Parameters
    ----------
    links : Callable[[], Sequence[ClaimLink]]
        Returns links to all configured control hosts.
    """

    __slots__ = ('_links', '_tasks')

    def __init__(self, links: Callable[[], Sequence[ClaimLink]]) -> None:
        """Create a client without pending requests."""
        self._links = links
        self._tasks: set[asyncio.Task[None]] = set()

    async def claim(self, claim: Claim, timeout_s: float) -> ClaimResult:
        """Claim a key at all control hosts.

        If the claim is not won, some hosts may still have granted it.

        Parameters
        ----------
        claim : Claim
            The claim.
        timeout_s : float
            Time-out of each request, in seconds.
        """
        links = self._links()
        quorum = len(links) // 2 + 1
        votes: Counter[bytes] = Counter()
        others: dict[bytes, Claim] = {}
        contested = False
        requests = [_request_claim(link, claim, timeout_s) for link in links]
        for outstanding, reply in zip(
            reversed(range(len(requests))),
            asyncio.as_completed(requests),
            strict=True,
        ):
            granted = await reply
            if granted is not None:
                votes[granted.attempt] += 1
                others[granted.attempt] = granted
                contested = contested or granted.attempt != claim.attempt
            if votes[claim.attempt] >= quorum:
                return Won()
            if contested and votes[claim.attempt] + outstanding < quorum:
                break
        others.pop(claim.attempt, None)
        if not others:
            return Unavailable()
        strongest = max(others, key=votes.__getitem__)
        return HeldByOther(others[strongest], votes[strongest] >= quorum)

    def release(self, key: bytes, attempt: bytes, timeout_s: float) -> None:
        """Send releases of an attempt's claims in the background."""
        message = Release(key, attempt)
        for link in self._links():
            task = asyncio.create_task(_send_release(link, message, timeout_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait_for_releases(self) -> None:
        """Wait until all releases are confirmed or timed out."""
        await asyncio.gather(*self._tasks)


async def _request_claim(
    link: ClaimLink,
    claim: Claim,
    timeout_s: float,
) -> Claim | None:
    try:
        reply = await link.ask(claim, timeout_s)
    except LinkError:
        return None
    return reply.claim if isinstance(reply, ClaimReply) else None


async def _send_release(
    link: ClaimLink,
    message: Release,
    timeout_s: float,
) -> None:
    try:
        await link.ask(message, timeout_s)
    except LinkError:
        return
