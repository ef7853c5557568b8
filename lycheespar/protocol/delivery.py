"""Tells messages that wait in buffers from those that get no reply."""

from __future__ import annotations

from typing import Final, Protocol

# Bytes that leave in one segment. A message with no more than that before its
# end does not wait behind other bytes.
SEGMENT_BYTES: Final = 1400


class Traffic(Protocol):
    """A connection that counts its bytes."""

    @property
    def written_bytes(self) -> int:
        """Bytes that were written to the connection."""

    @property
    def acknowledged_bytes(self) -> int:
        """Written bytes that have reached the other host."""

    @property
    def received_bytes(self) -> int:
        """Bytes that were received."""


class Delivery:
    """Follows a message on its way, and the bytes that arrive afterwards.

    Parameters
    ----------
    traffic : Traffic
        Connection to which the message has just been written.
    """

    __slots__ = ('_acknowledged', '_end', '_received', '_traffic')

    def __init__(self, traffic: Traffic) -> None:
        """Record what is still on its way."""
        self._traffic = traffic
        self._end = traffic.written_bytes
        self._acknowledged = traffic.acknowledged_bytes
        self._received = traffic.received_bytes

    def has_advanced(self) -> bool:
        """Return whether the message or its reply moved since the last look.

        A message that waits behind others moves while the other host
        acknowledges bytes; afterwards its reply moves while bytes arrive.
        """
        acknowledged = self._acknowledged
        received = self._received
        self._acknowledged = self._traffic.acknowledged_bytes
        self._received = self._traffic.received_bytes
        if acknowledged < self._end - SEGMENT_BYTES:
            return self._acknowledged > acknowledged
        return self._received > received
