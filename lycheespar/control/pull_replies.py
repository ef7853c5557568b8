"""Replies to pulls: the changes that a node lacks, or the configuration."""

from __future__ import annotations

from typing import Final

import msgspec

from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import Stamp
from lycheespar.control.messages import PullReply
from lycheespar.control.state.state import AcceptedChange, GroupState

# Changes beyond which a node gets the whole configuration: it checks each
# change against all of the configuration before it applies it.
MAX_CHANGES_PER_REPLY: Final = 32

_encoder: Final = msgspec.msgpack.Encoder()


class ReplyBuilder:
    """Builds replies that are cheap to send and to apply."""

    __slots__ = ('_measured', '_measured_bytes')

    def __init__(self) -> None:
        """Create a builder that has not measured any configuration."""
        self._measured: Configuration | None = None
        self._measured_bytes = 0

    def build(
        self, state: GroupState, revision: int, stamp: Stamp, held_ms: float
    ) -> PullReply:
        """Return the reply that brings a node from a revision to a state.

        Parameters
        ----------
        state : GroupState
            Newest state of the control host.
        revision : int
            Revision in force at the node.
        stamp : Stamp
            Newest freshness stamp.
        held_ms : float
            Time in milliseconds for which the pull was held.
        """
        missing = state.accepted_since(revision)
        if missing is None or self._costs_more_than_all(missing, state):
            return PullReply(
                stamp, configuration=state.configuration, held_ms=held_ms
            )
        return PullReply(
            stamp,
            tuple(accepted.command.change for accepted in missing),
            held_ms=held_ms,
            base_revision=revision,
        )

    def _costs_more_than_all(
        self, missing: list[AcceptedChange], state: GroupState
    ) -> bool:
        """Whether changes cost a node more than the whole configuration."""
        if len(missing) < 2:
            return False
        if len(missing) > MAX_CHANGES_PER_REPLY:
            return True
        missing_bytes = sum(accepted.size_bytes for accepted in missing)
        return missing_bytes > self._size_bytes(state.configuration)

    def _size_bytes(self, configuration: Configuration) -> int:
        """Return the encoded size of a configuration in bytes."""
        if configuration is not self._measured:
            self._measured = configuration
            self._measured_bytes = len(_encoder.encode(configuration))
        return self._measured_bytes
