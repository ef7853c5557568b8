"""Reads the platform's settings file, for each role what it uses."""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Final, TypeVar

import msgspec

from lycheespar.decoding import MAX_INTEGER, load_foreign_json
from lycheespar.errors import SettingsError
from lycheespar.platform.formats import parse_s
from lycheespar.settings.options import (
    Address,
    InvalidOptionError,
    parse_address,
)

SETTINGS_PATH_VARIABLE: Final = 'LYCHEESPAR_SETTINGS'
# Ports for traffic between processes of the system, as offsets in the range of
# ports that the platform reserves for it.
CHANNEL_PORT_OFFSET: Final = 0
GOSSIP_PORT_OFFSET: Final = 1
CONTROL_PORT_OFFSET: Final = 2
# Names of the addresses that each role listens on.
NODE_ADDRESSES: Final = ('outbound', 'ready_addr', 'control_plane')
CONTROL_ADDRESSES: Final = ('control_plane',)
# Times in seconds and number of hosts if the settings file has none.
DEFAULT_GRACE_S: Final = 6.0
DEFAULT_TARGET_HEARTBEAT_S: Final = 1.5
DEFAULT_TOLERATED_LOSSES: Final = 1
# Bounds of retries if the settings file has none: repeated requests allowed at
# a service per first request, and in addition to that share. The values are
# those of the smallest deployment that the platform describes.
DEFAULT_RETRY_SHARE: Final = 0.2
DEFAULT_EXTRA_RETRIES: Final = 60
# Requests beyond a quota that are tolerated if the settings file does not say.
DEFAULT_QUOTA_SLACK: Final = 20
# Values of an optional field that is not set.
_EMPTY_VALUES: Final[tuple[object, ...]] = (None, '', [], {})

