"""Converts the platform's settings to the settings of this project."""

from __future__ import annotations

from typing import Final

from lycheespar.platform.settings_file import (
    CHANNEL_PORT_OFFSET,
    CONTROL_PORT_OFFSET,
    GOSSIP_PORT_OFFSET,
    PlatformControlSettings,
    PlatformNodeSettings,
)
from lycheespar.settings.definitions import ControlSettings, NodeSettings
from lycheespar.settings.options import Address

# Port on which each process serves its metrics, as in the deployment file.
METRICS_PORT: Final = 9464
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
# Share of the allowed repeated requests that nodes send. The rest allows for
# calls that targets repeat themselves, which count too.
NODE_RETRY_SHARE: Final = 0.6
# Share of the additional retries that nodes may save up. The rest allows for a
# restart of all nodes, after which they have their saved retries once more.
SAVED_RETRY_SHARE: Final = 0.5
# Longest time in seconds for an operator call: clients try another host after
# a second.
OPERATION_TIMEOUT_S: Final = 0.9


def node_settings(platform: PlatformNodeSettings) -> NodeSettings:
    """Convert the platform's settings to the settings of a node.

    Raises
    ------
    SettingsError
        A setting is outside the limits of this project.
    """
    return NodeSettings.parse(
        {
            'name': platform.node,
            'metrics': str(Address(platform.host, METRICS_PORT)),
            'log_json': True,
            'log_answers': True,
            'data_centre': platform.data_centre,
            'http': str(platform.addresses['outbound']),
            'ready': str(platform.addresses['ready_addr']),
            'announce': str(platform.addresses['control_plane']),
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


def control_settings(platform: PlatformControlSettings) -> ControlSettings:
    """Convert the platform's settings to the settings of a control host.

    Control hosts are named by their addresses, as the platform gives no
    list of them.

    Raises
    ------
    SettingsError
        A setting is outside the limits of this project.
    """
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
            'http': str(platform.addresses['control_plane']),
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
