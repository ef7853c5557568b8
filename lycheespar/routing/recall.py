"""Looks up recorded outcomes of idempotency keys at other nodes."""

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

# Time-out in seconds of the reply of one node.
RECALL_TIMEOUT_S: Final = 0.5


class OutcomeLookup:
    """Looks up the outcomes that nodes have recorded for a key.

    Parameters
    ----------
    node : str
        Identity of this node.
    incarnation : int
        Incarnation of this node.
    members : MembershipView
        All known nodes.
    pool : ChannelPool
        Channels to other nodes.
    records : KeyRecords
        Outcomes recorded by this node.
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
        """Create a lookup that runs at the given node and incarnation."""
        self.node = node
        self.incarnation = incarnation
        self._members = members
        self._pool = pool
        self._records = records

    async def outcome_of_holder(self, call: Call, claim: Claim) -> Answer:
        """Return the answer of the attempt that holds a key.

        Raises
        ------
        AttemptNotRunError
            The attempt did not run and will not run later.
        StillRunningError
            The attempt is in progress.
        OutcomeUnknownError
            The attempt may have run.
        """
        try:
            return await self._query_holder(claim)
        except StillRunningError:
            raise
        except OutcomeUnknownError as error:
            return await self.search_service(call, error)

    async def search_service(self, call: Call, error: RequestError) -> Answer:
        """Return the answer that any node of the service has recorded.

        Parameters
        ----------
        call : Call
            The call.
        error : RequestError
            Error to raise if no node has an answer.

        Raises
        ------
        StillRunningError
            The call is running at a node of the service.
        """
        key = key_digest(call)
        records = tuple(self._members.records_of_service(call.service))
        replies = await asyncio.gather(
            *(self._query_node(record, key, b'') for record in records),
            return_exceptions=True,
        )
        answers = [found for found in replies if isinstance(found, Answer)]
        if answers:
            return answers[0]
        running = [
            found for found in replies if isinstance(found, StillRunningError)
        ]
        raise running[0] if running else _as_unknown(error)

    async def _query_holder(self, claim: Claim) -> Answer:
        if claim.holder == self.node:
            if claim.incarnation != self.incarnation:
                raise OutcomeUnknownError('this node has restarted')
            return self._local_outcome(claim.key, claim.attempt)
        record = self._members.get(claim.holder)
        if record is None or record.incarnation != claim.incarnation:
            raise OutcomeUnknownError(
                'the node that holds the claim has left or restarted'
            )
        return await self._query_node(record, claim.key, claim.attempt)

    async def _query_node(
        self,
        record: MemberRecord,
        key: bytes,
        attempt: bytes,
    ) -> Answer:
        if record.node == self.node:
            return self._local_outcome(key, attempt)
        remote = self._pool.remote_node(record)
        return await remote.query_outcome(key, attempt, RECALL_TIMEOUT_S)

    def _local_outcome(self, key: bytes, attempt: bytes) -> Answer:
        match self._records.recall(key, attempt):
            case Answer() as answer:
                return answer
            case error:
                raise error


def _as_unknown(error: RequestError) -> RequestError:
    """Convert a refusal to an unknown outcome.

    A refusal would say that the call did not run, but another attempt may
    have run.
    """
    if isinstance(error, RefusedError):
        return OutcomeUnknownError(error.detail)
    return error
