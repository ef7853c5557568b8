"""Links from a node to the control hosts that it knows."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import zmq.asyncio
from loguru import logger

from lycheespar.control.link import ControlLink
from lycheespar.control.messages import ControlReply, ControlRequest
from lycheespar.membership.records import Liveness, MemberRecord
from lycheespar.membership.view import MembershipView
from lycheespar.settings.options import Address

Link = ControlLink[ControlRequest, ControlReply]

log = logger.bind(part='control')


class LinkSource(Protocol):
    """Source of the links to the control hosts."""

    @property
    def links(self) -> tuple[Link, ...]:
        """Links to the control hosts known now."""


class ControlDirectory:
    """Maintains a link to each control host that is configured or a member.

    Parameters
    ----------
    context : zmq.asyncio.Context
        Context of the process.
    configured : Iterable[Address]
        Control hosts that the settings name; their links are never closed
        before `close`.
    members : MembershipView
        Members of the gossip; those with a control port are control hosts.
    """

    __slots__ = ('_configured', '_context', '_links')

    def __init__(
        self,
        context: zmq.asyncio.Context,
        configured: Iterable[Address],
        members: MembershipView,
    ) -> None:
        """Create the links and subscribe to changes of the members."""
        self._context = context
        self._configured = frozenset(configured)
        self._links: dict[Address, Link] = {}
        for address in sorted(self._configured):
            self._add(address)
        for record in members.records:
            self._update_link(record)
        members.changes.subscribe(self._update_link)

    @property
    def links(self) -> tuple[Link, ...]:
        """Links to the control hosts known now."""
        return tuple(self._links.values())

    @property
    def configured(self) -> tuple[Link, ...]:
        """Links to the control hosts that the settings name."""
        return tuple(self._links[address] for address in self._configured)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

    def _update_link(self, record: MemberRecord) -> None:
        if not record.control_port:
            return
        address = Address(record.host, record.control_port)
        if record.liveness is not Liveness.dead:
            self._add(address)
        elif address not in self._configured:
            self._remove(address)

    def _add(self, address: Address) -> None:
        if address not in self._links:
            log.info("Added a link to control host '{}'.", address)
            self._links[address] = ControlLink(
                self._context,
                address,
                ControlReply,
            )

    def _remove(self, address: Address) -> None:
        link = self._links.pop(address, None)
        if link is not None:
            log.info("Removed the link to control host '{}'.", address)
            link.close()
