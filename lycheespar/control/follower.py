"""Keeps a node's configuration up to date from the control hosts."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from functools import reduce
from typing import Final, Protocol

from loguru import logger

from lycheespar.configuration.changes import Change, apply
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import MS_PER_S
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.messages import (
    ControlReply,
    ControlRequest,
    Failure,
    Pull,
    PullReply,
)
from lycheespar.control.saved import SavedConfiguration
from lycheespar.errors import ChangeInvalidError
from lycheespar.telemetry.events import ConfigurationTaken, events

# Bounds of the time for which a control host may hold a pull, in seconds.
MIN_WAIT_S: Final = 1
MAX_WAIT_S: Final = 8
# Time for the reply beyond that, in seconds.
REPLY_MARGIN_S: Final = 1
# Age of the configuration from which on a pull is not waited for, in seconds.
HURRY_AGE_S: Final = 2
# Bounds of the pause after a pull that was of no use, in seconds.
MIN_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 2
# Time for a change to come after the stamp that names it, in seconds.
GRACE_S: Final = 0.3

log = logger.bind(part='control')


class NodeLink(Protocol):
    """Link from a node to one control host."""

    async def ask(
        self,
        request: ControlRequest,
        timeout_s: float,
    ) -> ControlReply:
        """Send a request and wait for its reply."""

    def close(self) -> None:
        """Close the link."""


class ConfigurationFollower:
    """Pulls changes from one control host, and turns to others if need be.

    A control host holds a pull until there is a change. The time for which it
    may do so grows while stamps come by gossip, and shrinks without them. A
    pull is given up at once when a stamp names a higher revision, and when
    the configuration has not been confirmed for long.

    Parameters
    ----------
    node : str
        Identity of this node.
    view : ConfigurationView
        Configuration that is kept up to date.
    links : Callable[[], Sequence[NodeLink]]
        Gives the links to the control hosts known now.
    saved : SavedConfiguration | None
        File for the last configuration, if one is kept.
    """

    __slots__ = (
        '_behind',
        '_links',
        '_node',
        '_pause_s',
        '_random',
        '_saved',
        '_tasks',
        '_view',
        '_wait_s',
    )

    def __init__(
        self,
        node: str,
        view: ConfigurationView,
        links: Callable[[], Sequence[NodeLink]],
        saved: SavedConfiguration | None = None,
    ) -> None:
        """Keep the parts; `start` begins to pull."""
        self._node = node
        self._view = view
        self._random = random.Random(node)
        self._links = links
        self._saved = saved
        self._wait_s: float = MIN_WAIT_S
        self._pause_s: float = MIN_PAUSE_S
        self._behind = asyncio.Event()
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    @property
    def wait_s(self) -> float:
        """Time in seconds for which a control host may hold a pull."""
        return self._wait_s

    def start(self) -> None:
        """Begin to pull."""
        self._view.news.subscribe(lambda _: self._behind.set())
        self._tasks = (
            asyncio.create_task(self._run()),
            asyncio.create_task(self._save_changes()),
        )

    def stop(self) -> None:
        """Stop to pull."""
        for task in self._tasks:
            task.cancel()

    async def _run(self) -> None:
        while True:
            for link in self._shuffled():
                while await self._pull(link):
                    self._pause_s = MIN_PAUSE_S
                await self._pause()
            if not self._links():
                await self._pause()

    async def _pause(self) -> None:
        """Wait a little, longer after each pull that was of no use."""
        await asyncio.sleep(self._pause_s * self._random.uniform(0.5, 1))
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)

    def _shuffled(self) -> list[NodeLink]:
        links = list(self._links())
        self._random.shuffle(links)
        return links

    async def _pull(self, link: NodeLink) -> bool:
        """Pull once; say whether the control host is of use."""
        view = self._view
        wait_s = 0 if self._is_urgent() else self._wait_s
        request = Pull(self._node, view.current.revision, wait_s)
        began_at = view.now()
        reply = await self._ask(link, request)
        if reply is None:
            self._wait_s = MIN_WAIT_S
            return False
        self._adapt()
        taken = self._take(reply, request.revision)
        took_s = view.now() - began_at
        held_s = min(max(reply.held_ms / MS_PER_S, 0), took_s)
        view.confirm(reply.stamp.aged(took_s - held_s))
        return taken and not self._is_urgent()

    async def _ask(self, link: NodeLink, request: Pull) -> PullReply | None:
        """Return the reply, or nothing if it is not worth the wait."""
        pull = asyncio.create_task(
            link.ask(request, request.wait_s + REPLY_MARGIN_S),
        )
        urgent = asyncio.create_task(self._until_urgent(request.wait_s))
        await asyncio.wait(
            (pull, urgent),
            return_when=asyncio.FIRST_COMPLETED,
        )
        urgent.cancel()
        if not pull.done():
            pull.cancel()
            return None
        try:
            reply = pull.result()
        except LinkTimeoutError:
            return None
        if isinstance(reply, Failure):
            log.debug("A control host refused a pull: '{}'.", reply.code)
            return None
        return reply if isinstance(reply, PullReply) else None

    async def _until_urgent(self, wait_s: float) -> None:
        """Return when another control host must be asked.

        A pull that is not held by the control host ends by its own timeout.
        """
        self._behind.clear()
        if not wait_s:
            await asyncio.sleep(REPLY_MARGIN_S)
        while (left_s := HURRY_AGE_S - self._view.age_s) > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._behind.wait()
                # The change itself is likely on its way.
                await asyncio.sleep(GRACE_S)
                return

    def _is_urgent(self) -> bool:
        view = self._view
        return view.is_behind or view.age_s > HURRY_AGE_S

    def _adapt(self) -> None:
        """Wait longer while gossip confirms, less while it does not."""
        if self._view.age_s < HURRY_AGE_S / 2:
            self._wait_s = min(self._wait_s * 2, MAX_WAIT_S)
        else:
            self._wait_s = max(self._wait_s / 2, MIN_WAIT_S)

    def _take(self, reply: PullReply, asked: int) -> bool:
        """Apply the changes; say whether they could be applied."""
        base = reply.configuration
        first = reply.base_revision if base is None else base.revision
        if first < 0:
            first = asked
        held = self._view.current
        if base is None or base.revision <= held.revision:
            base = held
        if base.revision < first:
            return False
        try:
            configuration = _apply_all(base, reply.changes, first)
        except ChangeInvalidError as error:
            log.error('An accepted change is invalid here: {}.', error)
            return False
        if self._view.replace(configuration):
            events.write(
                ConfigurationTaken(
                    configuration.revision,
                    configuration.plan.label,
                    tuple(sorted(configuration.data_centres_out)),
                ),
            )
        return True

    async def _save_changes(self) -> None:
        """Save each configuration, the newest one if several came."""
        saved = self._saved
        if saved is None:
            return
        changed = asyncio.Event()
        self._view.changes.subscribe(lambda _: changed.set())
        done = self._view.current.revision
        while True:
            await changed.wait()
            changed.clear()
            configuration = self._view.current
            if configuration.revision == done:
                continue
            try:
                await asyncio.to_thread(saved.save, configuration)
            except OSError as error:
                log.error("The configuration can't be saved: {}.", error)
            done = configuration.revision


def _apply_all(
    base: Configuration,
    changes: Sequence[Change],
    first: int,
) -> Configuration:
    """Apply the changes that follow a base; they begin after a revision."""
    return reduce(apply, changes[base.revision - first :], base)
