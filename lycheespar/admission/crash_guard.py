"""Detects crashes of the local target and isolates suspect requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Final

from lycheespar.admission.suspects import SuspectTable, Verdict
from lycheespar.call import Answer, Call, Execution
from lycheespar.errors import (
    CrashSuspectError,
    OverloadedError,
    TargetLostError,
    TargetUnavailableError,
    TruncatedAnswerError,
)
from lycheespar.streams import GuardedStream, close_stream
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.telemetry.crash_events import CrashUnconfirmed, TargetCrashed
from lycheespar.telemetry.event_log import events

# Time in seconds after a lost connection within which a refused connection or
# a restart of the target confirms that it has crashed.
CONFIRMATION_WINDOW_S: Final = 5
CONNECT_TIMEOUT_S: Final = 1
# Delays in seconds before each connection attempt to a target that lost a
# connection. A process that ends closes its connections before its port: by
# milliseconds on an idle host, by tenths of a second on a busy one.
PROBE_DELAYS_S: Final = (0, 0.02, 0.1, 0.3)
# Maximum time in seconds for which other calls wait for a suspect to end.
MAX_EXCLUSION_WAIT_S: Final = 0.25
# Maximum time in seconds for which a suspect waits until no other call runs.
MAX_IDLE_WAIT_S: Final = 2
# Retry-after time in seconds of calls refused because of a suspect.
RETRY_AFTER_S: Final = 0.2


class CrashGuard:
    """Runs calls at the local target; a suspect runs without other calls.

    Parameters
    ----------
    execution : Execution
        Runs the calls.
    target : LocalTarget
        The target of this node.
    suspects : SuspectTable
        Table of known crashes.
    is_designated : Callable[[str, bytes], bool]
        Whether this node is designated to run a suspect, given the service
        and the fingerprint.
    """

    __slots__ = (
        '_execution',
        '_incident',
        '_is_designated',
        '_running',
        '_state_changed',
        '_suspect_count',
        '_suspects',
        '_target',
        '_tasks',
    )

    def __init__(
        self,
        execution: Execution,
        target: LocalTarget,
        suspects: SuspectTable,
        is_designated: Callable[[str, bytes], bool],
    ) -> None:
        """Subscribe to the announcements of the target."""
        self._execution = execution
        self._target = target
        self._suspects = suspects
        self._is_designated = is_designated
        self._running: dict[bytes, Call] = {}
        self._incident: _Incident | None = None
        self._suspect_count = 0
        self._state_changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()
        target.changes.subscribe(self._on_announcement)

    async def execute(self, call: Call) -> Answer:
        """Run a call.

        Raises
        ------
        CrashSuspectError
            Requests with this fingerprint have crashed targets.
        """
        match self._suspects.verdict(call.fingerprint):
            case Verdict.clear:
                if self._suspect_count:
                    await self._wait_until(
                        call, MAX_EXCLUSION_WAIT_S, self._has_no_suspects
                    )
                return await self._run(call)
            case Verdict.suspect:
                return await self._run_isolated(call)
            case Verdict.convicted:
                raise CrashSuspectError(
                    retry_after_s=self._suspects.retry_after_s(
                        call.fingerprint,
                    ),
                )

    async def _run_isolated(self, call: Call) -> Answer:
        if not self._is_designated(call.service, call.fingerprint):
            raise CrashSuspectError(
                'another node runs requests with this fingerprint',
                RETRY_AFTER_S,
            )
        self._suspect_count += 1
        try:
            await self._wait_until(call, MAX_IDLE_WAIT_S, self._has_no_calls)
            answer = await self._run(call)
        finally:
            self._suspect_count -= 1
            await self._notify()
        if isinstance(answer.body, bytes):
            self._clear_suspect(call, whole=True)
        else:
            answer.body = GuardedStream(
                answer.body,
                lambda whole: self._clear_suspect(call, whole=whole),
            )
        return answer

    def _clear_suspect(self, call: Call, *, whole: bool) -> None:
        """Clear a suspect if its answer was complete."""
        if whole:
            self._suspects.clear(call.fingerprint)

    def _has_no_suspects(self) -> bool:
        return not self._suspect_count

    def _has_no_calls(self) -> bool:
        return not self._running

    async def _wait_until(
        self,
        call: Call,
        max_wait_s: float,
        condition: Callable[[], bool],
    ) -> None:
        """Wait until a condition holds, for at most `max_wait_s` seconds.

        Raises
        ------
        OverloadedError
            The condition did not hold in time.
        """
        now = asyncio.get_running_loop().time()
        until = min(call.deadline, now + max_wait_s)
        try:
            async with asyncio.timeout_at(until), self._state_changed:
                await self._state_changed.wait_for(condition)
        except TimeoutError as error:
            raise OverloadedError(
                'a crash suspect must run without other calls', RETRY_AFTER_S
            ) from error

    async def _run(self, call: Call) -> Answer:
        self._running[call.call_id] = call
        try:
            answer = await self._execution.execute(call)
        except (TargetLostError, TruncatedAnswerError):
            self._begin_incident(call)
            self._finish(call)
            raise
        except TargetUnavailableError:
            self._confirm_crash('refused')
            self._finish(call)
            raise
        except BaseException:
            self._finish(call)
            raise
        if isinstance(answer.body, bytes):
            self._finish(call)
        else:
            answer.body = GuardedStream(
                _MonitoredBody(answer.body, lambda: self._begin_incident(call)),
                lambda _: self._finish(call),
            )
        return answer

    def _finish(self, call: Call) -> None:
        self._running.pop(call.call_id, None)
        if self._suspect_count:
            self._spawn(self._notify())

    async def _notify(self) -> None:
        async with self._state_changed:
            self._state_changed.notify_all()

    def _begin_incident(self, call: Call) -> None:
        """Start checking for a crash, as the connection of a call broke.

        The started calls are recorded: if a crash is confirmed, they become
        suspects. An unconfirmed incident goes on if the call ran at its
        beginning, as a port may close long after the first connections.
        """
        known = self._incident
        if known is not None and known.explains_loss_of(call):
            return
        calls = {
            call_id: running.fingerprint
            for call_id, running in self._running.items()
            if running.started
        }
        now = asyncio.get_running_loop().time()
        if known is not None and known.includes(call, now):
            calls |= known.calls
        incident = _Incident(now, calls, self._target.current)
        self._incident = incident
        self._spawn(self._probe_port(incident))

    async def _probe_port(self, incident: _Incident) -> None:
        """Check several times whether the target refuses connections."""
        for delay_s in PROBE_DELAYS_S:
            await asyncio.sleep(delay_s)
            if incident is not self._incident or incident.confirmed:
                return
            if await self._refuses_connection():
                self._confirm_crash('refused')
                return
        if incident is self._incident and not incident.confirmed:
            incident.probed = True
            events.write(
                CrashUnconfirmed(incident.target, len(incident.calls)),
            )

    async def _refuses_connection(self) -> bool:
        """Whether the target refuses a connection, as it does after a crash."""
        current = self._target.current
        if current is None:
            return True
        host, _, port = current.address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return True
        writer.close()
        return False

    def _on_announcement(self, announcement: Announcement | None) -> None:
        """Confirm a crash if the lease has lapsed or the target restarted."""
        incident = self._incident
        if incident is not None and incident.has_target_changed(announcement):
            self._confirm_crash('gone' if announcement is None else 'restarted')

    def _confirm_crash(self, evidence: str) -> None:
        """Report a crash to all nodes, once per incident."""
        incident = self._incident
        if incident is None or incident.confirmed:
            return
        elapsed_s = asyncio.get_running_loop().time() - incident.at
        if elapsed_s >= CONFIRMATION_WINDOW_S:
            return
        incident.confirmed = True
        fingerprints = set(incident.calls.values())
        events.write(
            TargetCrashed(
                incident.target,
                evidence,
                round(elapsed_s, 3),
                tuple(found.hex() for found in fingerprints),
            ),
        )
        self._suspects.report(fingerprints)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _MonitoredBody:
    """Body of an answer that reports when it is truncated."""

    __slots__ = ('_chunks', '_on_truncation')

    def __init__(
        self,
        chunks: AsyncIterator[bytes],
        on_truncation: Callable[[], None],
    ) -> None:
        self._chunks = chunks
        self._on_truncation = on_truncation

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        try:
            return await anext(self._chunks)
        except TruncatedAnswerError:
            self._on_truncation()
            raise

    async def aclose(self) -> None:
        """Close the body."""
        await close_stream(self._chunks)


class _Incident:
    """Loss of a connection to the target, which may have crashed.

    Attributes
    ----------
    at : float
        Instant of the event loop's clock in seconds.
    calls : dict[bytes, bytes]
        Calls that had started at the target, with their fingerprints.
    confirmed : bool
        Whether the target has crashed.
    probed : bool
        Whether the target still accepted connections after the last probe.
    """

    __slots__ = ('_announcement', 'at', 'calls', 'confirmed', 'probed')

    def __init__(
        self,
        at: float,
        calls: dict[bytes, bytes],
        announcement: Announcement | None,
    ) -> None:
        self.at = at
        self.calls = calls
        self.confirmed = False
        self.probed = False
        self._announcement = announcement

    @property
    def target(self) -> str:
        """Identity of the target; empty if none was announced."""
        return '' if self._announcement is None else self._announcement.target

    def explains_loss_of(self, call: Call) -> bool:
        """Whether the connection of a call broke in this incident as well."""
        return call.call_id in self.calls and (
            self.confirmed or not self.probed
        )

    def includes(self, call: Call, now: float) -> bool:
        """Whether a call ran in this incident, which may yet be confirmed."""
        is_recent = now - self.at < CONFIRMATION_WINDOW_S
        return is_recent and call.call_id in self.calls

    def has_target_changed(self, announcement: Announcement | None) -> bool:
        """Whether the lease has lapsed or the target restarted since then."""
        known = self._announcement
        if known is None or announcement is None:
            return True
        return known.incarnation != announcement.incarnation
