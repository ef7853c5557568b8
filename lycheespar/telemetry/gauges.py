"""Gauges of a node, read before each batch of metrics."""

from __future__ import annotations

from collections import Counter

from lycheespar.admission.executor import Executor
from lycheespar.configuration.view import ConfigurationView
from lycheespar.membership.records import Liveness
from lycheespar.membership.view import MembershipView

# Age in seconds that is reported for a configuration never confirmed.
LONGEST_AGE_S = 86_400


def node_gauges(
    executor: Executor,
    configuration: ConfigurationView,
    members: MembershipView,
) -> dict[str, float]:
    """Return the gauges by name."""
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
        'configuration.revision': configuration.current.revision,
        'configuration.age_s': min(configuration.age_s, LONGEST_AGE_S),
    }
