"""Converts the platform's settings file to the settings of this project."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import msgspec

from lycheespar.decoding import load_json
from lycheespar.errors import SettingsError
from lycheespar.platform.formats import parse_s
from lycheespar.settings.definitions import ControlSettings, NodeSettings
from lycheespar.settings.options import (
    Address,
    InvalidOptionError,
    parse_address,
)

SETTINGS_PATH_VARIABLE: Final = 'LYCHEESPAR_SETTINGS'
# Port on which each process serves its metrics, as in the deployment file.
METRICS_PORT: Final = 9464
# Ports for traffic between processes of the system, as offsets in the range of
# ports that the platform reserves for it.
CHANNEL_PORT_OFFSET: Final = 0
GOSSIP_PORT_OFFSET: Final = 1
CONTROL_PORT_OFFSET: Final = 2
# Share of the time between SIGTERM and SIGKILL in which a draining node still
# accepts new requests: callers check readiness once a second and notice within
# two checks that the node is not ready any more.
DRAIN_SPREAD_SHARE: Final = 0.55
# Share of the same time after which the node stops, even if requests are still
# unanswered. Closing all connections takes a part of the rest.
DRAIN_SHARE: Final = 0.9
# Heartbeat interval and election time-out of the control group in seconds. They
# allow for some round trips. A leader is to be elected within two time-outs, as
# nodes without a disk wait for one after a power loss of all machines.
LEADER_HEARTBEAT_S: Final = 0.12
ELECTION_TIMEOUT_S: Final = 0.5
# Time without contact in seconds after which a control host may be replaced by
# another one; longer than a restart takes.
REPLACE_AFTER_S: Final = 3
# Bounds of retries if the settings file has none: repeated requests allowed at
# a service per first request, and in addition to that share. The values are
# those of the smallest deployment that the platform describes.
DEFAULT_RETRY_SHARE: Final = 0.2
DEFAULT_EXTRA_RETRIES: Final = 60
# Requests beyond a quota that are tolerated if the settings file does not say.
DEFAULT_QUOTA_SLACK: Final = 20
# Share of the allowed repeated requests that nodes send. The rest allows for
# calls that targets repeat themselves, which count too.
NODE_RETRY_SHARE: Final = 0.6
# Share of the additional retries that nodes may save up. The rest allows for a
# restart of all nodes, after which they have their saved retries once more.
SAVED_RETRY_SHARE: Final = 0.5
# Longest time in seconds for an operator call: clients try another host after
# a second.
OPERATION_TIMEOUT_S: Final = 0.9


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings that the platform gives a process, in terms of this project.

    Attributes
    ----------
    node : str
        Identity of the process.
    host : str
        IP number of the host.
    data_centre : str
        Data centre of the host.
    first_start : bool
        Whether the whole system starts for the first time.
    data_folder : str
        Folder on the disk; empty if the host has no disk.
    own_service : str
        Service of the target on this host; empty if there is none.
    listen_addresses : dict[str, Address]
        Addresses to listen on, by the platform's names for them.
    first_port : int
        First port of the range for traffic within the system.
    seeds : tuple[str, ...]
        IP numbers of some control hosts.
    grace_s : float
        Time from SIGTERM to SIGKILL in seconds.
    target_heartbeat_s : float
        Time between two heartbeats of a target, in seconds.
    tolerated_losses : int
        Control hosts that may fail at the same time.
    retry_share : float
        Repeated requests allowed at a service per first request, for all
        nodes together.
    extra_retries : float
        Repeated requests allowed at a service in addition to that share.
    exposure_share : float
        Largest share of a service's requests that a bad version may get while
        it is rolled out; 0 if versions are not rolled out.
    quota_slack : float
        Requests beyond a quota that are tolerated in each window.
    """

    node: str
    host: str
    data_centre: str
    first_start: bool
    data_folder: str
    own_service: str
    listen_addresses: dict[str, Address]
    first_port: int
    seeds: tuple[str, ...]
    grace_s: float
    target_heartbeat_s: float
    tolerated_losses: int
    retry_share: float
    extra_retries: float
    exposure_share: float
    quota_slack: float

    def internal_address(self, host: str, offset: int) -> Address:
        """Return an address in the port range for traffic within the system."""
        return Address(host, self.first_port + offset)

    @property
    def gossip_seeds(self) -> tuple[Address, ...]:
        """Gossip addresses of some control hosts."""
        return tuple(
            self.internal_address(seed, GOSSIP_PORT_OFFSET)
            for seed in self.seeds
        )


