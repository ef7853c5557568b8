"""Isolates requests that are suspected of crashing their targets.

Calls that look like a suspect request run at a single node. Calls that look
like a convicted request are refused.
"""

from __future__ import annotations

import hashlib

from lycheespar.admission.suspects import Evidence, SuspectTable, Verdict
from lycheespar.call import Answer, Call, Dispatch, Execution
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    ChannelError,
    CrashSuspectError,
    NoTargetError,
    TargetUnavailableError,
)
from lycheespar.membership.records import MemberRecord
from lycheespar.membership.view import MembershipView
from lycheespar.rollouts.versions import VersionRouting
from lycheespar.routing.pool import ChannelPool
from lycheespar.telemetry.crash_events import SuspectHandled
from lycheespar.telemetry.event_log import events

# Value in seconds of ``Retry-After`` when no target is available.
RETRY_AFTER_S = 1


class SuspectPlacement:
    """Selects the one node that runs a suspect request, by rendezvous hashing.

    Parameters
    ----------
    node : str
        Identity of this node.
    members : MembershipView
        All known nodes.
    configuration : ConfigurationView
        Tells which targets and data centres are taken out.
    versions : VersionRouting
        Tells which versions of a service's targets get calls.
    """

    __slots__ = ('_configuration', '_members', '_node', '_versions')

    def __init__(
        self,
        node: str,
        members: MembershipView,
        configuration: ConfigurationView,
        versions: VersionRouting,
    ) -> None:
        """Create a selection as seen from the given node."""
        self._versions = versions
        self._node = node
        self._members = members
        self._configuration = configuration

    def choose(self, service: str, fingerprint: bytes) -> MemberRecord | None:
        """Return the node for a suspect request; None without any target."""
        eligible = [
            record
            for record in self._members.records_of_service(service)
            if record.accepts_calls
            and not self._configuration.is_taken_out(
                record.data_centre,
                record.target,
            )
        ]
        return max(
            self._versions.narrow(service, eligible, first_attempt=False),
            key=lambda record: _rendezvous_rank(record, fingerprint),
            default=None,
        )

    def runs_here(self, service: str, fingerprint: bytes) -> bool:
        """Whether this node is the one that runs a suspect request."""
        record = self.choose(service, fingerprint)
        return record is not None and record.node == self._node


class SuspectDispatch:
    """Dispatches each call according to the crash verdict on its fingerprint.

    Parameters
    ----------
    dispatch : Dispatch
        Runs calls that are not suspected.
    suspects : SuspectTable
        Verdicts on fingerprints of requests.
    placement : SuspectPlacement
        Selects the node that runs a suspect request.
    pool : ChannelPool
        Channels to other nodes.
    local : Execution
        Runs calls at the local target.
    """

    __slots__ = ('_dispatch', '_local', '_placement', '_pool', '_suspects')

    def __init__(
        self,
        dispatch: Dispatch,
        suspects: SuspectTable,
        placement: SuspectPlacement,
        pool: ChannelPool,
        local: Execution,
    ) -> None:
        """Create a dispatcher in front of the usual one."""
        self._dispatch = dispatch
        self._suspects = suspects
        self._placement = placement
        self._pool = pool
        self._local = local

    async def dispatch(self, call: Call) -> Answer:
        """Run a call; a suspect request runs only at its designated node.

        Raises
        ------
        CrashSuspectError
            Requests with the same fingerprint crashed their targets.
        RequestError
            No target returned an answer.
        """
        fingerprint = call.fingerprint
        evidence = self._suspects.evidence(fingerprint)
        match evidence.verdict:
            case Verdict.clear:
                return await self._dispatch.dispatch(call)
            case Verdict.suspect:
                record = self._placement.choose(call.service, fingerprint)
                _write_verdict(call, evidence, record)
                return await self._run_designated(call, record)
            case Verdict.convicted:
                _write_verdict(call, evidence, None)
                raise CrashSuspectError(
                    retry_after_s=self._suspects.retry_after_s(fingerprint),
                )

    async def _run_designated(
        self, call: Call, record: MemberRecord | None
    ) -> Answer:
        if record is None:
            raise NoTargetError(call.service, RETRY_AFTER_S)
        if self._placement.runs_here(call.service, call.fingerprint):
            return await self._local.execute(call)
        try:
            return await self._pool.remote_node(record).execute(call)
        except ChannelError as error:
            raise TargetUnavailableError(error.detail) from error


def _write_verdict(
    call: Call, evidence: Evidence, record: MemberRecord | None
) -> None:
    events.write(
        SuspectHandled(
            call.request_id,
            call.fingerprint.hex(),
            evidence.verdict.value,
            evidence.crashes,
            evidence.most_shared,
            '' if record is None else record.node,
        ),
    )


def _rendezvous_rank(record: MemberRecord, fingerprint: bytes) -> bytes:
    content = fingerprint + record.node.encode()
    return hashlib.blake2b(content, digest_size=8).digest()
