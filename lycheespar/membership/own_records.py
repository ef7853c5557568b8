"""Own member record of a node or a control host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from lycheespar.membership.records import MemberRecord, Phase

if TYPE_CHECKING:
    from lycheespar.settings.definitions import ControlSettings, NodeSettings
    from lycheespar.settings.options import Address
    from lycheespar.targets.announcement import Announcement


def own_record(settings: NodeSettings, incarnation: int) -> MemberRecord:
    """Return the record of a node that has no target yet."""
    advertised = settings.advertise_inner or settings.inner
    return MemberRecord(
        settings.name,
        incarnation,
        0,
        advertised.host,
        advertised.port,
        settings.gossip.port,
        settings.data_centre,
    )


def control_record(
    settings: ControlSettings,
    address: Address,
    incarnation: int,
) -> MemberRecord:
    """Return the record of a control host, which has no target."""
    return MemberRecord(
        settings.name,
        incarnation,
        0,
        settings.gossip.host,
        0,
        settings.gossip.port,
        settings.data_centre,
        control_port=address.port,
    )


def with_target(
    record: MemberRecord,
    announcement: Announcement | None,
) -> MemberRecord:
    """Return the record with the announced target, or without a target."""
    if announcement is None:
        return replace(
            record,
            service='',
            target='',
            phase=Phase.absent,
            slots=0,
            software_version='',
        )
    return replace(
        record,
        service=announcement.service_name,
        target=announcement.target,
        phase=announcement.membership_phase,
        slots=announcement.slots,
        software_version=announcement.version,
    )
