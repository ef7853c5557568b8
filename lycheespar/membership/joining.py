"""Joins through a seed, and finds members beyond a partition again."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from lycheespar.membership.detector import Detector
from lycheespar.membership.endpoint import Endpoint, HostPort
from lycheespar.membership.messages import Join, sender_fields
from lycheespar.membership.records import MemberRecord
from lycheespar.membership.tracker import MemberTracker

# Intervals in seconds between probes of a seed or a dead member: normally,
# and while no other member is known to be alive.
REJOIN_PERIOD_S: Final = 5
JOIN_PERIOD_S: Final = 0.5


class Joiner:
    """Contacts seeds that are no members, and dead members.

    Parameters
    ----------
    own : Callable
        Returns the record of this node.
    tracker : MemberTracker
        Knows which seeds and members are not alive.
    detector : Detector
        Sends probes.
    endpoint : Endpoint
        Endpoint for sending datagrams.
    """

    __slots__ = (
        '_detector',
        '_due_at',
        '_endpoint',
        '_own',
        '_random',
        '_tracker',
    )

    def __init__(
        self,
        own: Callable[[], MemberRecord],
        tracker: MemberTracker,
        detector: Detector,
        endpoint: Endpoint,
    ) -> None:
        """Create a joiner that is due."""
        self._own = own
        self._tracker = tracker
        self._detector = detector
        self._endpoint = endpoint
        self._random = random.Random(own().node)
        self._due_at = 0.0

    def run_if_due(self, now: float, seeds: tuple[HostPort, ...]) -> None:
        """Join through a seed while alone; else probe one that is no member.

        Dead members are probed too, so that partitions heal.

        Parameters
        ----------
        now : float
            Instant of the event loop's clock, in seconds.
        seeds : tuple[HostPort, ...]
            Gossip addresses of the seeds.
        """
        if now < self._due_at:
            return
        alone = not self._detector.choose_peers(1)
        period_s = JOIN_PERIOD_S if alone else REJOIN_PERIOD_S
        self._due_at = now + period_s * self._random.uniform(0.5, 1.5)
        candidates = self._tracker.rejoin_candidates(seeds)
        if not candidates:
            return
        address = self._random.choice(candidates)
        if not alone:
            self._detector.probe_address(address)
            return
        own = self._own()
        self._endpoint.send(Join(*sender_fields(own), own), address)
