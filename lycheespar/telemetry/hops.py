"""Traced connections to other nodes and to the target."""

from __future__ import annotations

from lycheespar.call import Answer, Call, Execution, Headers, Load
from lycheespar.membership.records import MemberRecord
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.protocol.messages import Hello
from lycheespar.routing.pool import ChannelPool
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import TargetClient
from lycheespar.telemetry.traces import (
    HEADER,
    TracedExecution,
    Tracer,
    is_traced,
    spanned,
)


class TracedPool(ChannelPool):
    """Pool of channels that give traced calls a span.

    Parameters
    ----------
    hello, source
        As for `ChannelPool`.
    tracer : Tracer
        Starts the spans.
    """

    __slots__ = ('_tracer',)

    def __init__(self, hello: Hello, source: str, tracer: Tracer) -> None:
        """Start without channels."""
        super().__init__(hello, source)
        self._tracer = tracer

    async def get(self, record: MemberRecord) -> Execution:
        """Return the execution at a node, traced."""
        remote = await super().get(record)
        return TracedExecution('channel', remote, self._tracer)


class TracedTargetClient(TargetClient):
    """Client of a target that gives traced calls a span.

    Parameters
    ----------
    announcement : Announcement
        As for `TargetClient`.
    tracer : Tracer
        Starts the spans.
    """

    __slots__ = ('_tracer',)

    def __init__(
        self,
        announcement: Announcement,
        tracer: Tracer,
        profile: HeaderProfile = DEFAULT_PROFILE,
    ) -> None:
        """Prepare a pool of connections; none is opened yet."""
        super().__init__(announcement, profile)
        self._tracer = tracer

    async def send(self, call: Call, load: Load) -> Answer:
        """Send a call; the target sees the span as its parent."""
        if not is_traced(call):
            return await super().send(call, load)
        headers = call.headers
        with spanned('target', call, self._tracer) as span:
            call.headers = _with_context(headers, call.traceparent)
            try:
                answer = await super().send(call, load)
            finally:
                call.headers = headers
            span.set_attribute('status', answer.status)
        return answer


def _with_context(headers: Headers, traceparent: str) -> Headers:
    kept = (pair for pair in headers if pair[0].lower() != HEADER)
    return (*kept, (HEADER, traceparent))
