"""Scenario files of the emulator, in JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import json5
import msgspec

from lycheespar.errors import SettingsError


class Noise(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Random slowdowns of the targets' hosts.

    Attributes
    ----------
    share : float
        Share of the time during which a host is slow, 0 to 1.
    factor : float
        Factor by which requests take longer on a slow host.
    every_ms : float
        Mean interval, in milliseconds, at which the slow hosts are chosen
        again.
    """

    share: float = 0
    factor: float = 1
    every_ms: float = 150


class ServicePlan(msgspec.Struct, forbid_unknown_fields=True):
    """One service and its targets.

    Attributes
    ----------
    name : str
        Name of the service.
    targets : int | list[int]
        Number of targets in each data centre, or one number for each.
    slots : int
        Requests that each target accepts at once.
    """

    name: str
    targets: int | list[int] = 1
    slots: int = 8


class ClassPlan(msgspec.Struct, forbid_unknown_fields=True):
    """One class of requests, which has its own route.

    Attributes
    ----------
    name, service : str
        Name of the class, and service that it calls.
    kind : str
        Type of the route, as in the platform's configuration.
    per_s : float
        Mean number of requests per second from all callers together.
    work_ms : float
        Time that a target takes for a request, in milliseconds.
    objective_ms, deadline_ms : float
        Latency objective, and time after which the caller gives up, in
        milliseconds.
    priority : int
        Priority of the route, as in the platform's configuration.
    body_bytes, answer_bytes : int
        Mean size of the requests' bodies and of the answers, in bytes.
    upload_s : float
        Longest time in seconds over which a caller sends a body; a soak sends
        such requests only on connections of their own.
    calls, call_count : str, int
        Class of the calls that a run makes, and their number; no calls if the
        name is empty.
    """

    name: str
    service: str
    kind: Literal['idempotent', 'non_idempotent', 'download']
    per_s: float
    work_ms: float
    objective_ms: float
    deadline_ms: float
    priority: int = 2
    body_bytes: int = 0
    answer_bytes: int = 400
    upload_s: float = 0
    calls: str = ''
    call_count: int = 0


class FaultPlan(msgspec.Struct, forbid_unknown_fields=True):
    """One fault that is injected during a scenario.

    Attributes
    ----------
    at_s, for_s : float
        Start, counted from the start of the load, and duration, in seconds.
    kind : str
        Kind of fault.
    index : int
        Position of the affected control machine, node, target or data centre
        in its list.
    """

    at_s: float
    kind: Literal['kill_control', 'stop_node', 'evacuate', 'foreign_answers']
    index: int = 0
    for_s: float = 2


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    """Services, load and faults of one run.

    Attributes
    ----------
    seconds : float
        Duration of the load.
    zones : list[str]
        Names of the data centres.
    services : list[ServicePlan]
        Services, each with targets in all data centres.
    classes : list[ClassPlan]
        Classes of requests.
    control_hosts : list[int]
        Number of control hosts in each data centre; one each if empty.
    seed : int
        Seed of the random numbers.
    noise : Noise
        Random slowdowns of targets.
    faults : list[FaultPlan]
        Faults that are injected.
    """

    seconds: float
    zones: list[str]
    services: list[ServicePlan]
    classes: list[ClassPlan]
    control_hosts: list[int] = []
    seed: int = 1
    noise: Noise = Noise()
    faults: list[FaultPlan] = []


def load_scenario(path: Path) -> Scenario:
    """Read a scenario file.

    Raises
    ------
    SettingsError
        The file can't be read or does not match the schema.
    """
    try:
        content = json5.loads(path.read_text('utf-8'))
        return msgspec.convert(content, Scenario)
    except (OSError, ValueError) as error:
        raise SettingsError((f'{path}: {error}',)) from error
