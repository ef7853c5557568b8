"""Asks other nodes for the recorded outcomes of idempotency keys."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.admission.key_records import KeyRecords, key_digest
from lycheespar.call import Answer, Call
from lycheespar.control.messages import Claim
from lycheespar.errors import (
    OutcomeUnknownError,
    RefusedError,
    RequestError,
    StillRunningError,
)
from lycheespar.membership.records import MemberRecord
from lycheespar.membership.view import MembershipView
from lycheespar.routing.pool import ChannelPool

# Longest time in seconds for the reply of one node.
RECALL_TIMEOUT_S: Final = 0.5


class Recall:
    """Finds recorded outcomes.

    Parameters
    ----------
    node : str
        Identity of this node.
    incarnation : int
        Incarnation of this node.
    members : MembershipView
        All nodes known.
    pool : ChannelPool
        Channels to other nodes.
    records : KeyRecords
        Outcomes that this node knows.
    """

    __slots__ = ('_members', '_pool', '_records', 'incarnation', 'node')

    def __init__(
        self,
        node: str,
        incarnation: int,
        members: MembershipView,
        pool: ChannelPool,
        records: KeyRecords,
    ) -> None:
        """Keep the parts."""
        self.node = node
        self.incarnation = incarnation
        self._members = members
        self._pool = pool
        self._records = records

    async def of_holder(self, call: Call, claim: Claim) -> Answer:
        """Return the answer of the attempt that holds a key.

        Raises
        ------
        AttemptNotRunError
            The attempt did not run and never will.
        StillRunningError
            The attempt is under way.
        OutcomeUnknownError
            The attempt may have run.
        """
        try:
            return await self._of_attempt(claim)
        except StillRunningError:
            raise
        except OutcomeUnknownError as error:
            return await self.search(call, error)

    async def search(self, call: Call, error: RequestError) -> Answer:
        """Return the answer that a node of the service has recorded.

        Parameters
        ----------
        call : Call
            The call.
        error : RequestError
            Raised if no node has an answer.

        Raises
        ------
        StillRunningError
            The call is running at a node of the service.
        """
        key = key_digest(call)
        records = tuple(self._members.of_service(call.service))
        replies = await asyncio.gather(
            *(self._ask(record, key, b'') for record in records),
            return_exceptions=True,
        )
        answers = [found for found in replies if isinstance(found, Answer)]
        if answers:
            return answers[0]
        running = [
            found for found in replies if isinstance(found, StillRunningError)
        ]
        raise running[0] if running else _unknown(error)

    async def _of_attempt(self, claim: Claim) -> Answer:
        if claim.holder == self.node:
            if claim.incarnation != self.incarnation:
                raise OutcomeUnknownError('this node has restarted')
            return self._recorded(claim.key, claim.attempt)
        record = self._members.get(claim.holder)
        if record is None or record.incarnation != claim.incarnation:
            raise OutcomeUnknownError('the node of the attempt is gone')
        return await self._ask(record, claim.key, claim.attempt)

    async def _ask(
        self,
        record: MemberRecord,
        key: bytes,
        attempt: bytes,
    ) -> Answer:
        if record.node == self.node:
            return self._recorded(key, attempt)
        remote = self._pool.remote(record)
        return await remote.recall(key, attempt, RECALL_TIMEOUT_S)

    def _recorded(self, key: bytes, attempt: bytes) -> Answer:
        match self._records.recall(key, attempt):
            case Answer() as answer:
                return answer
            case error:
                raise error


def _unknown(error: RequestError) -> RequestError:
    """Keep an error from saying "not run" about another attempt."""
    if isinstance(error, RefusedError):
        return OutcomeUnknownError(error.detail)
    return error
