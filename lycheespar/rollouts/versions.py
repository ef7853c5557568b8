"""Which versions of a service's targets get calls."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Final

from lycheespar.call import Answer, Call, Execution
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import OutOfServiceError
from lycheespar.membership.records import MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.rollouts.order import Rollout, RolloutState
from lycheespar.targets.announcement import LocalTarget

# Time in seconds without a confirmation of the configuration after which a node
# sends nothing more to a version that is being rolled out. It is the time after
# which a node counts as out of touch with the control hosts.
SHARE_LEASE_S: Final = 3
# Share with which all calls go to the new version.
_WHOLE: Final = 1.0


class VersionRouting:
    """Narrows the targets of a service to the versions that may get a call.

    Parameters
    ----------
    members : MembershipView
        All known nodes with the versions of their targets.
    configuration : ConfigurationView
        Provides the roll-outs.
    source : random.Random
        Source of random numbers.
    enabled : bool
        Whether a new version gets calls only by a roll-out.
    """

    __slots__ = (
        '_configuration',
        '_credits',
        '_enabled',
        '_members',
        '_random',
    )

    def __init__(
        self,
        members: MembershipView,
        configuration: ConfigurationView,
        source: random.Random,
        *,
        enabled: bool,
    ) -> None:
        """Create a routing without calls so far."""
        self._members = members
        self._configuration = configuration
        self._random = source
        self._enabled = enabled
        self._credits: dict[str, tuple[str, float]] = {}

    def narrow(
        self,
        service: str,
        records: Sequence[MemberRecord],
        *,
        first_attempt: bool,
    ) -> Sequence[MemberRecord]:
        """Return the records whose version may get the attempt.

        Parameters
        ----------
        service : str
            Name of the service.
        records : Sequence[MemberRecord]
            Nodes whose targets can take the call.
        first_attempt : bool
            Whether it is the call's first attempt. Others go to the version
            in service, so that they do not add to the share of a new one.
        """
        if not self._enabled:
            return records
        rollout = self._configuration.current.rollouts.get(service)
        versions = self._members.versions_of_service(service)
        if rollout is None:
            if len(versions) <= 1:
                return records
            return _of_version(records, most_common_version(versions))
        new = _of_version(records, rollout.version)
        if rollout.is_running and rollout.share < _WHOLE:
            # The first calls judge the version, and cold targets are slow.
            new = [record for record in new if record.phase is Phase.ready]
        if rollout.state is RolloutState.succeeded or not (
            versions.keys() - {rollout.version}
        ):
            return new
        old = _of_version(
            records, most_common_version(versions, rollout.version)
        )
        if self._is_new_due(rollout, first_attempt=first_attempt):
            return new or old
        return old

    def is_in_service(self, service: str, version: str) -> bool:
        """Whether targets of a version may get calls now."""
        if not self._enabled:
            return True
        rollout = self._configuration.current.rollouts.get(service)
        versions = self._members.versions_of_service(service)
        if rollout is None:
            return version == most_common_version({version: 0, **versions})
        match rollout.state:
            case RolloutState.succeeded:
                return version == rollout.version
            case RolloutState.rolled_back:
                return version != rollout.version
            case RolloutState.running:
                return version != rollout.version or self._has_share(rollout)

    def _is_new_due(self, rollout: Rollout, *, first_attempt: bool) -> bool:
        """Whether an attempt goes to the version that is being rolled out."""
        if not rollout.is_running or not self._has_share(rollout):
            return False
        if rollout.share >= _WHOLE:
            return True
        if not first_attempt:
            return False
        version, credit = self._credits.get(rollout.service, ('', 0.0))
        if version != rollout.version:
            # At a random phase, so that the calls of many nodes with few calls
            # each add up to the share.
            credit = self._random.random()
        credit += rollout.share
        is_due = credit >= 1
        self._credits[rollout.service] = (rollout.version, credit - is_due)
        return is_due

    def _has_share(self, rollout: Rollout) -> bool:
        is_leased = self._configuration.age_s <= SHARE_LEASE_S
        return rollout.share > 0 and is_leased


class VersionGate:
    """Refuses calls to a local target whose version is not in service.

    Parameters
    ----------
    execution : Execution
        Runs the calls.
    target : LocalTarget
        The target of this node.
    versions : VersionRouting
        Tells which versions are in service.
    """

    __slots__ = ('_execution', '_target', '_versions')

    def __init__(
        self,
        execution: Execution,
        target: LocalTarget,
        versions: VersionRouting,
    ) -> None:
        """Create a gate in front of an execution."""
        self._execution = execution
        self._target = target
        self._versions = versions

    async def execute(self, call: Call) -> Answer:
        """Run a call.

        Raises
        ------
        OutOfServiceError
            The version of the target is not in service.
        """
        current = self._target.current
        if current is not None and not self._versions.is_in_service(
            current.service_name, current.version
        ):
            raise OutOfServiceError(
                f"version '{current.version}' is not in service",
            )
        return await self._execution.execute(call)


def most_common_version(versions: Mapping[str, int], without: str = '') -> str:
    """Return the version of most targets; of equals, the first by name.

    Parameters
    ----------
    versions : Mapping[str, int]
        Number of targets by version.
    without : str
        Version that is left out.
    """
    return min(
        (version for version in versions if version != without),
        key=lambda version: (-versions[version], version),
        default='',
    )


def _of_version(
    records: Sequence[MemberRecord], version: str
) -> list[MemberRecord]:
    return [record for record in records if record.software_version == version]
