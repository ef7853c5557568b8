"""Requests as callers saw them, and which of them were lost."""

from __future__ import annotations

from collections import Counter, defaultdict
from itertools import chain
from typing import Final

import msgspec

# Time in seconds after the last byte of a request after which its connection
# must not end without an answer.
LOSS_SLACK_S: Final = 0.2
# A request that was sent this long after SIGTERM or earlier may be cut in the
# last part of the grace period, if its target is still at work.
EXCUSED_SENT_S: Final = 3
EXCUSED_SHARE: Final = 5 / 6
# Time in seconds for which a disruption that nobody planned excuses losses.
CONTACT_S: Final = 3
MIN_FAILURE_STATUS: Final = 500
# How an exchange ends whose caller closes the connection at its deadline, or
# earlier.
CALLER_GAVE_UP: Final = 'deadline'
CALLER_LEFT: Final = 'caller left'
# Statuses that promise that a request was not run and never will be.
NOT_RUN: Final = frozenset((408, 421, 429, 503))


class Exchange(msgspec.Struct):
    """One request of a caller, on one connection.

    Times are in seconds of the event loop's clock; 0 if not reached.

    Attributes
    ----------
    attempt, node, request_class, kind : str
        Attempt id, node that the caller asked, and class and kind of request.
    style : str
        How the connection is used.
    size : int
        Size of a successful answer's body in bytes.
    sent_at, last_byte_at, deadline, ended_at : float
        When the request was begun and completely written, when the caller
        gives up, and when the answer or the end of the connection came.
    status : int
        Status of a complete answer; 0 if there was none.
    sealed : bool
        Whether the answer bears the seal of the request's target.
    valid : bool
        Whether a sealed answer is that of the target, unchanged.
    ending : str
        How the connection ended, if there was no complete answer.
    odd_target : bool
        Whether the target was asked not to send a whole answer.
    next_since : float
        Since when its answer was the next one due on its connection and the
        caller read; 0 if it was not the next one when its caller gave up,
        infinite if the caller had paused reading then.
    behind_close : bool
        Whether it was sent behind one whose answer ends the connection. By
        HTTP it was then not read, and must not have run.
    """

    attempt: str
    node: str
    request_class: str
    kind: str
    style: str
    sent_at: float
    deadline: float
    size: int = 0
    last_byte_at: float = 0
    ended_at: float = 0
    status: int = 0
    sealed: bool = False
    valid: bool = True
    ending: str = ''
    odd_target: bool = False
    next_since: float = 0
    behind_close: bool = False


class Run(msgspec.Struct):
    """One run of a request at a target.

    Attributes
    ----------
    began_at, ended_at : float
        Times in seconds; the end is infinite while it runs.
    dropped : bool
        Whether its connection was closed before it had ended.
    failed : bool
        Whether it answered that a call of its own had failed.
    zone : str
        Data centre of the target.
    """

    began_at: float
    ended_at: float = float('inf')
    dropped: bool = False
    failed: bool = False
    zone: str = ''


class Loss(msgspec.Struct):
    """A broken promise: its kind, the request, and its runs."""

    kind: str
    exchange: Exchange
    runs: list[Run]
    since_stop_s: float | None


