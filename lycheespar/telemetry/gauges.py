"""Gauges of nodes and control hosts, by metric name."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheespar.admission.executor import Executor
from lycheespar.configuration.view import ConfigurationView
from lycheespar.membership.records import Liveness
from lycheespar.membership.view import MembershipView
from lycheespar.targets.probes import Prober
from lycheespar.telemetry.event_log import events

if TYPE_CHECKING:
    from lycheespar.control.agreement.group import Group
    from lycheespar.control.following.configuration_follower import (
        ConfigurationFollower,
    )
    from lycheespar.membership.endpoint import Endpoint
    from lycheespar.routing.budget import RetryBudgets

# Maximum reported age of a configuration in seconds; also reported if the
# configuration was never confirmed.
MAX_AGE_S: Final = 86_400
MS_PER_S: Final = 1000


def control_gauges(group: Group) -> dict[str, float]:
    """Return the gauges of a control host."""
    stamp = group.stamp
    age_s = stamp.age_ms / MS_PER_S if stamp.round else MAX_AGE_S
    return {
        'configuration.revision': group.state.revision,
        'configuration.label': group.state.configuration.plan.label,
        'configuration.age_s': min(age_s, MAX_AGE_S),
        'control.term': group.term,
        'control.leading': group.leading,
        'control.voters': len(group.state.voters),
        'log.dropped': events.dropped,
    }


def retry_and_gossip_gauges(
    budgets: RetryBudgets,
    endpoint: Endpoint,
) -> dict[str, float]:
    """Return the totals of retries and of gossip traffic of a node."""
    spent, denied = budgets.totals
    return {
        'retries.spent': spent,
        'retries.denied': denied,
        'gossip.sent_bytes': endpoint.sent_bytes,
        'gossip.received_bytes': endpoint.received_bytes,
    }


def follower_gauges(follower: ConfigurationFollower) -> dict[str, float]:
    """Return the gauges of a node's contact with the control hosts."""
    return {'configuration.silence_s': follower.silence_s}


def node_gauges(
    executor: Executor,
    prober: Prober,
    configuration: ConfigurationView,
    members: MembershipView,
) -> dict[str, float]:
    """Return the gauges of membership, target, probes and configuration."""
    load = executor.load
    verdicts = Counter(record.liveness for record in members.records)
    membership = {
        f'membership.{verdict.name}': verdicts[verdict] for verdict in Liveness
    }
    return membership | {
        'target.running': load.running,
        'target.queued': load.queued,
        'target.limit': load.limit,
        'target.latency_ms': load.latency_ms,
        'target.failure_share': load.failure_share,
        'probe.sent': prober.counts.probes,
        'probe.failed': prober.counts.failures,
        'probe.spent_ms': prober.counts.cost_ms,
        'log.dropped': events.dropped,
        'configuration.revision': configuration.current.revision,
        'configuration.label': configuration.current.plan.label,
        'configuration.age_s': min(configuration.age_s, MAX_AGE_S),
    }
