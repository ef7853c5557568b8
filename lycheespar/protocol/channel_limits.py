"""Limits that the channels accepted by one server share."""

from __future__ import annotations

import resource
from typing import Final, Protocol

from lycheespar.telemetry.error_events import ChannelRejected
from lycheespar.telemetry.event_log import events

# Channels on which no `Hello` has arrived yet.
MAX_UNIDENTIFIED: Final = 256
# All accepted channels; more than the nodes of the largest fleet.
MAX_CHANNELS: Final = 1536
# Share of the descriptors of the process that accepted channels may use.
DESCRIPTOR_SHARE: Final = 3 / 8
# Largest payload that a channel may receive without a reservation.
SMALL_FRAME_BYTES: Final = 16 * 1024
# Payloads of unfinished frames that are reserved at once.
MAX_UNFINISHED_BYTES: Final = 16 * 1024 * 1024
# Replies that wait for one peer, up to which its messages are always read.
FAIR_UNSENT_BYTES: Final = 256 * 1024
# Replies that wait for all peers.
MAX_UNSENT_BYTES: Final = 16 * 1024 * 1024


class LimitedChannel(Protocol):
    """Channel whose use of memory and descriptors is limited."""

    last_message_at: float

    @property
    def unsent_bytes(self) -> int:
        """Bytes of replies that the peer has not taken."""

    def abort(self) -> None:
        """Close the channel at once."""


class ChannelLimits:
    """Bounds what the accepted channels of one server cost together.

    Where a limit is exceeded, the channel that has used it for the longest
    time is closed; its node opens another one and resends its calls.

    Parameters
    ----------
    max_channels : int | None
        Largest number of channels; derived from the limit on descriptors if
        None.
    """

    __slots__ = ('_identified', '_max_channels', '_unfinished', '_unidentified')

    def __init__(self, max_channels: int | None = None) -> None:
        """Create limits without channels."""
        self._max_channels = max_channels or _default_max_channels()
        self._unidentified: dict[LimitedChannel, None] = {}
        self._identified: dict[LimitedChannel, None] = {}
        self._unfinished: dict[LimitedChannel, int] = {}

    def add(self, channel: LimitedChannel) -> None:
        """Add a channel that has not received a `Hello`."""
        self._unidentified[channel] = None
        if len(self._unidentified) > MAX_UNIDENTIFIED:
            self._close_oldest_unidentified()
        elif self._count > self._max_channels:
            self._make_room()

    def identify(self, channel: LimitedChannel) -> None:
        """Record that a channel has received a `Hello`."""
        if channel in self._unidentified:
            self._unidentified.pop(channel)
            self._identified[channel] = None

    def remove(self, channel: LimitedChannel) -> None:
        """Remove a channel and release what it holds."""
        self._unidentified.pop(channel, None)
        self._identified.pop(channel, None)
        self._unfinished.pop(channel, None)

    def begin_frame(self, channel: LimitedChannel, size: int) -> None:
        """Reserve the bytes of a frame whose header has arrived."""
        if size <= SMALL_FRAME_BYTES:
            return
        reserved = sum(self._unfinished.values())
        while self._unfinished and reserved + size > MAX_UNFINISHED_BYTES:
            oldest = next(iter(self._unfinished))
            reserved -= self._unfinished.pop(oldest)
            self._close(oldest, 'unfinished_frames')
        self._unfinished[channel] = size

    def end_frame(self, channel: LimitedChannel) -> None:
        """Release the bytes of a frame that has arrived."""
        self._unfinished.pop(channel, None)

    def must_pause(self, channel: LimitedChannel) -> bool:
        """Return whether a channel's peer must take replies first."""
        if channel.unsent_bytes <= FAIR_UNSENT_BYTES:
            return False
        unsent = sum(sending.unsent_bytes for sending in self._identified)
        return unsent > MAX_UNSENT_BYTES

    @property
    def _count(self) -> int:
        return len(self._unidentified) + len(self._identified)

    def _make_room(self) -> None:
        """Close an unidentified channel, or the one silent for longest."""
        if len(self._unidentified) > 1:
            self._close_oldest_unidentified()
            return
        silent = min(self._identified, key=_last_message_at)
        self._identified.pop(silent)
        self._close(silent, 'channels')

    def _close_oldest_unidentified(self) -> None:
        oldest = next(iter(self._unidentified))
        self._unidentified.pop(oldest)
        self._close(oldest, 'unidentified_channels')

    def _close(self, channel: LimitedChannel, limit: str) -> None:
        events.write(ChannelRejected(limit))
        channel.abort()


def _last_message_at(channel: LimitedChannel) -> float:
    return channel.last_message_at


def _default_max_channels() -> int:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CHANNELS
    return max(1, min(MAX_CHANNELS, int(descriptors * DESCRIPTOR_SHARE)))
