"""Updates that are sent to some members at once, without piggybacking."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from lycheespar.membership.broadcast import Broadcast, BroadcastTable
from lycheespar.membership.detector import Detector
from lycheespar.membership.endpoint import Endpoint
from lycheespar.membership.messages import Records, Updates, sender_fields
from lycheespar.membership.records import MemberRecord

# Number of members to which each update is sent.
FANOUT: Final = 8


class Pusher:
    """Sends changes of the own record and new broadcasts without delay.

    Each member forwards a broadcast that is new to it, so that it reaches all
    members in a few hops.

    Parameters
    ----------
    own : Callable
        Returns the record of this node.
    detector : Detector
        Detector that chooses the receivers.
    endpoint : Endpoint
        Endpoint for sending datagrams.
    broadcasts : BroadcastTable
        Table whose new broadcasts are forwarded.
    """

    __slots__ = ('_detector', '_endpoint', '_own')

    def __init__(
        self,
        own: Callable[[], MemberRecord],
        detector: Detector,
        endpoint: Endpoint,
        broadcasts: BroadcastTable,
    ) -> None:
        """Create a pusher and subscribe it to new broadcasts."""
        self._own = own
        self._detector = detector
        self._endpoint = endpoint
        broadcasts.new_broadcasts.subscribe(self._forward_broadcast)

    def send_own_record(self) -> None:
        """Send this node's own record to some members."""
        self._send_to_peers(Updates(records=(self._own(),)))

    def _forward_broadcast(self, broadcast: Broadcast) -> None:
        if self._endpoint.has_budget():
            self._send_to_peers(Updates(broadcasts=(broadcast,)))

    def _send_to_peers(self, updates: Updates) -> None:
        datagram = Records(*sender_fields(self._own()), updates)
        for peer in self._detector.choose_peers(FANOUT):
            self._endpoint.send(datagram, (peer.host, peer.gossip_port))
