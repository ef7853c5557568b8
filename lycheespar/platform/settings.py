"""The platform's settings file, translated into the product's settings."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import msgspec

from lycheespar.config.options import (
    Address,
    InvalidOptionError,
    parse_address,
)
from lycheespar.config.settings import ControlSettings, NodeSettings
from lycheespar.errors import SettingsError
from lycheespar.platform.durations import parse_s

PATH_VARIABLE: Final = 'LYCHEESPAR_SETTINGS'
# Port at which each process serves its metrics, as the deploy file says.
METRICS_PORT: Final = 9464
# Ports for other processes of the system, as offsets in the range for them.
CHANNEL_OFFSET: Final = 0
GOSSIP_OFFSET: Final = 1
CONTROL_OFFSET: Final = 2
# Part of the time between SIGTERM and SIGKILL in which a node still takes new
# requests: callers learn within two questions, a second apart, that it is not
# ready any more.
SPREAD_SHARE: Final = 0.55
# Part of that time at which the stop ends, answered or not.
STOP_SHARE: Final = 0.92
# Times of the control group in seconds: a leader within two timeouts, as nodes
# without a disk wait for one after all have lost power; some round trips.
HEARTBEAT_S: Final = 0.12
ELECTION_TIMEOUT_S: Final = 0.5
# Silence in seconds after which a control host may be replaced by another one:
# longer than a restart takes.
REPLACE_AFTER_S: Final = 3
# Repeated arrivals at a service for each fresh one, and beyond that share, in
# settings that name no bounds: those of the smallest deployment described.
RETRY_SHARE: Final = 0.2
SPARE_RETRIES: Final = 60
# Part of that share that nodes spend: calls that their target repeats on its
# own count too.
SPENT_SHARE: Final = 0.6
# Part of the spare retries that nodes save up: those that start again during a
# restart of all have it once more.
SAVED_SHARE: Final = 0.5
# Longest time in seconds for an operator's order: clients turn to another
# host after a second.
ORDER_TIMEOUT_S: Final = 0.9


class PlatformSettings(msgspec.Struct, frozen=True):
    """What the platform tells a process, in the product's words.

    Attributes
    ----------
    node : str
        Identity of the process.
    host : str
        IP number of the machine.
    data_centre : str
        Data centre of the machine.
    first_start : bool
        Whether the whole system starts for the first time.
    data_folder : str
        Folder on the disk; empty without a disk.
    own_service : str
        Service of the target on this machine; empty without one.
    ports : dict[str, Address]
        Addresses to listen on, by the platform's name for them.
    first_port : int
        First port of the range for processes of the system.
    seeds : tuple[str, ...]
        IP numbers of some control hosts.
    grace_s : float
        Time from SIGTERM to SIGKILL in seconds.
    heartbeat_s : float
        Time between two announcements of a target, in seconds.
    losses : int
        Control hosts that may be lost at once.
    retry_share : float
        Repeated arrivals at a service for each fresh one, all nodes together.
    spare_retries : float
        Repeated arrivals at a service beyond that share.
    """

    node: str
    host: str
    data_centre: str
    first_start: bool
    data_folder: str
    own_service: str
    ports: dict[str, Address]
    first_port: int
    seeds: tuple[str, ...]
    grace_s: float
    heartbeat_s: float
    losses: int
    retry_share: float
    spare_retries: float

    def internal(self, host: str, offset: int) -> Address:
        """Return an address in the range for processes of the system."""
        return Address(host, self.first_port + offset)

    @property
    def gossip_seeds(self) -> tuple[Address, ...]:
        """Gossip addresses of some control hosts."""
        return tuple(self.internal(seed, GOSSIP_OFFSET) for seed in self.seeds)


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        The environment does not name it.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError((f'{PATH_VARIABLE}: is not set',))
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read the platform's settings file; unknown fields are ignored.

    Raises
    ------
    SettingsError
        The file can't be read, or fields are invalid; all are named.
    """
    try:
        given = json.loads(path.read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise SettingsError((f'{path}: {error}',)) from error
    if not isinstance(given, dict):
        raise SettingsError((f'{path}: must hold one object',))
    return _Reader(given).read()


def node_settings(platform: PlatformSettings) -> NodeSettings:
    """Return the product's settings of a node.

    Raises
    ------
    SettingsError
        A field that a node needs is missing.
    """
    _require(platform, ('outbound', 'ready_addr', 'control_plane'))
    return NodeSettings.parse(
        {
            'name': platform.node,
            'metrics': str(Address(platform.host, METRICS_PORT)),
            'log_json': True,
            'log_answers': True,
            'data_centre': platform.data_centre,
            'http': str(platform.ports['outbound']),
            'ready': str(platform.ports['ready_addr']),
            'announce': str(platform.ports['control_plane']),
            'inner': str(platform.internal(platform.host, CHANNEL_OFFSET)),
            'gossip': str(platform.internal(platform.host, GOSSIP_OFFSET)),
            'seeds': [str(seed) for seed in platform.gossip_seeds],
            'control': {
                seed: str(platform.internal(seed, CONTROL_OFFSET))
                for seed in platform.seeds
            },
            # Only nodes in touch with the control hosts are bound by changes
            # in time; the others serve what they know.
            'serve_stale': True,
            'most_retry_share': min(platform.retry_share * SPENT_SHARE, 1),
            'saved_retries': max(platform.spare_retries * SAVED_SHARE, 1),
            'drain_s': platform.grace_s * STOP_SHARE,
            'drain_spread_s': platform.grace_s * SPREAD_SHARE,
        },
    )


def control_settings(platform: PlatformSettings) -> ControlSettings:
    """Return the product's settings of a control host.

    Control hosts are named by their addresses, as no list of them exists.

    Raises
    ------
    SettingsError
        A field that a control host needs is missing.
    """
    _require(platform, ('control_plane',))
    if not platform.data_folder:
        raise SettingsError(('self.data_dir: is missing',))
    address = platform.internal(platform.host, CONTROL_OFFSET)
    seeds = (platform.internal(seed, CONTROL_OFFSET) for seed in platform.seeds)
    return ControlSettings.parse(
        {
            'name': str(address),
            'metrics': str(Address(platform.host, METRICS_PORT)),
            'log_json': True,
            'data_centre': platform.data_centre,
            'http': str(platform.ports['control_plane']),
            'address': str(address),
            'peers': {str(seed): str(seed) for seed in seeds},
            'data_folder': platform.data_folder,
            'heartbeat_s': HEARTBEAT_S,
            'election_timeout_s': ELECTION_TIMEOUT_S,
            'replace_after_s': REPLACE_AFTER_S,
            'least_voters': 2 * platform.losses + 1,
            'operation_timeout_s': ORDER_TIMEOUT_S,
            'founding': (
                platform.first_start and platform.host in platform.seeds
            ),
            'gossip': str(platform.internal(platform.host, GOSSIP_OFFSET)),
            'seeds': [str(seed) for seed in platform.gossip_seeds],
        },
    )


def _require(platform: PlatformSettings, names: tuple[str, ...]) -> None:
    missing = tuple(
        f'network.listen_addrs.{name}: is missing'
        for name in names
        if name not in platform.ports
    )
    if missing:
        raise SettingsError(missing)


class _Reader:
    """Reads fields and gathers what is wrong with them."""

    def __init__(self, given: Mapping[str, Any]) -> None:
        self._given = given
        self._problems: list[str] = []

    def read(self) -> PlatformSettings:
        """Return all fields.

        Raises
        ------
        SettingsError
            Some are missing or invalid.
        """
        network = self._table('network')
        settings = PlatformSettings(
            node=self._text('self', 'node_id'),
            host=self._text('self', 'ip'),
            data_centre=self._text('self', 'zone'),
            first_start=self._field('self', 'bootstrap', False) is True,
            data_folder=self._field('self', 'data_dir', None) or '',
            own_service=self._field('self', 'service', None) or '',
            ports=self._ports(network.get('listen_addrs')),
            first_port=self._first_port(network.get('internal_port_range')),
            seeds=self._seeds(network.get('seed_nodes')),
            grace_s=self._time('terms', 'bounds', 'grace_period', '6s'),
            heartbeat_s=self._time(
                'platform',
                'heartbeat_interval',
                '1500ms',
            ),
            losses=self._losses(),
            retry_share=self._number(
                'retry_budget_ratio',
                RETRY_SHARE,
            ),
            spare_retries=self._number(
                'budget_extra_retries',
                SPARE_RETRIES,
            ),
        )
        if self._problems:
            raise SettingsError(tuple(self._problems))
        return settings

    def _table(self, *path: str) -> Mapping[str, Any]:
        found: Any = self._given
        for name in path:
            found = found.get(name) if isinstance(found, Mapping) else None
        return found if isinstance(found, Mapping) else {}

    def _field(self, table: str, name: str, default: Any) -> Any:
        return self._table(table).get(name, default)

    def _text(self, table: str, name: str) -> str:
        found = self._field(table, name, None)
        if isinstance(found, str) and found:
            return found
        self._problems.append(f'{table}.{name}: must be a text')
        return ''

    def _time(self, *path_and_default: str) -> float:
        *path, name, default = path_and_default
        try:
            return parse_s(self._table(*path).get(name, default))
        except ValueError as error:
            self._problems.append(f'{".".join((*path, name))}: {error}')
            return 0

    def _address(self, name: str, given: Any) -> Address:
        try:
            return parse_address(given)
        except InvalidOptionError as error:
            self._problems.append(f'network.{name}: {error}')
            return Address('', 0)

    def _ports(self, given: Any) -> dict[str, Address]:
        if not isinstance(given, Mapping):
            self._problems.append('network.listen_addrs: must be a table')
            return {}
        return {
            name: self._address(f'listen_addrs.{name}', text)
            for name, text in given.items()
        }

    def _first_port(self, given: Any) -> int:
        match given:
            case [int(first), int(last)] if first + CONTROL_OFFSET <= last:
                return first
            case _:
                self._problems.append(
                    'network.internal_port_range: must be two ports',
                )
                return 0

    def _seeds(self, given: Any) -> tuple[str, ...]:
        if not isinstance(given, list):
            self._problems.append('network.seed_nodes: must be a list')
            return ()
        return tuple(
            self._address(f'seed_nodes[{index}]', text).host
            for index, text in enumerate(given)
        )

    def _number(self, name: str, default: float) -> float:
        found = self._table('terms', 'bounds').get(name, default)
        if isinstance(found, int | float) and found >= 0:
            return found
        self._problems.append(f'terms.bounds.{name}: must be a number')
        return default

    def _losses(self) -> int:
        found = self._table('terms', 'fault_tolerance').get('machines', 1)
        if isinstance(found, int) and found >= 0:
            return found
        self._problems.append(
            'terms.fault_tolerance.machines: must be a whole number',
        )
        return 1
