"""Runs calls at another node and replaces its channel if it is lost."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.call import Answer, Call, Load
from lycheespar.errors import (
    BadRequestError,
    CancelledRequestError,
    ChannelConnectError,
    ChannelError,
    ChannelLostError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    OutcomeUnknownError,
    RequestBodyAbortedError,
    RequestError,
)
from lycheespar.protocol.channel import Channel
from lycheespar.protocol.messages import Hello
from lycheespar.protocol.opening import open_channel
from lycheespar.quotas.grant import QuotaGrant

# Time in seconds for which a call may be resent to the same node with the same
# id. It starts when the call is first sent, and again when a channel is lost on
# which the call was acknowledged. It must stay far below the time for which
# nodes remember the ids of calls, so that a call is never run twice.
RESEND_PERIOD_S: Final = 3
# Delay in seconds between two attempts to open a channel.
REOPEN_DELAY_S: Final = 0.02


class _LostCall:
    """A call whose channel was lost."""

    __slots__ = (
        '_body_sent',
        '_resend_until',
        'accepted',
        'call',
        'incarnation',
    )

    def __init__(self, call: Call, incarnation: int, sent_at: float) -> None:
        self.call = call
        self.incarnation = incarnation
        self.accepted = False
        self._body_sent = True
        self._resend_until = sent_at + RESEND_PERIOD_S

    @property
    def may_resend(self) -> bool:
        """Whether the call may still be resent."""
        now = asyncio.get_running_loop().time()
        return now < min(self._resend_until, self.call.deadline)

    @property
    def may_continue(self) -> bool:
        """Whether the call may end on another channel.

        A streamed body can't be sent again, but its run goes on if the other
        node may have the whole of it.
        """
        if isinstance(self.call.body, bytes):
            return True
        return self.accepted and self._body_sent

    def record_loss(self, error: ChannelLostError) -> None:
        """Record that a channel was lost while it carried the call."""
        self._body_sent = self._body_sent and error.body_sent
        if error.accepted:
            self.accepted = True
            now = asyncio.get_running_loop().time()
            self._resend_until = now + RESEND_PERIOD_S


class RemoteNode:
    """Runs calls at another node, over one channel at a time.

    Parameters
    ----------
    host : str
        IP address of the node.
    port : int
        Port of its channel server.
    hello : Hello
        First message of this node on each channel.
    source : str
        Local IP address from which channels are opened.
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
        """Start without a channel; the first call opens one."""
        self._source = source
        self._host = host
        self._port = port
        self._hello = hello
        self._closed = False
        self._channel: Channel | None = None
        self._opening: asyncio.Task[Channel] | None = None

    async def execute(self, call: Call) -> Answer:
        """Run a call; if the channel is lost, continue on a new one.

        Raises
        ------
        ChannelConnectError
            The node could not be reached; nothing was sent.
        RefusedError
            The call was not run.
        OutcomeUnknownError
            The call may have run.
        """
        channel = await self._first_channel(call)
        sent_at = asyncio.get_running_loop().time()
        # A streamed body can't be sent again on another channel.
        streamed = not isinstance(call.body, bytes)
        try:
            return await channel.execute(
                call,
                cancel_elsewhere=self._cancel_unstarted if streamed else None,
            )
        except ChannelLostError as error:
            lost = _LostCall(call, channel.incarnation, sent_at)
            lost.record_loss(error)
            return await self._recover(lost)

    def query_load(self) -> asyncio.Future[Load] | None:
        """Ask for the current load of the node's target.

        Returns None if no channel is open, and starts to open one for later
        calls.
        """
        if self._channel is not None and self._channel.usable:
            return self._channel.query_load()
        if not self._closed and (self._opening is None or self._opening.done()):
            self._opening = asyncio.create_task(self._open())
            self._opening.add_done_callback(_retrieve_error)
        return None

    async def take_quota(self, team: str) -> QuotaGrant:
        """Take a call from a quota that the node owns, if it has one left.

        Raises
        ------
        ChannelError
            The node could not be asked.
        """
        channel = await self._get_channel()
        return await channel.quotas.take(team)

    def put_back_quota(self, team: str) -> None:
        """Return a call to a quota that the node owns."""
        if self._channel is not None and self._channel.usable:
            self._channel.quotas.put_back(team)

    async def query_outcome(
        self,
        key: bytes,
        attempt: bytes,
        timeout_s: float,
    ) -> Answer:
        """Ask for the outcome of an idempotency key; starts no call.

        Parameters
        ----------
        key : bytes
            Digest of the service and the idempotency key.
        attempt : bytes
            Id of the attempt that the node made; empty for any attempt that
            it executed.
        timeout_s : float
            Maximum time to wait, in seconds.

        Raises
        ------
        RequestError
            The node has no answer for the key; the error tells why.
        OutcomeUnknownError
            The node could not be reached or did not reply in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                channel = await self._get_channel()
                return await channel.query_outcome(key, attempt, timeout_s)
        except (TimeoutError, ChannelError) as error:
            raise OutcomeUnknownError('no reply from the node') from error

    async def close(self) -> None:
        """Close the channel and open no further ones."""
        self._closed = True
        if self._opening is not None:
            self._opening.cancel()
        if self._channel is not None:
            await self._channel.close()

    async def _first_channel(self, call: Call) -> Channel:
        """Return a channel for a call that has not been sent yet."""
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._get_channel()
        except TimeoutError as error:
            raise DeadlineUnreachableError(
                'no channel was open before the deadline'
            ) from error

    async def _cancel_unstarted(self, call_id: bytes) -> bool:
        """Cancel a call over a new channel; return whether it never starts.

        A call that has started runs on. The result is False too if the node
        doesn't respond.
        """
        try:
            channel = await self._get_channel()
            return not await channel.cancel(
                call_id, accepted=False, unless_started=True
            )
        except ChannelError:
            return False

    async def _recover(self, lost: _LostCall) -> Answer:
        """Resend a call whose channel was lost, or cancel a streamed one.

        A streamed call whose body was sent is continued, not cancelled.
        """
        while True:
            channel = await self._reopen(lost)
            if not lost.may_continue:
                raise await _cancel_lost(channel, lost)
            try:
                return await _continue(channel, lost)
            except ChannelLostError as error:
                lost.record_loss(error)

    async def _reopen(self, lost: _LostCall) -> Channel:
        """Return a new channel to the same incarnation of the node.

        Raises
        ------
        OutcomeUnknownError
            No channel could be opened in time, or the node has ended.
        """
        while lost.may_resend and not self._closed:
            channel = await self._try_reopen(lost.call)
            if channel is None:
                continue
            if channel.incarnation != lost.incarnation:
                raise OutcomeUnknownError('the node has restarted')
            if lost.may_resend:
                return channel
        raise OutcomeUnknownError('channel lost')

    async def _try_reopen(self, call: Call) -> Channel | None:
        """Return a new channel, or None if opening one may be retried."""
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._get_channel()
        except TimeoutError as error:
            raise DeadlineExceededError('channel lost') from error
        except ChannelConnectError as error:
            await _delay_reopening(error)
        return None

    async def _get_channel(self) -> Channel:
        """Return the usable channel, or open one together with other calls."""
        if self._channel is not None and self._channel.usable:
            return self._channel
        if self._closed:
            raise ChannelConnectError('the channel is closed')
        if self._opening is None or self._opening.done():
            self._opening = asyncio.create_task(self._open())
            self._opening.add_done_callback(_retrieve_error)
        opening = self._opening
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            if opening.cancelled():
                raise ChannelConnectError('the channel is closed') from None
            raise

    async def _open(self) -> Channel:
        self._channel = await open_channel(
            self._host,
            self._port,
            self._hello,
            self._source,
        )
        return self._channel


async def _delay_reopening(error: ChannelConnectError) -> None:
    """Wait before the next attempt; fail if the connection was refused."""
    if isinstance(error.__cause__, ConnectionRefusedError):
        raise OutcomeUnknownError('the node has ended') from error
    await asyncio.sleep(REOPEN_DELAY_S)


async def _continue(channel: Channel, lost: _LostCall) -> Answer:
    """Send a call again, or attach to its execution.

    Raises
    ------
    OutcomeUnknownError
        The end of a streamed body was lost with the first channel.
    """
    try:
        return await channel.execute(lost.call, attach_only=lost.accepted)
    except (BadRequestError, RequestBodyAbortedError) as error:
        if isinstance(lost.call.body, bytes):
            raise
        raise OutcomeUnknownError('channel lost') from error


async def _cancel_lost(channel: Channel, lost: _LostCall) -> RequestError:
    """Cancel a call whose streamed body can't be resent; return its error."""
    call_id = lost.call.call_id
    if await channel.cancel(call_id, accepted=lost.accepted):
        return OutcomeUnknownError('channel lost')
    return CancelledRequestError('channel lost before the call started')


def _retrieve_error(task: asyncio.Task[Channel]) -> None:
    """Mark the error of an opening task as retrieved.

    Otherwise asyncio logs it if no call awaits the task.
    """
    if not task.cancelled():
        task.exception()
