"""Keeps a node's configuration up to date by long polling control hosts."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from functools import reduce
from typing import Final, Protocol

from loguru import logger

from lycheespar.background import start_background
from lycheespar.configuration.changes import Change, apply
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import MS_PER_S
from lycheespar.configuration.view import ConfigurationView
from lycheespar.control.following.saved import SavedConfiguration
from lycheespar.control.link import LinkError
from lycheespar.control.messages import (
    ControlReply,
    ControlRequest,
    Failure,
    Pull,
    PullReply,
)
from lycheespar.control.packing import ReplyDamagedError, unpack
from lycheespar.errors import ChangeInvalidError
from lycheespar.settings.options import Address
from lycheespar.telemetry.control_events import PullFailed, PullRecovered
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import ConfigurationApplied

# Bounds of the long-poll time of a pull, in seconds.
MIN_WAIT_S: Final = 1
MAX_WAIT_S: Final = 8
# Bounds of the time for the reply after the long-poll time, in seconds. It
# doubles when all control hosts were silent, as a large reply may take longer.
REPLY_MARGIN_S: Final = 1
MAX_REPLY_MARGIN_S: Final = 4
# Seconds without a confirmation of the configuration after which a pull is
# abandoned and the next one is sent without long polling.
URGENT_AGE_S: Final = 2
# Bounds of the backoff after a failed pull, in seconds.
MIN_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 2
# Interval in seconds at which a node without a connection to any control host
# looks for one.
CONNECTION_POLL_S: Final = 0.1
# Seconds that a running pull gets to deliver a change after a freshness stamp
# has named its revision.
CHANGE_GRACE_S: Final = 0.3
# Reasons of failed pulls that are no error codes.
_ABANDONED: Final = 'abandoned'
_UNEXPECTED: Final = 'unexpected_reply'

log = logger.bind(part='control')


class NodeLink(Protocol):
    """Link from a node to one control host.

    Attributes
    ----------
    address : Address
        Address of the control host.
    """

    address: Address

    @property
    def connected(self) -> bool:
        """Whether a request can be sent at once."""

    async def ask(
        self,
        request: ControlRequest,
        timeout_s: float,
    ) -> ControlReply:
        """Send a request and wait for its reply."""

    def close(self) -> None:
        """Close the link."""


class ConfigurationFollower:
    """Pulls changes from one control host; switches to another on failure.

    Only control hosts to which a link is connected are asked, so that those
    which are down cost no time.

    Pulls are long polls: a control host replies when there is a change, or
    when the long-poll time has passed. That time grows while gossip delivers
    freshness stamps and shrinks without them. A pull is abandoned soon after a
    stamp with a higher revision, and when the configuration has not been
    confirmed for `URGENT_AGE_S`.

    Parameters
    ----------
    node : str
        Identity of this node.
    view : ConfigurationView
        Local configuration that receives the changes.
    links : Callable[[], Sequence[NodeLink]]
        Returns links to the currently known control hosts.
    saved : SavedConfiguration | None
        File in which the newest configuration is saved; None to not save it.
    """

    __slots__ = (
        '_all_silent',
        '_failures',
        '_links',
        '_margin_s',
        '_newer_revision_known',
        '_node',
        '_pause_s',
        '_random',
        '_replied_at',
        '_saved',
        '_tasks',
        '_tried',
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
        """Create a stopped follower; `start` begins to pull."""
        self._node = node
        self._view = view
        self._random = random.Random(node)
        self._links = links
        self._saved = saved
        self._wait_s: float = MIN_WAIT_S
        self._pause_s: float = MIN_PAUSE_S
        self._newer_revision_known = asyncio.Event()
        self._tried: list[NodeLink] = []
        # Whether no control host has replied in this round.
        self._all_silent = True
        self._failures = 0
        self._margin_s: float = REPLY_MARGIN_S
        self._replied_at = view.now()
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    @property
    def wait_s(self) -> float:
        """Present long-poll time in seconds."""
        return self._wait_s

    @property
    def silence_s(self) -> float:
        """Seconds since a control host last answered a pull."""
        return self._view.now() - self._replied_at

    def start(self) -> None:
        """Start the tasks that pull and save the configuration."""
        self._view.newer_stamps.subscribe(
            lambda _: self._newer_revision_known.set()
        )
        self._tasks = (
            start_background('configuration pulls', self._run),
            start_background('saved configuration', self._save_changes),
        )

    def stop(self) -> None:
        """Stop pulling and saving."""
        for task in self._tasks:
            task.cancel()

    async def _run(self) -> None:
        while True:
            link = self._next_link()
            if link is None:
                await asyncio.sleep(CONNECTION_POLL_S)
                continue
            while await self._pull(link):
                self._tried = [link]
            await self._pause()

    def _next_link(self) -> NodeLink | None:
        """Return a connected link, one not tried in this round if possible."""
        connected = [link for link in self._links() if link.connected]
        if not connected:
            return None
        untried = [link for link in connected if link not in self._tried]
        if not untried:
            # The last one is not asked twice in a row if there are others.
            self._tried = self._tried[-1:]
            self._adapt_margin()
            untried = [
                link for link in connected if link not in self._tried
            ] or connected
        link = self._random.choice(untried)
        self._tried.append(link)
        return link

    async def _pause(self) -> None:
        """Wait with exponential backoff and jitter.

        The wait ends, and the backoff starts anew, as soon as a greater
        revision is known.
        """
        pause_s = self._pause_s * self._random.uniform(0.5, 1)
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._newer_revision_known.wait()
                self._newer_revision_known.clear()
                self._pause_s = MIN_PAUSE_S

    async def _pull(self, link: NodeLink) -> bool:
        """Pull once; return whether to pull from this control host again."""
        view = self._view
        wait_s = 0 if self._is_urgent() else self._wait_s
        request = Pull(
            self._node, view.current.revision, wait_s, accepts_packed=True
        )
        began_at = view.now()
        reply = await self._await_reply(link, request)
        if not isinstance(reply, PullReply):
            self._report_failure(link, reply)
            self._wait_s = MIN_WAIT_S
            return False
        self._adapt_wait()
        applied = self._apply_reply(reply, request.revision)
        elapsed_s = view.now() - began_at
        held_s = min(max(reply.held_ms / MS_PER_S, 0), elapsed_s)
        view.accept_stamp(reply.stamp.with_added_age(elapsed_s - held_s))
        self._report_reply(link)
        if applied:
            self._pause_s = MIN_PAUSE_S
        return applied and not self._is_urgent()

    async def _await_reply(
        self,
        link: NodeLink,
        request: Pull,
    ) -> PullReply | str:
        """Return the reply, or the reason why there is none."""
        pull = asyncio.create_task(
            link.ask(request, request.wait_s + self._margin_s),
        )
        urgent = asyncio.create_task(self._wait_until_urgent(request.wait_s))
        try:
            await asyncio.wait(
                (pull, urgent),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            urgent.cancel()
            pull_done = not pull.cancel()
        if not pull_done:
            return _ABANDONED
        try:
            reply = pull.result()
        except LinkError as error:
            return error.code
        match reply:
            case PullReply():
                return _unpack(reply)
            case Failure(code):
                self._all_silent = False
                return code
            case _:
                return _UNEXPECTED

    def _report_failure(self, link: NodeLink, reason: str) -> None:
        self._failures += 1
        events.write(
            PullFailed(
                str(link.address),
                reason,
                self._view.current.revision,
                round(self._view.age_s, 3),
                self._failures,
            ),
        )

    def _report_reply(self, link: NodeLink) -> None:
        self._replied_at = self._view.now()
        self._all_silent = False
        self._margin_s = REPLY_MARGIN_S
        if self._failures:
            events.write(
                PullRecovered(
                    str(link.address),
                    self._failures,
                    self._view.current.revision,
                ),
            )
        self._failures = 0

    async def _wait_until_urgent(self, wait_s: float) -> None:
        """Return when the running pull should be abandoned.

        A pull without long polling first gets its whole time-out.
        """
        self._newer_revision_known.clear()
        if not wait_s:
            await asyncio.sleep(self._margin_s)
        while (remaining_s := URGENT_AGE_S - self._view.age_s) > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._newer_revision_known.wait()
                # The running pull probably delivers the change itself.
                await asyncio.sleep(CHANGE_GRACE_S)
                return

    def _is_urgent(self) -> bool:
        view = self._view
        return view.is_behind or view.age_s > URGENT_AGE_S

    def _adapt_margin(self) -> None:
        """Allow more time after a round in which all hosts were silent."""
        if self._all_silent:
            self._margin_s = min(self._margin_s * 2, MAX_REPLY_MARGIN_S)
        else:
            self._margin_s = REPLY_MARGIN_S
        self._all_silent = True

    def _adapt_wait(self) -> None:
        """Poll longer while gossip confirms the configuration, else shorter."""
        if self._view.age_s < URGENT_AGE_S / 2:
            self._wait_s = min(self._wait_s * 2, MAX_WAIT_S)
        else:
            self._wait_s = max(self._wait_s / 2, MIN_WAIT_S)

    def _apply_reply(self, reply: PullReply, requested_revision: int) -> bool:
        """Apply the changes of a reply; return whether they were applicable."""
        base = reply.configuration
        start_revision = reply.base_revision if base is None else base.revision
        if start_revision < 0:
            start_revision = requested_revision
        local = self._view.current
        if base is None or base.revision <= local.revision:
            base = local
        if base.revision < start_revision:
            return False
        try:
            configuration = _apply_changes(base, reply.changes, start_revision)
        except ChangeInvalidError as error:
            log.error(
                "An accepted change can't be applied on this node: {}.", error
            )
            return False
        if self._view.update_if_newer(configuration):
            events.write(
                ConfigurationApplied(
                    configuration.revision,
                    configuration.plan.label,
                    tuple(sorted(configuration.data_centres_out)),
                ),
            )
        return True

    async def _save_changes(self) -> None:
        """Save new configurations; only the newest if several are pending."""
        saved = self._saved
        if saved is None:
            return
        changed = asyncio.Event()
        self._view.changes.subscribe(lambda _: changed.set())
        handled_revision = self._view.current.revision
        while True:
            await changed.wait()
            changed.clear()
            configuration = self._view.current
            if configuration.revision == handled_revision:
                continue
            try:
                await asyncio.to_thread(saved.save, configuration)
            except OSError as error:
                log.error("The configuration can't be saved: {}.", error)
            handled_revision = configuration.revision


def _unpack(reply: PullReply) -> PullReply | str:
    """Return a reply with its content, or the code of the error."""
    try:
        return unpack(reply)
    except ReplyDamagedError as error:
        log.error("A control host's reply is damaged: {}.", error.detail)
        return error.code


def _apply_changes(
    base: Configuration,
    changes: Sequence[Change],
    start_revision: int,
) -> Configuration:
    """Apply the changes after a start revision that the base lacks."""
    return reduce(apply, changes[base.revision - start_revision :], base)
