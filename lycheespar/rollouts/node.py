"""The parts of a node that take part in roll-outs."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from lycheespar.call import Execution
from lycheespar.configuration.view import ConfigurationView
from lycheespar.membership.view import MembershipView
from lycheespar.rollouts.evidence import CountedClient, EvidenceCounter
from lycheespar.rollouts.reporter import EvidenceReporter
from lycheespar.rollouts.versions import VersionGate, VersionRouting
from lycheespar.targets.announcement import LocalTarget
from lycheespar.targets.client import Client

if TYPE_CHECKING:
    from lycheespar.control.following.configuration_follower import NodeLink


class NodeRollouts:
    """Routes by version, checks the local target's version and reports on it.

    Parameters
    ----------
    node : str
        Identity of this node.
    incarnation : int
        Number that grows with each start of this node.
    members : MembershipView
        All known nodes with the versions of their targets.
    configuration : ConfigurationView
        Provides the roll-outs.
    target : LocalTarget
        The target of this node.
    enabled : bool
        Whether a new version gets calls only by a roll-out. If not, this
        changes nothing.

    Attributes
    ----------
    versions : VersionRouting
        Tells which versions of a service's targets get calls.
    """

    __slots__ = (
        '_configuration',
        '_counter',
        '_enabled',
        '_node',
        '_reporter',
        '_target',
        'versions',
    )

    def __init__(
        self,
        node: str,
        incarnation: int,
        members: MembershipView,
        configuration: ConfigurationView,
        target: LocalTarget,
        *,
        enabled: bool,
    ) -> None:
        """Create the parts; `start_reporting` begins to report."""
        self._node = node
        self._configuration = configuration
        self._target = target
        self._enabled = enabled
        self._counter = EvidenceCounter(
            node, incarnation, target, self._is_rolled_out
        )
        self._reporter: EvidenceReporter | None = None
        self.versions = VersionRouting(
            members, configuration, random.Random(), enabled=enabled
        )

    def wrap_client(self, client: Client) -> Client:
        """Return a client whose calls count as evidence."""
        return CountedClient(client, self._counter) if self._enabled else client

    def wrap_execution(self, execution: Execution) -> Execution:
        """Return an execution that checks the version of the target."""
        if not self._enabled:
            return execution
        return VersionGate(execution, self._target, self.versions)

    def start_reporting(self, links: Callable[[], Sequence[NodeLink]]) -> None:
        """Start to report to the control hosts."""
        if self._enabled:
            offset = zlib.crc32(self._node.encode())
            self._reporter = EvidenceReporter(self._counter, links, offset)
            self._reporter.start()

    def stop_reporting(self) -> None:
        """Stop reporting."""
        if self._reporter is not None:
            self._reporter.stop()

    def _is_rolled_out(self, service: str) -> bool:
        """Whether a roll-out of a service is running."""
        rollout = self._configuration.current.rollouts.get(service)
        return rollout is not None and rollout.is_running
