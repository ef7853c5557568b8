"""Answers requests for quotas that this node owns."""

from __future__ import annotations

from typing import Protocol

from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.messages import (
    Message,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
)


class QuotaGrants(Protocol):
    """Quotas that this node owns."""

    def take(self, name: str) -> float:
        """Take a call from a team's quota.

        Returns
        -------
        float
            0 if the call is granted; else the time in seconds until a call
            may be granted, negative if this node does not own the quota.
        """

    def put_back(self, name: str) -> None:
        """Return a call that was granted, but did not run."""


def handle_quota_message(
    message: Message, quotas: QuotaGrants, connection: FrameConnection
) -> None:
    """Handle a message on quotas; any other message has no effect."""
    match message:
        case QuotaRequest(serial, team):
            connection.send(QuotaReply(serial, quotas.take(team)))
        case QuotaReturn(team):
            quotas.put_back(team)