Value = TypeVar('Value')


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings that the platform gives processes of all roles.

    Attributes
    ----------
    host : str
        IP number of the host.
    data_centre : str
        Data centre of the host.
    addresses : dict[str, Address]
        Addresses that the role listens on, by the platform's names for them.
    first_port : int
        First port of the range for traffic within the system.
    seeds : tuple[str, ...]
        IP numbers of some control hosts.
    exposure_share : float
        Largest share of a service's requests that a bad version may get while
        it is rolled out; 0 if versions are not rolled out.
    """

    host: str
    data_centre: str
    addresses: dict[str, Address]
    first_port: int
    seeds: tuple[str, ...]
    exposure_share: float

    def internal_address(self, host: str, offset: int) -> Address:
        """Return an address in the port range for traffic within the system."""
        return Address(host, self.first_port + offset)

    @property
    def gossip_seeds(self) -> tuple[Address, ...]:
        """Gossip addresses of some control hosts."""
        return _gossip_addresses(self.seeds, self.first_port)


class PlatformNodeSettings(PlatformSettings, frozen=True, kw_only=True):
    """Settings that the platform gives a node.

    Attributes
    ----------
    node : str
        Identity of the process.
    own_service : str
        Service of the target on this host; empty if there is none.
    grace_s : float
        Time from SIGTERM to SIGKILL in seconds.
    target_heartbeat_s : float
        Time between two heartbeats of a target, in seconds.
    retry_share : float
        Repeated requests allowed at a service per first request, for all
        nodes together.
    extra_retries : float
        Repeated requests allowed at a service in addition to that share.
    quota_slack : float
        Requests beyond a quota that are tolerated in each window.
    """

    node: str
    own_service: str
    grace_s: float
    target_heartbeat_s: float
    retry_share: float
    extra_retries: float
    quota_slack: float


class PlatformControlSettings(PlatformSettings, frozen=True, kw_only=True):
    """Settings that the platform gives a control host.

    Attributes
    ----------
    first_start : bool
        Whether the whole system starts for the first time.
    data_folder : str
        Folder on the disk.
    tolerated_losses : int
        Control hosts that may fail at the same time.
    """

    first_start: bool
    data_folder: str
    tolerated_losses: int


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


def load_node(path: Path) -> PlatformNodeSettings:
    """Read what a node uses of the settings file; the rest is ignored.

    Raises
    ------
    SettingsError
        The file can't be read, or fields are invalid; the error lists all.
    """
    return _SettingsReader(_load_document(path)).read_node()


def load_control(path: Path) -> PlatformControlSettings:
    """Read what a control host uses of the settings file.

    The rest is ignored.

    Raises
    ------
    SettingsError
        The file can't be read, or fields are invalid; the error lists all.
    """
    return _SettingsReader(_load_document(path)).read_control()


def load_gossip_seeds(path: Path) -> tuple[Address, ...]:
    """Read the gossip addresses of some control hosts; ignore the rest.

    Raises
    ------
    SettingsError
        The file can't be read, or it has no valid seeds or port range.
    """
    return _SettingsReader(_load_document(path)).read_gossip_seeds()


def _load_document(path: Path) -> Mapping[str, Any]:
    """Decode the settings file.

    Raises
    ------
    SettingsError
        The file can't be read, or it does not hold a JSON object.
    """
    try:
        document = load_foreign_json(path.read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise SettingsError((f'{path}: {error}',)) from error
    if not isinstance(document, dict):
        raise SettingsError((f'{path}: must contain a JSON object',))
    return document


def _gossip_addresses(
    seeds: tuple[str, ...], first_port: int
) -> tuple[Address, ...]:
    return tuple(
        Address(seed, first_port + GOSSIP_PORT_OFFSET) for seed in seeds
    )


class _SettingsReader:
    """Reads fields of the settings file and collects their problems.

    Optional fields that are empty (null, or an empty string, list or object)
    are read as not given: the platform may leave fields empty.
    """

    def __init__(self, document: Mapping[str, Any]) -> None:
        self._document = document
        self._problems: list[str] = []

    def read_node(self) -> PlatformNodeSettings:
        """Return what a node uses.

        Raises
        ------
        SettingsError
            Some fields are missing or invalid.
        """
        settings = PlatformNodeSettings(
            **self._read_common(NODE_ADDRESSES),
            node=self._read_text('self', 'node_id'),
            own_service=self._read_optional('', _as_text, 'self', 'service'),
            grace_s=self._read_optional(
                DEFAULT_GRACE_S, parse_s, 'terms', 'bounds', 'grace_period'
            ),
            target_heartbeat_s=self._read_optional(
                DEFAULT_TARGET_HEARTBEAT_S,
                parse_s,
                'platform',
                'heartbeat_interval',
            ),
            retry_share=self._read_bound(
                'retry_budget_ratio', DEFAULT_RETRY_SHARE
            ),
            extra_retries=self._read_bound(
                'budget_extra_retries', DEFAULT_EXTRA_RETRIES
            ),
            quota_slack=self._read_bound('quota_slack', DEFAULT_QUOTA_SLACK),
        )
        self._raise_problems()
        return settings

    def read_control(self) -> PlatformControlSettings:
        """Return what a control host uses.

        Raises
        ------
        SettingsError
            Some fields are missing or invalid.
        """
        settings = PlatformControlSettings(
            **self._read_common(CONTROL_ADDRESSES),
            first_start=self._read_optional(
                False, _as_truth, 'self', 'bootstrap'
            ),
            data_folder=self._read_text('self', 'data_dir'),
            tolerated_losses=self._read_optional(
                DEFAULT_TOLERATED_LOSSES,
                _as_count,
                'terms',
                'fault_tolerance',
                'machines',
            ),
        )
        self._raise_problems()
        return settings

    def read_gossip_seeds(self) -> tuple[Address, ...]:
        """Return the gossip addresses of some control hosts.

        Raises
        ------
        SettingsError
            The seeds or the port range are missing or invalid.
        """
        seeds = _gossip_addresses(self._read_seeds(), self._read_first_port())
        self._raise_problems()
        return seeds

    def _read_common(self, address_names: tuple[str, ...]) -> dict[str, Any]:
        """Return the fields of `PlatformSettings`."""
        return {
            'host': self._read_text('self', 'ip'),
            'data_centre': self._read_text('self', 'zone'),
            'addresses': {
                name: self._read_address('network', 'listen_addrs', name)
                for name in address_names
            },
            'first_port': self._read_first_port(),
            'seeds': self._read_seeds(),
            'exposure_share': self._read_bound('exposure_share', 0),
        }

    def _raise_problems(self) -> None:
        if self._problems:
            raise SettingsError(tuple(self._problems))

    def _find(self, *path: str) -> Any:
        """Return the value of a field; None if it is not given."""
        found: Any = self._document
        for name in path:
            found = found.get(name) if isinstance(found, Mapping) else None
        return found

    def _read_optional(
        self,
        default: Value,
        parse: Callable[[Any], Value],
        *path: str,
    ) -> Value:
        """Return the parsed value of a field, or the default without one."""
        found = self._find(*path)
        if found in _EMPTY_VALUES:
            return default
        try:
            return parse(found)
        except ValueError as error:
            self._problems.append(f'{".".join(path)}: {error}')
            return default

    def _read_bound(self, name: str, default: float) -> float:
        return self._read_optional(default, _as_bound, 'terms', 'bounds', name)

    def _read_text(self, *path: str) -> str:
        found = self._find(*path)
        if isinstance(found, str) and found:
            return found
        self._problems.append(f'{".".join(path)}: must be a non-empty string')
        return ''

    def _read_address(self, *path: str) -> Address:
        return self._parse_address('.'.join(path), self._find(*path))

    def _parse_address(self, name: str, given: Any) -> Address:
        try:
            return parse_address(given)
        except InvalidOptionError as error:
            self._problems.append(f'{name}: {error}')
            return Address('', 0)

    def _read_first_port(self) -> int:
        match self._find('network', 'internal_port_range'):
            case [int(first), int(last)] if (
                not isinstance(first, bool)
                and first > 0
                and first + CONTROL_PORT_OFFSET <= last < 2**16
            ):
                return first
            case _:
                self._problems.append(
                    'network.internal_port_range: must be a list of the first '
                    'and the last port',
                )
                return 0

    def _read_seeds(self) -> tuple[str, ...]:
        found = self._find('network', 'seed_nodes')
        if not isinstance(found, list):
            self._problems.append('network.seed_nodes: must be a list')
            return ()
        return tuple(
            self._parse_address(f'network.seed_nodes[{index}]', text).host
            for index, text in enumerate(found)
        )


def _as_text(given: Any) -> str:
    if isinstance(given, str):
        return given
    raise ValueError('must be a string')


def _as_truth(given: Any) -> bool:
    if isinstance(given, bool):
        return given
    raise ValueError('must be true or false')


def _as_count(given: Any) -> int:
    match given:
        case int() if not isinstance(given, bool) and given >= 0:
            return given
        case _:
            raise ValueError('must be a whole number of at least 0')


def _as_bound(given: Any) -> float:
    match given:
        case bool():
            pass
        case int() | float() if 0 <= given <= MAX_INTEGER:
            return given
    raise ValueError('must be a number of at least 0')
