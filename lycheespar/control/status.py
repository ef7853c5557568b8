"""What a control host knows of its group and of the nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheespar.control.entries import Voters

if TYPE_CHECKING:
    from lycheespar.control.host import ControlHost


class StatusReport(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/status``.

    Attributes
    ----------
    host : str
        Control host that answers.
    leader : str
        Leader that it knows; empty for none.
    term : int
        Newest term that it knows.
    current : bool
        Whether its state is surely current.
    stamp_age_ms : float | None
        Age of its freshness stamp in milliseconds; None without a stamp.
    voters : Voters
        Disk id of each control host that votes.
    accepted : int
        Newest revision that it knows to be accepted.
    plan_label : int
        Label of the plan of routes; 0 for none.
    routes : int
        Routes in the plan.
    data_centres_out, targets_out : tuple[str, ...]
        What is taken out.
    revision : int
        Revision on which the rest reports.
    confirmed : tuple[str, ...]
        Nodes where it, or a later one, is in force.
    missing : tuple[str, ...]
        Nodes heard of lately that have not confirmed it.
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
    """Report on the group, and how far a revision is in force."""
    progress = await host.progress(revision)
    group = host.group
    stamp = group.stamp
    configuration = group.state.configuration
    return StatusReport(
        host=group.name,
        leader=group.leader,
        term=group.term,
        current=host.fresh,
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
