"""Finds crashes of the local target and runs suspects alone."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Final

from loguru import logger

from lycheespar.admission.suspects import SuspectTable, Verdict
from lycheespar.call import Answer, Call, Execution
from lycheespar.errors import (
    CrashSuspectError,
    OverloadedError,
    TargetGoneError,
    TargetLostError,
    TruncatedAnswerError,
)
from lycheespar.streams import GuardedStream, close_stream
from lycheespar.targets.announcement import Announcement, LocalTarget

# Time in seconds after a lost connection within which a refused connection or
# a new start of the target shows that it has crashed.
CONFIRM_S: Final = 5
CONNECT_TIMEOUT_S: Final = 1
# Pauses in seconds before each look at the port of a target that lost a
# connection: a process that ends closes its connections before its port, by
# milliseconds on an idle host and by tenths of a second on a busy one.
LOOK_AFTER_S: Final = (0, 0.02, 0.1, 0.3)
# Time in seconds for which other calls wait while a suspect runs alone.
EXCLUSION_S: Final = 0.25
# Time in seconds for which a suspect waits until nothing else runs.
ALONE_S: Final = 2
# Time in seconds after which a suspect may be sent to the right node.
RETRY_S: Final = 0.2

log = logger.bind(part='admission')


class CrashGuard:
    """Runs calls at the local target, suspects one at a time and alone.

    Parameters
    ----------
    execution : Execution
        Runs the calls.
    target : LocalTarget
        The target of this node.
    suspects : SuspectTable
        What is known of crashes.
    is_designated : Callable[[str, bytes], bool]
        Whether this node is the one that runs a service's suspect.
    """

    __slots__ = (
        '_alone',
        '_changed',
        '_doubtful',
        '_execution',
        '_is_designated',
        '_running',
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
        """Follow the target."""
        self._execution = execution
        self._target = target
        self._suspects = suspects
        self._is_designated = is_designated
        self._running: dict[bytes, Call] = {}
        self._doubtful: _Incident | None = None
        self._alone = 0
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()
        target.changes.subscribe(self._follow)

    async def execute(self, call: Call) -> Answer:
        """Run a call.

        Raises
        ------
        CrashSuspectError
            Requests like this one crashed their targets.
        """
        match self._suspects.verdict(call.fingerprint):
            case Verdict.clear:
                if self._alone:
                    await self._wait(call, EXCLUSION_S, self._is_open)
                return await self._run(call)
            case Verdict.suspect:
                return await self._run_alone(call)
            case Verdict.convicted:
                raise CrashSuspectError(
                    retry_after_s=self._suspects.retry_after_s(
                        call.fingerprint,
                    ),
                )

    async def _run_alone(self, call: Call) -> Answer:
        if not self._is_designated(call.service, call.fingerprint):
            raise CrashSuspectError('runs elsewhere', RETRY_S)
        self._alone += 1
        try:
            await self._wait(call, ALONE_S, self._is_idle)
            answer = await self._run(call)
        finally:
            self._alone -= 1
            await self._notify()
        if isinstance(answer.body, bytes):
            self._acquit(call, whole=True)
        else:
            answer.body = GuardedStream(
                answer.body,
                lambda whole: self._acquit(call, whole=whole),
            )
        return answer

    def _acquit(self, call: Call, *, whole: bool) -> None:
        """Clear a suspect whose answer came whole."""
        if whole:
            self._suspects.clear(call.fingerprint)

    def _is_open(self) -> bool:
        return not self._alone

    def _is_idle(self) -> bool:
        return not self._running

    async def _wait(
        self,
        call: Call,
        longest_s: float,
        ready: Callable[[], bool],
    ) -> None:
        """Wait for the turn of a call.

        Raises
        ------
        OverloadedError
            The turn did not come in time.
        """
        now = asyncio.get_running_loop().time()
        until = min(call.deadline, now + longest_s)
        try:
            async with asyncio.timeout_at(until), self._changed:
                await self._changed.wait_for(ready)
        except TimeoutError as error:
            raise OverloadedError('a suspect runs alone', RETRY_S) from error

    async def _run(self, call: Call) -> Answer:
        self._running[call.call_id] = call
        try:
            answer = await self._execution.execute(call)
        except (TargetLostError, TruncatedAnswerError):
            self._doubt()
            self._leave(call)
            raise
        except TargetGoneError:
            self._confirm()
            self._leave(call)
            raise
        except BaseException:
            self._leave(call)
            raise
        if isinstance(answer.body, bytes):
            self._leave(call)
        else:
            answer.body = GuardedStream(
                _Watched(answer.body, self._doubt),
                lambda _: self._leave(call),
            )
        return answer

    def _leave(self, call: Call) -> None:
        self._running.pop(call.call_id, None)
        if self._alone:
            self._spawn(self._notify())

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _doubt(self) -> None:
        """Note what ran when a connection broke; see if the target lives."""
        now = asyncio.get_running_loop().time()
        known = self._doubtful
        if known is not None and now - known.at < CONFIRM_S:
            return
        started = {
            call.fingerprint for call in self._running.values() if call.started
        }
        self._doubtful = _Incident(now, started, self._target.current)
        self._spawn(self._probe())

    async def _probe(self) -> None:
        """Look a few times whether the target takes connections."""
        for pause_s in LOOK_AFTER_S:
            await asyncio.sleep(pause_s)
            if self._doubtful is None:
                return
            if await self._refuses():
                self._confirm()
                return

    async def _refuses(self) -> bool:
        """Connect once: a target that has crashed refuses."""
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

    def _follow(self, announcement: Announcement | None) -> None:
        """Take a lapsed lease or a new start of the target as a sign."""
        incident = self._doubtful
        if incident is not None and incident.is_other(announcement):
            self._confirm()

    def _confirm(self) -> None:
        """Tell all nodes that the target has crashed, if that is news."""
        incident, self._doubtful = self._doubtful, None
        now = asyncio.get_running_loop().time()
        if incident is None or now - incident.at >= CONFIRM_S:
            return
        log.warning(
            'The target has crashed; {} kinds of requests are suspects.',
            len(incident.fingerprints),
        )
        self._suspects.report(incident.fingerprints)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _Watched:
    """A body whose early end is reported."""

    __slots__ = ('_chunks', '_on_cut')

    def __init__(
        self,
        chunks: AsyncIterator[bytes],
        on_cut: Callable[[], None],
    ) -> None:
        self._chunks = chunks
        self._on_cut = on_cut

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        try:
            return await anext(self._chunks)
        except TruncatedAnswerError:
            self._on_cut()
            raise

    async def aclose(self) -> None:
        """Close the body."""
        await close_stream(self._chunks)


class _Incident:
    """Connections to the target broke; it may have crashed."""

    __slots__ = ('_announcement', 'at', 'fingerprints')

    def __init__(
        self,
        at: float,
        fingerprints: set[bytes],
        announcement: Announcement | None,
    ) -> None:
        self.at = at
        self.fingerprints = fingerprints
        self._announcement = announcement

    def is_other(self, announcement: Announcement | None) -> bool:
        """Whether the target has ended or started since."""
        known = self._announcement
        if known is None or announcement is None:
            return True
        return known.incarnation != announcement.incarnation
