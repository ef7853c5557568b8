"""News that can't wait for the next probe: sent to some members at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from lycheespar.membership.broadcast import Broadcast, BroadcastTable
from lycheespar.membership.detector import Detector
from lycheespar.membership.endpoint import Endpoint
from lycheespar.membership.messages import News, Records, sender_of
from lycheespar.membership.records import MemberRecord

# Members to which each piece of news is sent.
FANOUT: Final = 8


class Push:
    """Sends changes of the own record and new facts without delay.

    Each member passes a fact on when it is new there, so that it reaches all
    in a few steps.

    Parameters
    ----------
    own : Callable
        Returns the record of this node.
    detector : Detector
        Chooses the members.
    endpoint : Endpoint
        Port to send from.
    broadcasts : BroadcastTable
        Facts that arrive.
    """

    __slots__ = ('_detector', '_endpoint', '_own')

    def __init__(
        self,
        own: Callable[[], MemberRecord],
        detector: Detector,
        endpoint: Endpoint,
        broadcasts: BroadcastTable,
    ) -> None:
        """Follow the facts."""
        self._own = own
        self._detector = detector
        self._endpoint = endpoint
        broadcasts.arrivals.subscribe(self._pass_on)

    def present(self) -> None:
        """Send this node's own record."""
        self._send(News(records=(self._own(),)))

    def _pass_on(self, fact: Broadcast) -> None:
        if self._endpoint.has_room():
            self._send(News(broadcasts=(fact,)))

    def _send(self, news: News) -> None:
        datagram = Records(*sender_of(self._own()), news)
        for peer in self._detector.peers(FANOUT):
            self._endpoint.send(datagram, (peer.host, peer.gossip_port))
