"""Settings of the node and of the control host."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

from lycheespar.settings.options import (
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
from lycheespar.settings.schema import Schema

_LOG_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


class _CommonSettings(Schema):
    """Settings that nodes and control hosts have in common."""

    name = Text(
        'Name of this process; must be unique among all nodes and '
        'control hosts.',
    )
    data_centre = Text('Data centre of the host on which this process runs.')
    log_level = Choice(
        'Lowest level of the log lines that are written.', _LOG_LEVELS, 'INFO'
    )
    log_json = Flag('Whether log lines are written as JSON.', default=False)
    statsd: Option[Any] = IpAddress(
        'Address of the statsd server; without it no metrics are sent.',
        None,
    )
    metrics: Option[Any] = IpAddress(
        'Address that serves metrics as text; without it none are served.',
        None,
    )


class NodeSettings(_CommonSettings):
    """Settings of ``lycheespar node``."""

    http = IpAddress('Address that callers send requests to, HTTP.')
    announce = IpAddress(
        'Address that the target sends its announcements to, HTTP.'
    )
    inner = IpAddress('Address for calls from other nodes, TCP.')
    advertise_inner: Option[Any] = IpAddress(
        'Address that other nodes connect to, if it differs from "inner".',
        None,
    )
    gossip = IpAddress('Address for gossip with other processes, UDP.')
    seeds = AddressList(
        'Gossip addresses of other nodes, used to join the cluster.', ()
    )
    control = AddressTable('Addresses of the control hosts, by name.')
    stale_after_s = Number(
        'Age in seconds above which the configuration is stale.',
        5,
        low=0.1,
    )
    serve_stale = Flag(
        'Whether new requests are accepted while the configuration is stale.',
        default=False,
    )
    versions_by_order = Flag(
        'Whether targets of a new version get requests only by a roll-out.',
        default=False,
    )
    quota_excess = Number(
        "Calls beyond a team's quota that are tolerated in a few seconds.",
        20,
        low=1,
    )
    data_folder: Option[Any] = Text(
        'Folder in which the last configuration is saved; without it none is.',
        None,
    )
    saved_retries = Number(
        'Most unused retries that all nodes together save up for one service.',
        100,
        low=1,
    )
    most_retry_share = Number(
        'Most retries per fresh call, 0 to 1, even if a service allows more.',
        1,
        high=1,
    )
    drain_s = Number('Longest time of a graceful stop, in seconds.', 30)
    drain_spread_s = Number(
        'Time in seconds for which a stopping node still accepts new requests, '
        'while the other nodes learn of the stop.',
        1,
    )
    ready: Option[Any] = IpAddress(
        'Address of the readiness check, HTTP; without it there is none.',
        None,
    )
    trace_share = Number(
        'Share of requests that are traced, 0 to 1.',
        0,
        high=1,
    )
    trace_file: Option[Any] = Text(
        'File to which trace spans are written, one JSON object per line.',
        None,
    )
    log_answers = Flag(
        'Whether requests that a target answered are logged as well.',
        default=False,
    )
    max_body_bytes = Integer(
        'Largest size of a request body, in bytes.',
        1024 * 1024 * 1024,
        low=1,
    )
    max_head_bytes = Integer(
        'Largest size of the head of a request, in bytes, if the '
        'configuration does not limit it.',
        64 * 1024,
        low=1024,
    )
    head_timeout_s = Number(
        'Longest time in seconds for receiving the head of a request, if the '
        'configuration does not limit it.',
        30,
        low=0.1,
    )
    idle_timeout_s = Number(
        'Time in seconds after which an idle connection of a caller is closed, '
        'if the configuration does not limit it.',
        75,
        low=0.1,
    )
    write_timeout_s = Number(
        "Time in seconds after which a caller's connection is aborted that "
        'accepts no byte of an answer.',
        30,
        low=1,
    )
    max_connections = Integer(
        'Most open connections of callers; 0 for half of the descriptors of '
        'the process, but at most 2048. Beyond it, those are closed that have '
        'been without a request for the longest time.',
        0,
    )
    max_request_memory = Integer(
        'Memory in bytes that the heads of unfinished and waiting requests of '
        'all callers may use together.',
        32 * 1024 * 1024,
        low=1024 * 1024,
    )
    max_unsent_bytes = Integer(
        'Bytes of answers that may wait on connections whose callers do not '
        'read.',
        32 * 1024 * 1024,
        low=1024 * 1024,
    )

    def contradictions(self) -> Iterator[str]:
        """Yield contradictions between keys whose values are valid."""
        if self.gossip.host != (self.advertise_inner or self.inner).host:
            yield (
                'gossip: must have the same IP address as advertise_inner, '
                'or as inner if advertise_inner is missing'
            )
        if not self.control:
            yield 'control: must name at least one control host'
        if self.trace_share and not self.trace_file:
            yield 'trace_file: is missing, but required as trace_share is not 0'

    def warnings(self) -> Iterator[str]:
        """Yield warnings of settings that are allowed but rarely intended."""
        if not self.seeds:
            yield 'seeds: is empty, so this node joins no other node'
        if self.serve_stale:
            yield (
                'serve_stale: nodes without contact to the control hosts may '
                'send new requests to a data centre that is taken out'
            )
        if self.data_folder is None:
            yield 'data_folder: is missing, so a restart begins unconfigured'


class ControlSettings(_CommonSettings):
    """Settings of ``lycheespar control``."""

    http = IpAddress("Address of the operators' API, HTTP.")
    peers = AddressTable(
        'Addresses of all control hosts by name, including this one.',
    )
    data_folder = Text(
        'Folder in which the replicated configuration is stored.'
    )
    election_timeout_s = Number(
        'Shortest time in seconds without a leader before an election.',
        1,
        low=0.05,
    )
    heartbeat_s = Number(
        'Time in seconds between two heartbeat rounds of the leader.',
        0.25,
        low=0.01,
    )
    snapshot_every = Integer(
        'Number of changes between two snapshots.', 1000, low=1
    )
    founding = Flag(
        'Whether this host may form a new group with the hosts in "peers".',
        default=True,
    )
    address: Option[Any] = IpAddress(
        'Address for the other control hosts, if this host is not in "peers".',
        None,
    )
    replace_after_s = Number(
        'Time in seconds without an answer after which a voter is replaced by '
        'another host; 0 disables replacement.',
        0,
    )
    least_voters = Integer(
        'A silent voter is removed only while there are more voters than this.',
        3,
        low=1,
    )
    operation_timeout_s = Number(
        'Longest time in seconds for a change or a read to complete.',
        10,
        low=0.1,
    )
    max_exposure = Number(
        'Largest share of the requests between the order and the deadline of '
        'a roll-out that a bad version may get, 0 to 1; 0 disables roll-outs.',
        0,
        high=1,
    )
    gossip: Option[Any] = IpAddress(
        'Address for gossip with the nodes, UDP; without it there is none.',
        None,
    )
    seeds = AddressList(
        'Gossip addresses of other hosts and nodes, used to join the cluster.',
        (),
    )

    def contradictions(self) -> Iterator[str]:
        """Yield contradictions between keys whose values are valid."""
        if self.name not in self.peers and self.address is None:
            yield f"peers: does not contain this host, '{self.name}'"
        if self.heartbeat_s * 2 > self.election_timeout_s:
            yield 'heartbeat_s: must be at most half of election_timeout_s'

    def warnings(self) -> Iterator[str]:
        """Yield warnings of settings that are allowed but rarely intended."""
        if len(self.peers) % 2 == 0:
            yield (
                'peers: an even number of hosts tolerates no more failures '
                'than one host less'
            )
        if len(self.peers) < 3 and not self.replace_after_s:
            yield 'peers: fewer than 3 hosts tolerate no failure of a host'


def list_options(schema: type[Schema]) -> list[tuple[str, Option[Any]]]:
    """List the keys of a schema and their options, in order."""
    return list(schema.options.items())