def settings_path() -> Path:
    """Return the path of the settings file from the environment.

    Raises
    ------
    SettingsError
        The environment variable is not set.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise SettingsError((f'{SETTINGS_PATH_VARIABLE}: is not set',))
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read the platform's settings file; unknown fields are ignored.

    Raises
    ------
    SettingsError
        The file can't be read, or fields are invalid; the error lists all.
    """
    try:
        given = load_json(path.read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise SettingsError((f'{path}: {error}',)) from error
    if not isinstance(given, dict):
        raise SettingsError((f'{path}: must contain a JSON object',))
    return _SettingsReader(given).read()


def node_settings(platform: PlatformSettings) -> NodeSettings:
    """Convert the platform's settings to the settings of a node.

    Raises
    ------
    SettingsError
        A field that a node needs is missing.
    """
    _require_addresses(platform, ('outbound', 'ready_addr', 'control_plane'))
    return NodeSettings.parse(
        {
            'name': platform.node,
            'metrics': str(Address(platform.host, METRICS_PORT)),
            'log_json': True,
            'log_answers': True,
            'data_centre': platform.data_centre,
            'http': str(platform.listen_addresses['outbound']),
            'ready': str(platform.listen_addresses['ready_addr']),
            'announce': str(platform.listen_addresses['control_plane']),
            'inner': str(
                platform.internal_address(platform.host, CHANNEL_PORT_OFFSET)
            ),
            'gossip': str(
                platform.internal_address(platform.host, GOSSIP_PORT_OFFSET)
            ),
            'seeds': [str(seed) for seed in platform.gossip_seeds],
            'control': {
                seed: str(platform.internal_address(seed, CONTROL_PORT_OFFSET))
                for seed in platform.seeds
            },
            # Changes must take effect in time only at nodes that can reach
            # the control hosts; other nodes serve the configuration they have.
            'serve_stale': True,
            'versions_by_order': platform.exposure_share > 0,
            'quota_excess': max(platform.quota_slack, 1),
            'most_retry_share': min(platform.retry_share * NODE_RETRY_SHARE, 1),
            'saved_retries': max(platform.extra_retries * SAVED_RETRY_SHARE, 1),
            'drain_s': platform.grace_s * DRAIN_SHARE,
            'drain_spread_s': platform.grace_s * DRAIN_SPREAD_SHARE,
        },
    )


def control_settings(platform: PlatformSettings) -> ControlSettings:
    """Convert the platform's settings to the settings of a control host.

    Control hosts are named by their addresses, as the platform gives no
    list of them.

    Raises
    ------
    SettingsError
        A field that a control host needs is missing.
    """
    _require_addresses(platform, ('control_plane',))
    if not platform.data_folder:
        raise SettingsError(('self.data_dir: is missing',))
    address = platform.internal_address(platform.host, CONTROL_PORT_OFFSET)
    seeds = (
        platform.internal_address(seed, CONTROL_PORT_OFFSET)
        for seed in platform.seeds
    )
    return ControlSettings.parse(
        {
            'name': str(address),
            'metrics': str(Address(platform.host, METRICS_PORT)),
            'log_json': True,
            'data_centre': platform.data_centre,
            'http': str(platform.listen_addresses['control_plane']),
            'address': str(address),
            'peers': {str(seed): str(seed) for seed in seeds},
            'data_folder': platform.data_folder,
            'heartbeat_s': LEADER_HEARTBEAT_S,
            'election_timeout_s': ELECTION_TIMEOUT_S,
            'replace_after_s': REPLACE_AFTER_S,
            'least_voters': 2 * platform.tolerated_losses + 1,
            'operation_timeout_s': OPERATION_TIMEOUT_S,
            'max_exposure': platform.exposure_share,
            'founding': (
                platform.first_start and platform.host in platform.seeds
            ),
            'gossip': str(
                platform.internal_address(platform.host, GOSSIP_PORT_OFFSET)
            ),
            'seeds': [str(seed) for seed in platform.gossip_seeds],
        },
    )


def _require_addresses(
    platform: PlatformSettings, names: tuple[str, ...]
) -> None:
    missing = tuple(
        f'network.listen_addrs.{name}: is missing'
        for name in names
        if name not in platform.listen_addresses
    )
    if missing:
        raise SettingsError(missing)


class _SettingsReader:
    """Reads fields of the settings file and collects their problems."""

    def __init__(self, given: Mapping[str, Any]) -> None:
        self._document = given
        self._problems: list[str] = []

    def read(self) -> PlatformSettings:
        """Return all fields.

        Raises
        ------
        SettingsError
            Some fields are missing or invalid.
        """
        network = self._find_table('network')
        settings = PlatformSettings(
            node=self._read_text('self', 'node_id'),
            host=self._read_text('self', 'ip'),
            data_centre=self._read_text('self', 'zone'),
            first_start=self._read_field('self', 'bootstrap', False) is True,
            data_folder=self._read_field('self', 'data_dir', None) or '',
            own_service=self._read_field('self', 'service', None) or '',
            listen_addresses=self._read_listen_addresses(
                network.get('listen_addrs')
            ),
            first_port=self._read_first_port(
                network.get('internal_port_range')
            ),
            seeds=self._read_seeds(network.get('seed_nodes')),
            grace_s=self._read_duration_s(
                'terms', 'bounds', 'grace_period', '6s'
            ),
            target_heartbeat_s=self._read_duration_s(
                'platform',
                'heartbeat_interval',
                '1500ms',
            ),
            tolerated_losses=self._read_tolerated_losses(),
            retry_share=self._read_bound(
                'retry_budget_ratio',
                DEFAULT_RETRY_SHARE,
            ),
            extra_retries=self._read_bound(
                'budget_extra_retries',
                DEFAULT_EXTRA_RETRIES,
            ),
            exposure_share=self._read_bound('exposure_share', 0),
            quota_slack=self._read_bound('quota_slack', DEFAULT_QUOTA_SLACK),
        )
        if self._problems:
            raise SettingsError(tuple(self._problems))
        return settings

    def _find_table(self, *path: str) -> Mapping[str, Any]:
        found: Any = self._document
        for name in path:
            found = found.get(name) if isinstance(found, Mapping) else None
        return found if isinstance(found, Mapping) else {}

    def _read_field(self, table: str, name: str, default: Any) -> Any:
        return self._find_table(table).get(name, default)

    def _read_text(self, table: str, name: str) -> str:
        found = self._read_field(table, name, None)
        if isinstance(found, str) and found:
            return found
        self._problems.append(f'{table}.{name}: must be a non-empty string')
        return ''

    def _read_duration_s(self, *path_and_default: str) -> float:
        *path, name, default = path_and_default
        try:
            return parse_s(self._find_table(*path).get(name, default))
        except ValueError as error:
            self._problems.append(f'{".".join((*path, name))}: {error}')
            return 0

    def _read_address(self, name: str, given: Any) -> Address:
        try:
            return parse_address(given)
        except InvalidOptionError as error:
            self._problems.append(f'network.{name}: {error}')
            return Address('', 0)

    def _read_listen_addresses(self, given: Any) -> dict[str, Address]:
        if not isinstance(given, Mapping):
            self._problems.append('network.listen_addrs: must be an object')
            return {}
        return {
            name: self._read_address(f'listen_addrs.{name}', text)
            for name, text in given.items()
        }

    def _read_first_port(self, given: Any) -> int:
        match given:
            case [int(first), int(last)] if first + CONTROL_PORT_OFFSET <= last:
                return first
            case _:
                self._problems.append(
                    'network.internal_port_range: must be a list of the first '
                    'and the last port',
                )
                return 0

    def _read_seeds(self, given: Any) -> tuple[str, ...]:
        if not isinstance(given, list):
            self._problems.append('network.seed_nodes: must be a list')
            return ()
        return tuple(
            self._read_address(f'seed_nodes[{index}]', text).host
            for index, text in enumerate(given)
        )

    def _read_bound(self, name: str, default: float) -> float:
        found = self._find_table('terms', 'bounds').get(name, default)
        if isinstance(found, int | float) and found >= 0:
            return found
        self._problems.append(
            f'terms.bounds.{name}: must be a number of at least 0'
        )
        return default

    def _read_tolerated_losses(self) -> int:
        found = self._find_table('terms', 'fault_tolerance').get('machines', 1)
        if isinstance(found, int) and found >= 0:
            return found
        self._problems.append(
            'terms.fault_tolerance.machines: must be a whole number of at '
            'least 0',
        )
        return 1
