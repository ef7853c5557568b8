"""Scenarios of the emulator: settings in JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import json5
import msgspec

from lycheespar.errors import SettingsError


class Noise(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How often and by how much the targets' hosts turn slow.

    Attributes
    ----------
    share : float
        Share of the time in which a host is slow, 0 to 1.
    factor : float
        How many times as long work takes then.
    every_ms : float
        Mean length of a slow spell in milliseconds.
    """

    share: float = 0
    factor: float = 1
    every_ms: float = 150


class ServicePlan(msgspec.Struct, forbid_unknown_fields=True):
    """One service.

    Attributes
    ----------
    name : str
        Its name.
    targets : int
        Targets in each data centre.
    slots : int
        Requests that each target bears at once.
    """

    name: str
    targets: int = 1
    slots: int = 8


class ClassPlan(msgspec.Struct, forbid_unknown_fields=True):
    """One class of requests, with a route of its own.

    Attributes
    ----------
    per_s : float
        Requests a second from all callers together.
    work_ms : float
        Mean time of work at a target in milliseconds.
    objective_ms, deadline_ms : float
        Time for full use, and the caller's patience, in milliseconds.
    """

    name: str
    service: str
    kind: Literal['idempotent', 'non_idempotent', 'download']
    per_s: float
    work_ms: float
    objective_ms: float
    deadline_ms: float
    priority: int = 2


class FaultPlan(msgspec.Struct, forbid_unknown_fields=True):
    """One fault.

    Attributes
    ----------
    at_s, for_s : float
        When it begins and how long it lasts, in seconds.
    index : int
        Which control machine, node, target or data centre.
    """

    at_s: float
    kind: Literal['kill_control', 'stop_node', 'evacuate', 'foreign_answers']
    index: int = 0
    for_s: float = 2


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    """What is run, for how long, and what goes wrong."""

    seconds: float
    zones: list[str]
    services: list[ServicePlan]
    classes: list[ClassPlan]
    seed: int = 1
    noise: Noise = Noise()
    faults: list[FaultPlan] = []


def load_scenario(path: Path) -> Scenario:
    """Read a scenario.

    Raises
    ------
    SettingsError
        The file can't be read or does not follow the schema.
    """
    try:
        given = json5.loads(path.read_text('utf-8'))
        return msgspec.convert(given, Scenario)
    except (OSError, ValueError) as error:
        raise SettingsError((f'{path}: {error}',)) from error
