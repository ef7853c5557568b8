"""Runs admitted calls at the local target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from loguru import logger

from lycheespar.admission.gate import Gate
from lycheespar.admission.limiter import Limiter, gate_limits
from lycheespar.admission.notices import NoticeProcessor
from lycheespar.admission.reported import ReportedLoad
from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import Configuration, Parameters
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    DeadlineExceededError,
    DrainingError,
    InvalidAnswerError,
    OutOfServiceError,
    StaleConfigurationError,
    TargetLostError,
    TargetUnavailableError,
    TruncatedAnswerError,
)
from lycheespar.membership.records import Phase
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.body import AnswerBody
from lycheespar.targets.client import Client
from lycheespar.targets.load import LoadReport
from lycheespar.targets.notices import read_notices
from lycheespar.targets.shedding import MISDIRECTED, refusal_error
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import TargetChanged, TargetLeaseExpired

# Time in seconds after the start of a drain in which calls with a streamed body
# are still accepted: a node that has not heard of the drain yet could not send
# such a body a second time.
STREAM_DRAIN_GRACE_S: Final = 1
# Minimum time in seconds between two replacements of the connections.
MIN_RECONNECT_INTERVAL_S: Final = 1
MIN_FAILURE_STATUS: Final = 500
# Time budget for probes of a target that limits its calls, in milliseconds per
# second: about one probe, as its answers to calls show its load as well.
LIMITED_PROBE_BUDGET_MS_PER_S: Final = 6
# Time in seconds for which a target that may have turned cold is treated as
# cold. It covers a few probes at the usual rate; a load report that says
# otherwise ends it earlier.
PRESUMED_COLD_S: Final = 1

log = logger.bind(part='admission')


class Executor:
    """Admits calls and sends them to the local target.

    Parameters
    ----------
    target : LocalTarget
        The target of this node.
    configuration : ConfigurationView
        Provides the service's parameters and what is taken out.
    data_centre : str
        Data centre of this node.
    stale_after_s : float
        Age in seconds above which the configuration is stale and calls are
        refused; infinite if stale configurations are served.
    connect : Callable[[Announcement], Client]
        Creates the client for an announced target.
    profile : HeaderProfile
        Names of the HTTP headers.
    """

    __slots__ = (
        '_announcement',
        '_client',
        '_configuration',
        '_connect',
        '_data_centre',
        '_drain_started_at',
        '_gate',
        '_limiter',
        '_load_path',
        '_notices',
        '_parameters',
        '_profile',
        '_reconnected_at',
        '_reported_load',
        '_retire_tasks',
        '_stale_after_s',
        '_target',
        '_was_out',
    )

    def __init__(
        self,
        target: LocalTarget,
        configuration: ConfigurationView,
        data_centre: str,
        stale_after_s: float,
        connect: Callable[[Announcement], Client],
        profile: HeaderProfile = DEFAULT_PROFILE,
    ) -> None:
        """Subscribe to the target's announcements and the configuration."""
        self._target = target
        self._configuration = configuration
        self._data_centre = data_centre
        self._stale_after_s = stale_after_s
        self._connect = connect
        self._profile = profile
        self._load_path = ''
        self._was_out = False
        self._limiter = Limiter()
        self._gate = Gate(self._limiter)
        self._notices = NoticeProcessor(target, self._gate)
        self._client: Client | None = None
        self._announcement: Announcement | None = None
        self._parameters = Parameters()
        self._reported_load = ReportedLoad()
        self._drain_started_at = float('inf')
        self._reconnected_at = float('-inf')
        self._retire_tasks: set[asyncio.Task[None]] = set()
        target.changes.subscribe(self._on_announcement)
        configuration.changes.subscribe(self._reconfigure)

    @property
    def load(self) -> Load:
        """Current load of the target."""
        return self._reported_load.merge(self._gate.load, _now())

    @property
    def idle(self) -> bool:
        """Whether no call is running or queued."""
        return self._gate.idle

    @property
    def idle_s(self) -> float:
        """Time in seconds since the last call ended."""
        return _now() - self._gate.last_release_at

    @property
    def probe_budget_ms_per_s(self) -> float:
        """Time budget for probes, in milliseconds per second."""
        budget = self._parameters.probe_budget_ms_per_s
        if self._gate.rates.named.calls_per_s is None:
            return budget
        return min(budget, LIMITED_PROBE_BUDGET_MS_PER_S)

    @property
    def load_path(self) -> str:
        """Path of the load endpoint of the service's targets; empty if none."""
        return self._load_path

    def record_load_report(self, report: LoadReport) -> None:
        """Process a load report of the target.

        A report that names another target is ignored: the address may belong
        to a different process by now.
        """
        current = self._announcement
        if current is None or report.target not in {'', current.target}:
            return
        now = _now()
        self._reported_load.update(report, now)
        self._notices.process(current, report.notices, in_load_report=True)
        if report.cold_s >= 0:
            self._gate.rates.cold.treat_as_cold(now + report.cold_s)

    async def execute(self, call: Call) -> Answer:
        """Run a call at the target.

        Raises
        ------
        RefusedError
            The call was not run.
        OutcomeUnknownError
            The call may have run.
        """
        self._check_admissible(call)
        await self._gate.acquire(call)
        entered_at = _now()
        try:
            answer = await self._send(call)
        except BaseException:
            self._gate.release(_now() - entered_at)
            raise
        if isinstance(answer.body, AnswerBody):
            answer.body.on_end(lambda: self._gate.release(_now() - entered_at))
        else:
            self._gate.release(_now() - entered_at)
        return answer

    async def close(self) -> None:
        """Close the connections to the target."""
        if self._client is not None:
            await self._client.close()

    def begin_cold_start(self) -> None:
        """Begin a cold start because the target may have restarted."""
        now = _now()
        if not self._limiter.is_cold(now):
            log.info('The target may have restarted; beginning a cold start.')
        self._limiter.begin_cold_start(now)
        self._gate.rates.cold.treat_as_cold(now + PRESUMED_COLD_S)

    def _check_admissible(self, call: Call) -> None:
        """Check that the target may run a call.

        Raises
        ------
        RefusedError
            The target is gone, draining or taken out, or the configuration is
            stale.
        """
        current = self._target.current
        if current is None or current.service_name != call.service:
            raise TargetUnavailableError
        if current.membership_phase in {Phase.draining, Phase.left}:
            self._check_draining(call)
        if self._configuration.is_taken_out(self._data_centre, current.target):
            raise OutOfServiceError
        if self._configuration.age_s > self._stale_after_s:
            raise StaleConfigurationError

    def _check_draining(self, call: Call) -> None:
        draining_s = _now() - self._drain_started_at
        if isinstance(call.body, bytes) or draining_s > STREAM_DRAIN_GRACE_S:
            raise DrainingError

    async def _send(self, call: Call) -> Answer:
        """Send an admitted call to the target.

        The conditions are checked again, as they may have changed while the
        call was queued.
        """
        self._check_admissible(call)
        client, announcement = self._client, self._announcement
        if client is None or announcement is None:
            raise TargetUnavailableError
        sent_at = _now()
        call.started = True
        try:
            answer = await client.send(call, self.load)
        except (TargetUnavailableError, TargetLostError):
            self._limiter.record_failure(_now(), self._gate.running)
            self.begin_cold_start()
            raise
        except (InvalidAnswerError, TruncatedAnswerError):
            self._limiter.record_failure(_now(), self._gate.running)
            raise
        except DeadlineExceededError:
            self._record_timeout(call, _now() - sent_at)
            raise
        if answer.status != MISDIRECTED:
            self._notices.process(
                announcement,
                read_notices(
                    answer.headers, self._profile, announcement.target
                ),
            )
        self._process_answer(call, answer, _now() - sent_at)
        return answer

    def _record_timeout(self, call: Call, waited_s: float) -> None:
        """Record a call that timed out.

        If the target took much longer than usual, its connections are
        replaced, as they may have become unresponsive.
        """
        overdue = self._limiter.record_timeout(
            call.request_class,
            waited_s,
            _now(),
            self._gate.running,
        )
        if overdue:
            self._reconnect()

    def _process_answer(
        self, call: Call, answer: Answer, latency_s: float
    ) -> None:
        """Record an answer in the limiter.

        Raises
        ------
        RequestError
            The answer is a refusal by the target.
        """
        self._reported_load.update_from_answer(answer, self._profile, _now())
        refusal = refusal_error(call, answer, self._profile)
        if refusal is not None:
            if isinstance(answer.body, AnswerBody):
                answer.body.close()
            self._limiter.back_off()
            self._limiter.record_failure(_now(), self._gate.running)
            raise refusal
        if answer.status >= MIN_FAILURE_STATUS:
            self._limiter.record_failure(_now(), self._gate.running)
        else:
            self._limiter.record_success(
                call.request_class,
                latency_s,
                _now(),
                self._gate.running,
            )
        answer.load = self.load

    def _on_announcement(self, announcement: Announcement | None) -> None:
        previous = self._announcement
        self._announcement = announcement
        if announcement is None:
            events.write(
                TargetLeaseExpired('' if previous is None else previous.target)
            )
            self._replace_client(None)
            self._gate.refuse_queued(TargetUnavailableError)
            return
        _write_change(announcement, previous)
        if previous is None or previous.start_key != announcement.start_key:
            self._replace_client(self._connect(announcement))
            self._limiter.begin_cold_start(_now())
            self._gate.rates.named.end()
            self._gate.rates.cold.treat_as_cold(_now() + PRESUMED_COLD_S)
        elif (
            announcement.membership_phase is Phase.cold
            and previous.membership_phase is not Phase.cold
        ):
            self._limiter.begin_cold_start(_now())
        self._limiter.set_announced_cold(
            cold_phase=announcement.membership_phase is Phase.cold
        )
        if announcement.cold_s:
            self._gate.rates.cold.treat_as_cold(_now() + announcement.cold_s)
        self._update_drain(announcement)
        self._reconfigure(self._configuration.current)

    def _update_drain(self, announcement: Announcement) -> None:
        if announcement.membership_phase not in {Phase.draining, Phase.left}:
            self._drain_started_at = float('inf')
            return
        now = _now()
        self._drain_started_at = min(self._drain_started_at, now)
        self._gate.refuse_queued(DrainingError)

    def _reconfigure(self, _: Configuration) -> None:
        """Apply the service's parameters and what is taken out."""
        announced = self._announcement
        if announced is None:
            return
        service = self._configuration.services.get(announced.service_name)
        self._parameters = (
            Parameters() if service is None else service.parameters
        )
        self._load_path = '' if service is None else service.load_path
        by_cost = service is not None and service.refuses_by_cost
        self._gate.configure(
            gate_limits(announced.slots, self._parameters, by_cost=by_cost)
        )
        out = self._configuration.is_taken_out(
            self._data_centre, announced.target
        )
        if out:
            self._gate.refuse_queued(OutOfServiceError)
        elif self._was_out:
            self._gate.rates.cold.treat_as_cold(_now() + PRESUMED_COLD_S)
        self._was_out = out

    def _reconnect(self) -> None:
        """Replace the connections; calls on the old ones run to their end."""
        now = _now()
        announced = self._announcement
        if (
            announced is None
            or now - self._reconnected_at < MIN_RECONNECT_INTERVAL_S
        ):
            return
        self._reconnected_at = now
        self._replace_client(self._connect(announced))

    def _replace_client(self, client: Client | None) -> None:
        old = self._client
        self._client = client
        if old is not None:
            task = asyncio.create_task(old.close_when_idle())
            self._retire_tasks.add(task)
            task.add_done_callback(self._retire_tasks.discard)


def _write_change(
    announcement: Announcement, previous: Announcement | None
) -> None:
    """Write an event if the target is new or its phase has changed."""
    if previous is not None:
        previous_state = (previous.start_key, previous.phase)
        if previous_state == (announcement.start_key, announcement.phase):
            return
    events.write(
        TargetChanged(
            announcement.target,
            announcement.service_name,
            announcement.phase,
            announcement.slots,
            announcement.cold_s,
        ),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
