"""Another node as a place of execution, across the loss of channels."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.call import Answer, Call, Load
from lycheespar.errors import (
    CancelledRequestError,
    ChannelConnectError,
    ChannelError,
    ChannelLostError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    OutcomeUnknownError,
    RequestError,
)
from lycheespar.protocol.channel import Channel
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.opening import open_channel

# Time in seconds for which a call is sent again, with the same id, to the same
# node: from its first copy, or from the loss of the channel on which it was
# acknowledged. Far below the time for which nodes remember ids.
REATTACH_S: Final = 3
# Time in seconds between two attempts to open a channel.
REOPEN_PAUSE_S: Final = 0.02


class _Lost:
    """A call whose channel was lost."""

    __slots__ = ('_resend_until', 'accepted', 'call', 'incarnation')

    def __init__(self, call: Call, incarnation: int, sent_at: float) -> None:
        self.call = call
        self.incarnation = incarnation
        self.accepted = False
        self._resend_until = sent_at + REATTACH_S

    @property
    def may_resend(self) -> bool:
        """Whether there is time to send the call again."""
        now = asyncio.get_running_loop().time()
        return now < min(self._resend_until, self.call.deadline)

    def note(self, error: ChannelLostError) -> None:
        """Take the loss of a channel."""
        if error.accepted:
            self.accepted = True
            now = asyncio.get_running_loop().time()
            self._resend_until = now + REATTACH_S


class RemoteNode:
    """Runs calls at another node.

    Parameters
    ----------
    host : str
        IP number of the node.
    port : int
        Port of its inner protocol.
    hello : Hello
        Who this node is.
    source : str
        IP number of this node from which channels are opened.
    """

    __slots__ = (
        '_channel',
        '_closed',
        '_hello',
        '_host',
        '_opening',
        '_port',
        '_source',
    )

    def __init__(
        self,
        host: str,
        port: int,
        hello: Hello,
        source: str,
    ) -> None:
        """Start without a channel."""
        self._source = source
        self._host = host
        self._port = port
        self._hello = hello
        self._closed = False
        self._channel: Channel | None = None
        self._opening: asyncio.Task[Channel] | None = None

    async def execute(self, call: Call) -> Answer:
        """Run a call; a lost channel is replaced while it is under way.

        Raises
        ------
        ChannelConnectError
            The node can't be reached; nothing was sent.
        RefusedError
            The call was definitely not run.
        OutcomeUnknownError
            The call may have run.
        """
        channel = await self._first(call)
        sent_at = asyncio.get_running_loop().time()
        try:
            return await channel.execute(call)
        except ChannelLostError as error:
            lost = _Lost(call, channel.incarnation, sent_at)
            lost.note(error)
            return await self._recover(lost)

    def ask_load(self) -> asyncio.Future[Load] | None:
        """Ask for the load of the node's target at this instant.

        Returns nothing where no channel is open: one is opened for the calls
        that follow.
        """
        if self._channel is not None and self._channel.usable:
            return self._channel.ask_load()
        if not self._closed and (self._opening is None or self._opening.done()):
            self._opening = asyncio.create_task(self._open())
            self._opening.add_done_callback(_read_error)
        return None

    async def recall(
        self,
        key: bytes,
        attempt: bytes,
        timeout_s: float,
    ) -> Answer:
        """Ask for the outcome of an idempotency key, which starts nothing.

        Parameters
        ----------
        key : bytes
            Digest of service and key.
        attempt : bytes
            Attempt that the node made; empty for any that it executed.
        timeout_s : float
            Longest time to wait, in seconds.

        Raises
        ------
        RequestError
            What the node knows instead of an answer.
        OutcomeUnknownError
            The node can't be asked.
        """
        try:
            async with asyncio.timeout(timeout_s):
                channel = await self._current()
                return await channel.recall(key, attempt, timeout_s)
        except (TimeoutError, ChannelError) as error:
            raise OutcomeUnknownError("the node can't be asked") from error

    async def close(self) -> None:
        """Close the channel; no other is opened."""
        self._closed = True
        if self._opening is not None:
            self._opening.cancel()
        if self._channel is not None:
            await self._channel.close()

    async def _first(self, call: Call) -> Channel:
        """Return a channel for a call that was not sent so far."""
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._current()
        except TimeoutError as error:
            raise DeadlineUnreachableError('no channel in time') from error

    async def _recover(self, lost: _Lost) -> Answer:
        """Send a call again to the same incarnation of the node."""
        while True:
            channel = await self._reopen(lost)
            if not isinstance(lost.call.body, bytes):
                raise await _resolve(channel, lost)
            try:
                return await channel.execute(
                    lost.call,
                    attach_only=lost.accepted,
                )
            except ChannelLostError as error:
                lost.note(error)

    async def _reopen(self, lost: _Lost) -> Channel:
        """Return a new channel to the same incarnation of the node.

        Raises
        ------
        OutcomeUnknownError
            There is none in time, or the node has ended.
        """
        while lost.may_resend and not self._closed:
            channel = await self._try_open(lost.call)
            if channel is None:
                continue
            if channel.incarnation != lost.incarnation:
                raise OutcomeUnknownError('the node has restarted')
            if lost.may_resend:
                return channel
        raise OutcomeUnknownError('channel lost')

    async def _try_open(self, call: Call) -> Channel | None:
        """Return a new channel, or nothing if another try is worth it."""
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._current()
        except TimeoutError as error:
            raise DeadlineExceededError('channel lost') from error
        except ChannelConnectError as error:
            await _pause_unless_ended(error)
        return None

    async def _current(self) -> Channel:
        """Return the usable channel; calls that wait share its opening."""
        if self._channel is not None and self._channel.usable:
            return self._channel
        if self._closed:
            raise ChannelConnectError('closed')
        if self._opening is None or self._opening.done():
            self._opening = asyncio.create_task(self._open())
            self._opening.add_done_callback(_read_error)
        opening = self._opening
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            if opening.cancelled():
                raise ChannelConnectError('closed') from None
            raise

    async def _open(self) -> Channel:
        self._channel = await open_channel(
            self._host,
            self._port,
            self._hello,
            self._source,
        )
        return self._channel


async def _pause_unless_ended(error: ChannelConnectError) -> None:
    """Wait for the next attempt, unless nobody listens any more."""
    if isinstance(error.__cause__, ConnectionRefusedError):
        raise OutcomeUnknownError('the node has ended') from error
    await asyncio.sleep(REOPEN_PAUSE_S)


async def _resolve(channel: Channel, lost: _Lost) -> RequestError:
    """Cancel a call whose streamed body can't be sent again."""
    call_id = lost.call.call_id
    if await channel.cancel(call_id, accepted=lost.accepted):
        return OutcomeUnknownError('channel lost')
    return CancelledRequestError('channel lost before the start')


def _read_error(task: asyncio.Task[Channel]) -> None:
    """Mark the error of an opening as seen, if nobody waits for it."""
    if not task.cancelled():
        task.exception()
