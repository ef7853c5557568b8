"""Runs calls at the local target, within all limits of this node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from loguru import logger

from lycheespar.admission.gate import Gate
from lycheespar.admission.limiter import Limiter, gate_limits
from lycheespar.admission.reported import ReportedLoad
from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import Configuration, Parameters
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    DeadlineExceededError,
    DrainingError,
    OutOfServiceError,
    StaleConfigurationError,
    TargetGoneError,
    TargetLostError,
    TruncatedAnswerError,
)
from lycheespar.membership.records import Phase
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.body import ResponseBody
from lycheespar.targets.client import TargetClient
from lycheespar.targets.load import LoadReport
from lycheespar.targets.shedding import refusal_of
from lycheespar.telemetry.events import TargetChanged, TargetSilent, events

# Time after the start of a drain in which calls are still taken whose body
# streams: other nodes that do not know of the drain can't send them again.
STREAM_GRACE_S: Final = 1
# Least time between two replacements of the connections to the target.
RECONNECT_S: Final = 1
FIRST_FAILURE_STATUS: Final = 500
# Time for which a target counts as cold that may be, unless it is probed
# before: some probes at the usual rate.
UNSURE_S: Final = 1

log = logger.bind(part='admission')


class Executor:
    """Admits calls and sends them to the local target.

    Parameters
    ----------
    target : LocalTarget
        The target of this node.
    configuration : ConfigurationView
        Says what is taken out.
    data_centre : str
        Data centre of this node.
    stale_after_s : float
        Age in seconds past which the configuration is not current;
        infinite where stale configurations are served.
    connect : Callable[[Announcement], TargetClient]
        Prepares the connections to an announced target.
    profile : HeaderProfile
        Names of the headers.
    """

    __slots__ = (
        '_announced',
        '_client',
        '_closing',
        '_configuration',
        '_connect',
        '_data_centre',
        '_drained_at',
        '_gate',
        '_limiter',
        '_load_path',
        '_parameters',
        '_profile',
        '_reconnected_at',
        '_reported',
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
        connect: Callable[[Announcement], TargetClient],
        profile: HeaderProfile = DEFAULT_PROFILE,
    ) -> None:
        """Follow the target's announcements and the configuration."""
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
        self._client: TargetClient | None = None
        self._announced: Announcement | None = None
        self._parameters = Parameters()
        self._reported = ReportedLoad()
        self._drained_at = float('inf')
        self._reconnected_at = float('-inf')
        self._closing: set[asyncio.Task[None]] = set()
        target.changes.subscribe(self._follow)
        configuration.changes.subscribe(self._reconfigure)

    @property
    def load(self) -> Load:
        """Load of the target now."""
        return self._reported.merge(self._gate.load, _now())

    @property
    def idle(self) -> bool:
        """Whether no call runs or waits."""
        return self._gate.idle

    @property
    def quiet_s(self) -> float:
        """Seconds since a call last ended."""
        return _now() - self._gate.left_at

    @property
    def probe_budget_ms_per_s(self) -> float:
        """Time that probes may cost, in milliseconds a second."""
        return self._parameters.probe_budget_ms_per_s

    @property
    def load_path(self) -> str:
        """Path of the load endpoint of the service's targets, or empty."""
        return self._load_path

    def report(self, report: LoadReport) -> None:
        """Take what the target says of its load.

        What another target says, at an address that was used before, is not
        taken.
        """
        current = self._announced
        if current is None or report.target not in {'', current.target}:
            return
        now = _now()
        self._reported.take(report, now)
        if report.cold_s >= 0:
            self._gate.rate.set_cold(now + report.cold_s)

    async def execute(self, call: Call) -> Answer:
        """Run a call at the target.

        Raises
        ------
        RefusedError
            The call was not run.
        OutcomeUnknownError
            The call may have run.
        """
        self._check(call)
        await self._gate.enter(call)
        entered_at = _now()
        try:
            answer = await self._send(call)
        except BaseException:
            self._gate.leave(_now() - entered_at)
            raise
        if isinstance(answer.body, ResponseBody):
            answer.body.on_end(lambda: self._gate.leave(_now() - entered_at))
        else:
            self._gate.leave(_now() - entered_at)
        return answer

    async def close(self) -> None:
        """Close the connections to the target."""
        if self._client is not None:
            await self._client.close()

    def restarted(self) -> None:
        """Begin a cold start, as the target shows signs of a restart."""
        now = _now()
        if not self._limiter.is_cold(now):
            log.info('The target may have restarted: cold start.')
        self._limiter.restart(now)
        self._gate.rate.set_cold(now + UNSURE_S)

    def _check(self, call: Call) -> None:
        """Refuse work that this node must not take."""
        current = self._target.current
        if current is None or current.service_name != call.service:
            raise TargetGoneError
        if current.state in {Phase.draining, Phase.left}:
            self._check_draining(call)
        if self._configuration.is_out(self._data_centre, current.target):
            raise OutOfServiceError
        if self._configuration.age_s > self._stale_after_s:
            raise StaleConfigurationError

    def _check_draining(self, call: Call) -> None:
        draining_s = _now() - self._drained_at
        if isinstance(call.body, bytes) or draining_s > STREAM_GRACE_S:
            raise DrainingError

    async def _send(self, call: Call) -> Answer:
        """Send an admitted call, unless things changed while it waited."""
        self._check(call)
        client = self._client
        if client is None:
            raise TargetGoneError
        sent_at = _now()
        call.started = True
        try:
            answer = await client.send(call, self.load)
        except (TargetGoneError, TargetLostError):
            self._limiter.failed(_now(), self._gate.running)
            self.restarted()
            raise
        except TruncatedAnswerError:
            self._limiter.failed(_now(), self._gate.running)
            raise
        except DeadlineExceededError:
            self._time_out(call, _now() - sent_at)
            raise
        self._judge(call, answer, _now() - sent_at)
        return answer

    def _time_out(self, call: Call, waited_s: float) -> None:
        """Learn from a call without an answer.

        The connections are replaced, as they may have gone silent.
        """
        slow = self._limiter.timed_out(
            call.request_class,
            waited_s,
            _now(),
            self._gate.running,
        )
        if slow:
            self._reconnect()

    def _judge(self, call: Call, answer: Answer, latency_s: float) -> None:
        """Learn from an answer; turn a target's refusal into ours."""
        self._reported.take_answer(answer, self._profile, _now())
        refusal = refusal_of(call, answer, self._profile)
        if refusal is not None:
            if isinstance(answer.body, ResponseBody):
                answer.body.close()
            self._limiter.shed()
            self._limiter.failed(_now(), self._gate.running)
            raise refusal
        if answer.status >= FIRST_FAILURE_STATUS:
            self._limiter.failed(_now(), self._gate.running)
        else:
            self._limiter.succeeded(
                call.request_class,
                latency_s,
                _now(),
                self._gate.running,
            )
        answer.load = self.load

    def _follow(self, announcement: Announcement | None) -> None:
        known = self._announced
        self._announced = announcement
        if announcement is None:
            events.write(TargetSilent('' if known is None else known.target))
            self._replace_client(None)
            self._gate.refuse_waiting(TargetGoneError)
            return
        _report(announcement, known)
        if known is None or known.start != announcement.start:
            self._replace_client(self._connect(announcement))
            self._limiter.restart(_now())
            self._gate.rate.set_cold(_now() + UNSURE_S)
        elif announcement.state is Phase.cold and known.state is not Phase.cold:
            self._limiter.restart(_now())
        self._limiter.hold_cold(held=announcement.state is Phase.cold)
        if announcement.cold_s:
            self._gate.rate.set_cold(_now() + announcement.cold_s)
        self._follow_drain(announcement)
        self._reconfigure(self._configuration.current)

    def _follow_drain(self, announcement: Announcement) -> None:
        if announcement.state not in {Phase.draining, Phase.left}:
            self._drained_at = float('inf')
            return
        now = _now()
        self._drained_at = min(self._drained_at, now)
        self._gate.refuse_waiting(DrainingError)

    def _reconfigure(self, _: Configuration) -> None:
        """Follow the parameters of the service and what is taken out."""
        announced = self._announced
        if announced is None:
            return
        service = self._configuration.services.get(announced.service_name)
        self._parameters = (
            Parameters() if service is None else service.parameters
        )
        self._load_path = '' if service is None else service.load_path
        self._gate.configure(gate_limits(announced.slots, self._parameters))
        out = self._configuration.is_out(self._data_centre, announced.target)
        if out:
            self._gate.refuse_waiting(OutOfServiceError)
        elif self._was_out:
            self._gate.rate.set_cold(_now() + UNSURE_S)
        self._was_out = out

    def _reconnect(self) -> None:
        """Open new connections; the old ones serve their calls to the end."""
        now = _now()
        announced = self._announced
        if announced is None or now - self._reconnected_at < RECONNECT_S:
            return
        self._reconnected_at = now
        self._replace_client(self._connect(announced))

    def _replace_client(self, client: TargetClient | None) -> None:
        old = self._client
        self._client = client
        if old is not None:
            task = asyncio.create_task(old.retire())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)


def _report(announcement: Announcement, known: Announcement | None) -> None:
    """Log a target that is new or in another phase."""
    if known is not None:
        same = (known.start, known.phase)
        if same == (announcement.start, announcement.phase):
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