class Ledger:
    """Collects exchanges, runs and disruptions, and finds what was lost.

    Attributes
    ----------
    exchanges : list[Exchange]
        Requests that have ended.
    runs : dict[str, list[Run]]
        Runs by attempt id.
    stops : dict[str, list[float]]
        Times of SIGTERM by node.
    disruptions : list[tuple[float, float]]
        Start and end of disruptions that nobody planned.
    delays : list[tuple[float, float]]
        Start and end of times in which this process, with its callers and
        targets, did not run.
    """

    def __init__(self, grace_s: float) -> None:
        """Create an empty ledger for processes with a grace period."""
        self.grace_s = grace_s
        self.exchanges: list[Exchange] = []
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.stops: dict[str, list[float]] = defaultdict(list)
        self.disruptions: list[tuple[float, float]] = []
        self.delays: list[tuple[float, float]] = []

    def losses(self) -> list[Loss]:
        """Return all broken promises."""
        checks = (self._check(exchange) for exchange in self.exchanges)
        return list(chain.from_iterable(checks))

    def endings(self) -> Counter[str]:
        """Return how requests ended that got no answer, by reason."""
        return Counter(
            self._ending(exchange)
            for exchange in self.exchanges
            if not exchange.status
        )

    def _ending(self, exchange: Exchange) -> str:
        """Return how a request ended, and why that is no loss if it is none."""
        runs = self.runs.get(exchange.attempt, [])
        if self._excused(exchange):
            reason = 'near an unplanned disruption'
        elif self._is_lost(exchange, runs):
            reason = 'lost'
        elif exchange.ending == CALLER_GAVE_UP:
            return 'caller gave up at its deadline'
        elif exchange.ending == CALLER_LEFT:
            return 'caller left'
        elif exchange.behind_close:
            reason = 'behind an answer that closes'
        elif exchange.odd_target:
            reason = 'target sent no whole answer'
        elif exchange.ended_at >= exchange.deadline:
            reason = 'deadline passed'
        elif self._late_in_grace(exchange, runs):
            reason = 'late in the grace period'
        else:
            reason = 'not passed on'
        return f'{exchange.ending}, {reason}'

    def _check(self, exchange: Exchange) -> list[Loss]:
        runs = self.runs.get(exchange.attempt, [])
        kinds = []
        if exchange.kind == 'non_idempotent' and len(runs) > 1:
            kinds.append('twice')
        refused = exchange.status in NOT_RUN and not exchange.sealed
        if refused and runs and exchange.kind == 'non_idempotent':
            kinds.append('refused though run')
        if not exchange.valid:
            kinds.append('mixed')
        if not self._excused(exchange) and _is_withheld(exchange, runs):
            kinds.append('withheld')
        if not self._excused(exchange) and self._is_lost(exchange, runs):
            kinds.append('lost' if self._since_stop(exchange) else 'cut')
        return [
            Loss(kind, exchange, runs, self._since_stop(exchange))
            for kind in kinds
        ]

    def _is_lost(self, exchange: Exchange, runs: list[Run]) -> bool:
        if exchange.status:
            broken_off = self._broken_off(exchange, runs)
            return broken_off and not exchange.odd_target
        gave_up = exchange.ending in {CALLER_GAVE_UP, CALLER_LEFT}
        if (
            gave_up
            or exchange.odd_target
            or exchange.ended_at >= exchange.deadline
        ):
            return False
        passed_on = any(run.began_at <= exchange.ended_at for run in runs)
        if exchange.behind_close and not passed_on:
            return False
        return (
            passed_on or self._waited_long(exchange)
        ) and not self._late_in_grace(exchange, runs)

    def _waited_long(self, exchange: Exchange) -> bool:
        """Return whether a request was left unanswered for too long."""
        began_at = exchange.last_byte_at
        if not began_at:
            return False
        delayed_s = sum(
            max(0, min(ended_at, exchange.ended_at) - max(delay_at, began_at))
            for delay_at, ended_at in self.delays
        )
        return exchange.ended_at - began_at - delayed_s > LOSS_SLACK_S

    def _broken_off(self, exchange: Exchange, runs: list[Run]) -> bool:
        """Return whether a stopping node ended a request by its own answer."""
        since_stop = self._since_stop(exchange)
        own = exchange.status >= MIN_FAILURE_STATUS and not exchange.sealed
        if since_stop is None or not own:
            return False
        at_work = any(
            run.began_at <= exchange.ended_at
            and (run.dropped or run.ended_at > exchange.ended_at)
            for run in runs
        )
        in_time = exchange.ended_at < exchange.deadline - LOSS_SLACK_S
        return at_work and in_time and not self._late_in_grace(exchange, runs)

    def _late_in_grace(self, exchange: Exchange, runs: list[Run]) -> bool:
        """Return whether the work did not fit in the grace period."""
        stops = self.stops.get(exchange.node, [])
        return any(
            exchange.sent_at <= stop + EXCUSED_SENT_S
            and any(
                run.ended_at > stop + EXCUSED_SHARE * self.grace_s
                for run in runs
            )
            for stop in stops
        )

    def _since_stop(self, exchange: Exchange) -> float | None:
        """Return the end of a request in seconds after SIGTERM, if near."""
        stops = self.stops.get(exchange.node, [])
        near = [
            exchange.ended_at - stop
            for stop in stops
            if 0 <= exchange.ended_at - stop <= self.grace_s + 1
        ]
        return max(near, default=None)

    def _excused(self, exchange: Exchange) -> bool:
        return any(
            began_at - CONTACT_S <= exchange.ended_at
            and exchange.sent_at <= ended_at + CONTACT_S
            for began_at, ended_at in self.disruptions
        )


def _is_withheld(exchange: Exchange, runs: list[Run]) -> bool:
    """Return whether a ready answer was not delivered before the deadline."""
    gave_up = exchange.ending == CALLER_GAVE_UP and not exchange.odd_target
    due_since = [
        max(run.ended_at, exchange.next_since)
        for run in runs
        if not (run.dropped or run.failed)
    ]
    waited_s = exchange.ended_at - min(due_since, default=exchange.ended_at)
    return (
        gave_up
        and bool(exchange.next_since)
        and not exchange.status
        and waited_s > LOSS_SLACK_S
    )
