"""Replication of the leader's log to one other control host."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Final

from loguru import logger

from lycheespar.control.agreement.follower_progress import FollowerProgress
from lycheespar.control.agreement.notifier import Notifier
from lycheespar.control.agreement.peer_messages import (
    Append,
    Install,
    LogPosition,
    PeerReply,
)
from lycheespar.control.agreement.peers import Peers, Timing
from lycheespar.control.agreement.replica import Replica
from lycheespar.control.link import LinkClosedError, LinkTimeoutError
from lycheespar.control.state.entries import LogEntry

# Bounds of the entries in one message, which has at least one entry. A host
# answers nothing else while it stores them.
MAX_ENTRIES_PER_MESSAGE: Final = 64
MAX_BYTES_PER_MESSAGE: Final = 1024 * 1024

# Applies a reply to the message that was sent at a given time.
ReplyHandler = Callable[[FollowerProgress, PeerReply, float], None]

log = logger.bind(part='control')


class Replication:
    """Sends heartbeats, entries and states to one other control host.

    Heartbeats carry no entries. They find the index up to which the logs
    agree, and confirm the leadership. Entries and states are sent beside
    them, one message at a time and without a time-out: a message that takes
    long is neither sent again meanwhile, nor is its reply ignored, nor does
    it end the leadership.

    A link keeps the order of messages. A message whose reply has not arrived
    soon after that to a later heartbeat is therefore lost and sent again.

    Parameters
    ----------
    follower : FollowerProgress
        Progress of the host.
    replica : Replica
        Replicated state of the leader.
    peers : Peers
        Links to the other control hosts.
    timing : Timing
        Time-outs and intervals of the group.
    send_requested : Notifier
        Notified when there is something to send before the next heartbeat.
    handle_reply : ReplyHandler
        Applies the replies.
    """

    __slots__ = (
        '_follower',
        '_handle_reply',
        '_peers',
        '_replica',
        '_send_requested',
        '_term',
        '_timing',
        '_transfer',
    )

    def __init__(
        self,
        follower: FollowerProgress,
        replica: Replica,
        peers: Peers,
        timing: Timing,
        send_requested: Notifier,
        handle_reply: ReplyHandler,
    ) -> None:
        """Prepare to replicate in the current term; `run` starts."""
        self._follower = follower
        self._replica = replica
        self._peers = peers
        self._timing = timing
        self._send_requested = send_requested
        self._handle_reply = handle_reply
        self._term = replica.term
        self._transfer: asyncio.Task[bool] | None = None

    async def run(self, is_wanted: Callable[[], bool]) -> None:
        """Replicate while a condition holds and the link is open."""
        try:
            while is_wanted():
                await self._run_round()
        except LinkClosedError:
            return
        finally:
            self._abandon_transfer()

    async def _run_round(self) -> None:
        """Send what the host lacks, or else a heartbeat."""
        if self._transfer is None and self._has_more_to_send:
            self._transfer = asyncio.create_task(self._send_entries())
        if await self._finish_transfer(self._timing.heartbeat_s):
            return
        before = self._follower.next_index
        if not await self._send(
            self._heartbeat(), self._timing.reply_timeout_s
        ):
            return
        if self._transfer is not None:
            if not await self._finish_transfer(self._timing.reply_timeout_s):
                log.info("A transfer to '{}' is lost.", self._follower.host)
                self._abandon_transfer()
        elif before == self._follower.next_index and (
            not self._has_more_to_send
        ):
            await self._wait_until_send_due()

    async def _finish_transfer(self, timeout_s: float) -> bool:
        """Wait for the running transfer; return whether one has ended.

        After a transfer that brought the host no further, or all it lacked,
        this also waits until the next message is due.
        """
        if self._transfer is None:
            return False
        await asyncio.wait((self._transfer,), timeout=timeout_s)
        if not self._transfer.done():
            return False
        transfer, self._transfer = self._transfer, None
        progressed = transfer.result()
        if not progressed or not self._has_more_to_send:
            await self._wait_until_send_due()
        return True

    def _abandon_transfer(self) -> None:
        if self._transfer is not None:
            self._transfer.cancel()
            self._transfer = None

    @property
    def _has_more_to_send(self) -> bool:
        """Whether the host is known to lack entries, or the whole state."""
        follower = self._follower
        if self._replica.log.term_at(follower.next_index - 1) is None:
            return True
        last_index = self._replica.last.index
        return follower.agrees and follower.next_index <= last_index

    async def _send_entries(self) -> bool:
        """Send entries or the state; return whether the host got further."""
        before = self._follower.next_index
        await self._send(self._transfer_message(), None)
        return self._follower.next_index != before

    async def _send(
        self, message: Append | Install, timeout_s: float | None
    ) -> bool:
        """Send a message and apply its reply; return whether one came."""
        sent_at = asyncio.get_running_loop().time()
        try:
            reply = await self._peers.ask(
                self._follower.host, message, timeout_s
            )
        except LinkTimeoutError:
            return False
        self._handle_reply(self._follower, reply, sent_at)
        return True

    def _heartbeat(self) -> Append:
        """Return a message without entries."""
        replica = self._replica
        index = max(self._follower.next_index - 1, replica.log.base_index)
        term = replica.log.term_at(index)
        if term is None:
            return self._append_message(replica.last, ())
        return self._append_message(LogPosition(index, term), ())

    def _transfer_message(self) -> Append | Install:
        """Return the next entries; the state if the log lacks the first."""
        replica = self._replica
        index = self._follower.next_index - 1
        term = replica.log.term_at(index)
        if term is None:
            state = replica.snapshot()
            return Install(state.group, self._term, replica.name, state)
        entries = replica.log.entries(
            index + 1, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE
        )
        return self._append_message(LogPosition(index, term), entries)

    def _append_message(
        self, previous: LogPosition, entries: Sequence[LogEntry]
    ) -> Append:
        replica = self._replica
        return Append(
            replica.state.group,
            self._term,
            replica.name,
            previous,
            tuple(entries),
            replica.state.index,
        )

    async def _wait_until_send_due(self) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(self._timing.heartbeat_s):
                await self._send_requested.wait()
