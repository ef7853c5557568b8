"""Channels to other nodes and target clients that record spans."""

from __future__ import annotations

from lycheespar.call import Answer, Call, Execution, Headers, Load
from lycheespar.membership.records import MemberRecord
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.protocol.messages import Hello
from lycheespar.routing.pool import ChannelPool
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import TargetClient
from lycheespar.telemetry.traces import (
    TRACEPARENT_HEADER,
    TracedExecution,
    Tracer,
    hop_span,
    is_traced,
)


class TracedPool(ChannelPool):
    """Channel pool that records a span for each traced call.

    Parameters
    ----------
    hello, source
        As for `ChannelPool`.
    tracer : Tracer
        Creates the spans.
    """

    __slots__ = ('_tracer',)

    def __init__(self, hello: Hello, source: str, tracer: Tracer) -> None:
        """Create a pool without open channels."""
        super().__init__(hello, source)
        self._tracer = tracer

    async def get(self, record: MemberRecord) -> Execution:
        """Return an execution that runs calls at a node and traces them."""
        remote = await super().get(record)
        return TracedExecution('channel', remote, self._tracer)


class TracedTargetClient(TargetClient):
    """Target client that records a span for each traced call.

    Parameters
    ----------
    announcement, profile
        As for `TargetClient`.
    tracer : Tracer
        Creates the spans.
    """

    __slots__ = ('_tracer',)

    def __init__(
        self,
        announcement: Announcement,
        tracer: Tracer,
        profile: HeaderProfile = DEFAULT_PROFILE,
    ) -> None:
        """Create a client without open connections."""
        super().__init__(announcement, profile)
        self._tracer = tracer

    async def send(self, call: Call, load: Load) -> Answer:
        """Send a call; the span becomes the parent of the target's spans."""
        if not is_traced(call):
            return await super().send(call, load)
        headers = call.headers
        with hop_span('target', call, self._tracer) as span:
            call.headers = _with_traceparent(headers, call.traceparent)
            try:
                answer = await super().send(call, load)
            finally:
                call.headers = headers
            span.set_attribute('status', answer.status)
        return answer


def _with_traceparent(headers: Headers, traceparent: str) -> Headers:
    others = (pair for pair in headers if pair[0].lower() != TRACEPARENT_HEADER)
    return (*others, (TRACEPARENT_HEADER, traceparent))
