"""Configuration changes: their types, validation and application."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

import msgspec
from msgspec.structs import replace

from lycheespar.configuration.model import (
    Configuration,
    Parameters,
    Team,
    TeamService,
    Template,
    resolve_services,
)
from lycheespar.configuration.routes import (
    PatchRoutePlan,
    PlanChange,
    PutRoutePlan,
    apply_plan_change,
    plan_problems,
)
from lycheespar.errors import ChangeInvalidError
from lycheespar.rollouts.order import (
    EndRollout,
    RolloutChange,
    StartRollout,
    StepRollout,
    apply_rollout_change,
    rollout_problems,
)

# Longest time in seconds for which an idempotency key may be remembered.
MAX_KEY_RETENTION_S: Final = 3600
# Lowest and highest value of each parameter, in the parameter's own unit.
PARAMETER_LIMITS: Final = {
    'deadline_ms': (1, 600_000),
    'queue_limit': (0, 10_000),
    'queue_ms': (0, 60_000),
    'cold_start_s': (0, 3600),
    'cold_share': (0.01, 1),
    'retry_share': (0, 1),
    'hedge_after_ms': (0, 60_000),
    'probe_budget_ms_per_s': (0, 100),
    'key_retention_s': (1, MAX_KEY_RETENTION_S),
    'cold_per_s': (0, 1_000_000),
}
# Base revision of a change that applies to any revision.
ANY_REVISION: Final = -1


class PutTemplate(msgspec.Struct, frozen=True, tag='put_template'):
    """Creates or replaces a template."""

    template: Template


class RemoveTemplate(msgspec.Struct, frozen=True, tag='remove_template'):
    """Removes a template that no team uses."""

    name: str


class PutTeam(msgspec.Struct, frozen=True, tag='put_team'):
    """Creates or replaces a team."""

    team: Team


class RemoveTeam(msgspec.Struct, frozen=True, tag='remove_team'):
    """Removes a team."""

    name: str


class TakeOutDataCentre(
    msgspec.Struct, frozen=True, tag='take_out_data_centre'
):
    """Takes out a data centre; its targets get no new requests."""

    name: str


class ReturnDataCentre(msgspec.Struct, frozen=True, tag='return_data_centre'):
    """Returns a data centre that was taken out."""

    name: str


class TakeOutTarget(msgspec.Struct, frozen=True, tag='take_out_target'):
    """Takes out a target; it gets no new requests."""

    name: str


class ReturnTarget(msgspec.Struct, frozen=True, tag='return_target'):
    """Returns a target that was taken out."""

    name: str


Change = (
    PutTemplate
    | RemoveTemplate
    | PutTeam
    | RemoveTeam
    | TakeOutDataCentre
    | ReturnDataCentre
    | TakeOutTarget
    | ReturnTarget
    | PlanChange
    | RolloutChange
)


class Command(msgspec.Struct, frozen=True):
    """A change as an operator sends it.

    Attributes
    ----------
    change_id : str
        Chosen by the operator's client; resends of a change use the same id.
    base_revision : int
        Revision on which the operator based the change; `ANY_REVISION` if
        the change applies to any revision.
    operator : str
        Name of the operator, recorded in the history.
    change : Change
        The change to apply.
    """

    change_id: str
    base_revision: int
    operator: str
    change: Change


def find_change_problems(
    configuration: Configuration, change: Change
) -> tuple[str, ...]:
    """Validate a change and return its problems, one line per key.

    The texts of the problems are stored in the replicated state, so they must
    not differ between versions: control hosts of different versions would
    otherwise compute different states from the same log.
    """
    return tuple(_change_problems(configuration, change))


def is_base_current(configuration: Configuration, command: Command) -> bool:
    """Whether the base of a command matches this configuration."""
    match command.change:
        case PutRoutePlan(_, base_label) | PatchRoutePlan(_, base_label):
            if base_label != configuration.plan.label:
                return False
    return command.base_revision in {ANY_REVISION, configuration.revision}


def is_base_outdated(configuration: Configuration, command: Command) -> bool:
    """Whether the base of a command is older than this configuration.

    Such a command can't be accepted later: revisions and labels only grow.
    """
    match command.change:
        case PutRoutePlan(_, base_label) | PatchRoutePlan(_, base_label):
            if base_label < configuration.plan.label:
                return True
    return ANY_REVISION < command.base_revision < configuration.revision


def apply(configuration: Configuration, change: Change) -> Configuration:
    """Apply a change and return the configuration at the next revision.

    Raises
    ------
    ChangeInvalidError
        The change is invalid; the error lists all its problems.
    """
    problems = find_change_problems(configuration, change)
    if problems:
        raise ChangeInvalidError(problems)
    changed = _apply_change(configuration, change)
    return replace(changed, revision=configuration.revision + 1)


def _change_problems(
    configuration: Configuration,
    change: Change,
) -> Iterable[str]:
    match change:
        case PutTemplate(template):
            yield from _template_problems(configuration, template)
        case PutTeam(team):
            yield from _name_problems('name', team.name)
            yield from _team_problems(configuration, team)
        case RemoveTemplate(name):
            yield from _removal_problems(configuration, name)
        case RemoveTeam(name) if name not in configuration.teams:
            yield f"name: there is no team '{name}'"
        case TakeOutDataCentre(name) | TakeOutTarget(name):
            yield from _name_problems('name', name)
        case PutRoutePlan() | PatchRoutePlan():
            yield from plan_problems(configuration.plan, change)
        case StartRollout() | StepRollout() | EndRollout():
            yield from rollout_problems(
                configuration.rollouts, resolve_services(configuration), change
            )


def _apply_change(
    configuration: Configuration, change: Change
) -> Configuration:
    templates = configuration.templates
    teams = configuration.teams
    data_centres = configuration.data_centres_out
    targets = configuration.targets_out
    plan = configuration.plan
    rollouts = configuration.rollouts
    match change:
        case PutTemplate(template):
            templates = templates | {template.name: template}
        case RemoveTemplate(name):
            templates = _without(templates, name)
        case PutTeam(team):
            teams = teams | {team.name: team}
        case RemoveTeam(name):
            teams = _without(teams, name)
        case TakeOutDataCentre(name):
            data_centres = data_centres | {name}
        case ReturnDataCentre(name):
            data_centres = data_centres - {name}
        case TakeOutTarget(name):
            targets = targets | {name}
        case ReturnTarget(name):
            targets = targets - {name}
        case PutRoutePlan() | PatchRoutePlan():
            plan = apply_plan_change(plan, change)
        case StartRollout() | StepRollout() | EndRollout():
            rollouts = apply_rollout_change(rollouts, change)
    return Configuration(
        configuration.revision,
        templates,
        teams,
        data_centres,
        targets,
        plan,
        rollouts,
    )


def _without(table: dict[str, Any], name: str) -> dict[str, Any]:
    return {key: entry for key, entry in table.items() if key != name}


def _name_problems(key: str, name: str) -> Iterable[str]:
    allowed = name.replace('-', '').replace('_', '').replace('.', '')
    allowed = allowed.replace(':', '')
    if not (name and allowed.isascii() and allowed.isalnum()):
        yield f"{key}: '{name}' is not made of letters, digits, '-', '_', '.'"


def _template_problems(
    configuration: Configuration,
    template: Template,
) -> Iterable[str]:
    yield from _name_problems('name', template.name)
    yield from (
        f'classes.{name}.weight: must be above 0'
        for name, request_class in template.classes.items()
        if request_class.weight <= 0
    )
    yield from (
        f"routes[{index}].request_class: there is no class '{class_name}'"
        for index, class_name in enumerate(
            route.request_class for route in template.routes
        )
        if template.classes and class_name not in template.classes
    )
    parameter_values = msgspec.to_builtins(template.parameters)
    yield from _parameter_problems('parameters', parameter_values)


def _team_problems(
    configuration: Configuration,
    team: Team,
) -> Iterable[str]:
    for name, team_service in team.services.items():
        key = f'services.{name}'
        yield from _name_problems(key, name)
        yield from _service_problems(configuration, key, team_service)


def _service_problems(
    configuration: Configuration,
    key: str,
    team_service: TeamService,
) -> Iterable[str]:
    if team_service.template not in configuration.templates:
        yield f"{key}.template: there is no template '{team_service.template}'"
    yield from _parameter_problems(f'{key}.parameters', team_service.parameters)


def _parameter_problems(
    key: str,
    parameter_values: dict[str, float],
) -> Iterable[str]:
    for name, value in parameter_values.items():
        if name not in PARAMETER_LIMITS:
            yield f'{key}.{name}: there is no such parameter'
            continue
        low, high = PARAMETER_LIMITS[name]
        if not low <= value <= high:
            yield f'{key}.{name}: {value} is not within {low} and {high}'
        elif _is_integer(name) and value != int(value):
            yield f'{key}.{name}: {value} is not a whole number'


def _is_integer(name: str) -> bool:
    return isinstance(getattr(Parameters(), name), int) and name in {
        'deadline_ms',
        'queue_limit',
        'queue_ms',
        'hedge_after_ms',
    }


def _removal_problems(
    configuration: Configuration,
    name: str,
) -> Iterable[str]:
    if name not in configuration.templates:
        yield f"name: there is no template '{name}'"
    yield from (
        f"name: team '{team.name}' uses the template in '{service}'"
        for team in configuration.teams.values()
        for service, team_service in team.services.items()
        if team_service.template == name
    )
