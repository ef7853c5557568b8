"""Settings of the node and of the control host."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

from lycheespar.config.options import (
    AddressList,
    AddressTable,
    Choice,
    Flag,
    Integer,
    IpAddress,
    Number,
    Option,
    Text,
)
from lycheespar.config.schema import Schema

_LOG_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


class _CommonSettings(Schema):
    """Settings that all processes have."""

    name = Text('Identity of this process; unique among all.')
    data_centre = Text('Data centre in which the host stands.')
    log_level = Choice('Least severe log level.', _LOG_LEVELS, 'INFO')
    log_json = Flag('Whether log lines are JSON.', default=False)
    statsd: Option[Any] = IpAddress(
        'Address of the statsd server; none is sent to without it.',
        None,
    )
    metrics: Option[Any] = IpAddress(
        'Address at which metrics are served as text; none without it.',
        None,
    )


class NodeSettings(_CommonSettings):
    """Settings of ``lycheespar node``."""

    http = IpAddress('Address for callers.')
    announce = IpAddress('Address for the announcements of the target.')
    inner = IpAddress('Address for other nodes, TCP.')
    advertise_inner: Option[Any] = IpAddress(
        'Address that other nodes use instead of "inner".',
        None,
    )
    gossip = IpAddress('Address for gossip, UDP.')
    seeds = AddressList('Gossip addresses of other nodes.', ())
    control = AddressTable('Addresses of the control hosts by name.')
    stale_after_s = Number(
        'Age in seconds past which a configuration is not current.',
        5,
        low=0.1,
    )
    serve_stale = Flag(
        'Whether new work is taken while the configuration is not current.',
        default=False,
    )
    data_folder: Option[Any] = Text(
        'Folder for the last configuration; none is kept without it.',
        None,
    )
    saved_retries = Number(
        'Retries that all nodes together may save up for one service.',
        100,
        low=1,
    )
    most_retry_share = Number(
        'Most retries for each fresh call, whatever a service allows, 0 to 1.',
        1,
        high=1,
    )
    drain_s = Number('Longest time of a graceful stop in seconds.', 30)
    drain_spread_s = Number(
        'Time in seconds for which a stopping node takes new requests, until '
        'others know of the stop.',
        1,
    )
    ready: Option[Any] = IpAddress(
        'Address at which the node says if it is ready; none without it.',
        None,
    )
    trace_share = Number(
        'Share of requests that are traced, 0 to 1.',
        0,
        high=1,
    )
    trace_file: Option[Any] = Text(
        'File to which spans are written as JSON lines.',
        None,
    )
    log_answers = Flag(
        'Whether requests that a target answered are logged too.',
        default=False,
    )
    max_body_bytes = Integer(
        'Largest request body in bytes.',
        1024 * 1024 * 1024,
        low=1,
    )

    def contradictions(self) -> Iterator[str]:
        """Yield problems between the keys."""
        if self.gossip.host != (self.advertise_inner or self.inner).host:
            yield 'gossip: must have the IP number that other nodes use'
        if not self.control:
            yield 'control: names no control host'
        if self.trace_share and not self.trace_file:
            yield 'trace_file: is missing although trace_share is not 0'

    def warnings(self) -> Iterator[str]:
        """Yield what is allowed but rarely meant."""
        if not self.seeds:
            yield 'seeds: is empty, so that this node joins no other'
        if self.serve_stale:
            yield (
                'serve_stale: a data centre that is taken out may get new '
                'work from nodes that are cut off'
            )
        if self.data_folder is None:
            yield 'data_folder: is missing, so that a restart begins empty'


class ControlSettings(_CommonSettings):
    """Settings of ``lycheespar control``."""

    http = IpAddress("Address of the operators' API.")
    peers = AddressTable(
        'Addresses of all control hosts by name, this one included.',
    )
    data_folder = Text('Folder for the replicated configuration.')
    election_timeout_s = Number(
        'Least time in seconds without a leader before an election.',
        1,
        low=0.05,
    )
    heartbeat_s = Number(
        'Time in seconds between rounds of the leader.',
        0.25,
        low=0.01,
    )
    snapshot_every = Integer('Changes between two snapshots.', 1000, low=1)
    founding = Flag(
        'Whether this host may form a new group with those of "peers".',
        default=True,
    )
    address: Option[Any] = IpAddress(
        'Address for the other control hosts, if "peers" lacks this one.',
        None,
    )
    replace_after_s = Number(
        'Silence in seconds after which another host takes the place of a '
        'voter; 0 for never.',
        0,
    )
    least_voters = Integer(
        'Voters below which none that is silent is removed.',
        3,
        low=1,
    )
    operation_timeout_s = Number(
        'Longest time in seconds for a change or a read.',
        10,
        low=0.1,
    )
    gossip: Option[Any] = IpAddress(
        'Address for gossip with the nodes, UDP; none without it.',
        None,
    )
    seeds = AddressList('Gossip addresses of other hosts and nodes.', ())

    def contradictions(self) -> Iterator[str]:
        """Yield problems between the keys."""
        if self.name not in self.peers and self.address is None:
            yield f"peers: does not name this host, '{self.name}'"
        if self.heartbeat_s * 2 > self.election_timeout_s:
            yield 'heartbeat_s: must be at most half of election_timeout_s'

    def warnings(self) -> Iterator[str]:
        """Yield what is allowed but rarely meant."""
        if len(self.peers) % 2 == 0:
            yield 'peers: an even number bears no more losses than one less'
        if len(self.peers) < 3 and not self.replace_after_s:
            yield 'peers: fewer than 3 bear no loss of a host'


def documented(schema: type[Schema]) -> list[tuple[str, Option[Any]]]:
    """List the keys of a schema with their options, in order."""
    return list(schema.options.items())
