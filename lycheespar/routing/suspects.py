"""Sends suspects of a crash to one node and refuses convicted requests."""

from __future__ import annotations

import hashlib

from lycheespar.admission.suspects import SuspectTable, Verdict
from lycheespar.call import Answer, Call, Dispatch, Execution
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    ChannelError,
    CrashSuspectError,
    NoTargetError,
    TargetGoneError,
)
from lycheespar.membership.records import MemberRecord
from lycheespar.membership.view import MembershipView
from lycheespar.routing.pool import ChannelPool

# Time in seconds after which a caller may try again without a target.
RETRY_S = 1


class Designation:
    """Chooses the one node that runs a suspect, by rendezvous hashing.

    Parameters
    ----------
    node : str
        Identity of this node.
    members : MembershipView
        All nodes known.
    configuration : ConfigurationView
        Says what is taken out.
    """

    __slots__ = ('_configuration', '_members', '_node')

    def __init__(
        self,
        node: str,
        members: MembershipView,
        configuration: ConfigurationView,
    ) -> None:
        """Keep the parts."""
        self._node = node
        self._members = members
        self._configuration = configuration

    def choose(self, service: str, fingerprint: bytes) -> MemberRecord | None:
        """Return the node that runs a suspect, if there is one."""
        working = (
            record
            for record in self._members.of_service(service)
            if record.takes_work
            and not self._configuration.is_out(
                record.data_centre,
                record.target,
            )
        )
        return max(
            working,
            key=lambda record: _rank(record, fingerprint),
            default=None,
        )

    def is_own(self, service: str, fingerprint: bytes) -> bool:
        """Whether this node runs a suspect."""
        record = self.choose(service, fingerprint)
        return record is not None and record.node == self._node


class SuspectDispatch:
    """Dispatches calls that are under no suspicion as usual.

    Parameters
    ----------
    dispatch : Dispatch
        Runs calls as usual.
    suspects : SuspectTable
        What is known of crashes.
    designation : Designation
        Chooses the node of a suspect.
    pool : ChannelPool
        Channels to other nodes.
    local : Execution
        Runs calls at this node's own target.
    """

    __slots__ = ('_designation', '_dispatch', '_local', '_pool', '_suspects')

    def __init__(
        self,
        dispatch: Dispatch,
        suspects: SuspectTable,
        designation: Designation,
        pool: ChannelPool,
        local: Execution,
    ) -> None:
        """Keep the parts."""
        self._dispatch = dispatch
        self._suspects = suspects
        self._designation = designation
        self._pool = pool
        self._local = local

    async def dispatch(self, call: Call) -> Answer:
        """Run a call, a suspect at one node only.

        Raises
        ------
        CrashSuspectError
            Requests like this one crashed their targets.
        RequestError
            No target gave an answer.
        """
        fingerprint = call.fingerprint
        match self._suspects.verdict(fingerprint):
            case Verdict.clear:
                return await self._dispatch.dispatch(call)
            case Verdict.suspect:
                return await self._run_designated(call)
            case Verdict.convicted:
                raise CrashSuspectError(
                    retry_after_s=self._suspects.retry_after_s(fingerprint),
                )

    async def _run_designated(self, call: Call) -> Answer:
        record = self._designation.choose(call.service, call.fingerprint)
        if record is None:
            raise NoTargetError(call.service, RETRY_S)
        if self._designation.is_own(call.service, call.fingerprint):
            return await self._local.execute(call)
        try:
            return await self._pool.remote(record).execute(call)
        except ChannelError as error:
            raise TargetGoneError(error.detail) from error


def _rank(record: MemberRecord, fingerprint: bytes) -> bytes:
    content = fingerprint + record.node.encode()
    return hashlib.blake2b(content, digest_size=8).digest()
