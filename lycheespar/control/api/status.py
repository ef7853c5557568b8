"""Status report of a control host on its group and the nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheespar.control.state.entries import Voters

if TYPE_CHECKING:
    from lycheespar.control.host import ControlHost


class StatusReport(msgspec.Struct, frozen=True):
    """Response body of ``GET /v1/status``.

    Attributes
    ----------
    host : str
        Control host that answers.
    leader : str
        Leader known to this host; empty if none is known.
    term : int
        Newest term known to this host.
    current : bool
        Whether a recent stamp proves that its state is current.
    stamp_age_ms : float | None
        Age of its freshness stamp in milliseconds; None without a stamp.
    voters : Voters
        Disk id of each voting control host by name.
    accepted : int
        Newest accepted revision known to this host.
    plan_label : int
        Label of the route plan; 0 without a plan.
    routes : int
        Number of routes in the plan.
    data_centres_out, targets_out : tuple[str, ...]
        Names of the data centres and targets that are taken out.
    revision : int
        Revision to which `confirmed` and `missing` refer.
    confirmed : tuple[str, ...]
        Nodes where this or a later revision is in force.
    missing : tuple[str, ...]
        Nodes that reported recently, but an earlier revision.
    """

    host: str
    leader: str
    term: int
    current: bool
    stamp_age_ms: float | None
    voters: Voters
    accepted: int
    plan_label: int
    routes: int
    data_centres_out: tuple[str, ...]
    targets_out: tuple[str, ...]
    revision: int
    confirmed: tuple[str, ...]
    missing: tuple[str, ...]


async def status_of(host: ControlHost, revision: int) -> StatusReport:
    """Report on the group and on the nodes that have a revision in force."""
    progress = await host.progress(revision)
    group = host.group
    stamp = group.stamp
    configuration = group.state.configuration
    return StatusReport(
        host=group.name,
        leader=group.leader,
        term=group.term,
        current=host.is_current,
        stamp_age_ms=stamp.age_ms if stamp.round else None,
        voters=group.state.voters,
        accepted=configuration.revision,
        plan_label=configuration.plan.label,
        routes=len(configuration.plan.routes),
        data_centres_out=tuple(sorted(configuration.data_centres_out)),
        targets_out=tuple(sorted(configuration.targets_out)),
        revision=revision,
        confirmed=progress.confirmed,
        missing=progress.missing,
    )
