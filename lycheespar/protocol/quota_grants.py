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
from lycheespar.quotas.grant import QuotaGrant


class QuotaGrants(Protocol):
    """Quotas that this node owns."""

    def take(self, name: str) -> QuotaGrant:
        """Take a call from a team's quota, if it has one left."""

    def put_back(self, name: str) -> None:
        """Return a call that was granted, but did not run."""


def handle_quota_message(
    message: Message, quotas: QuotaGrants, connection: FrameConnection
) -> None:
    """Handle a message on quotas; any other message has no effect."""
    match message:
        case QuotaRequest(serial, team):
            grant = quotas.take(team)
            connection.send(QuotaReply(serial, grant.wait_s, grant.run_share))
        case QuotaReturn(team):
            quotas.put_back(team)
