"""Traces: a span for each hop of a sampled call (W3C Trace Context)."""

from __future__ import annotations

import random
import re
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

from opentelemetry import trace
from opentelemetry.sdk.resources import SERVICE_NAME, Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from lycheespar.call import Answer, Call, Dispatch, Execution
from lycheespar.errors import RequestError

EXPORT_PERIOD_MS: Final = 1000
HEADER: Final = 'traceparent'
# Version, trace id, parent id and flags; the lowest flag says "sampled".
_SAMPLED: Final = re.compile(
    '[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-.[13579bdf]'
)

_propagator = TraceContextTextMapPropagator()


class Tracer:
    """Starts spans for the calls that are sampled.

    Parameters
    ----------
    node : str
        Identity of this node.
    share : float
        Share of calls that are sampled here, 0 to 1; calls that come with a
        sampled trace are always traced.
    path : Path
        File to which spans are written as JSON lines.
    """

    __slots__ = ('_file', '_provider', '_share', '_tracer')

    def __init__(self, node: str, share: float, path: Path) -> None:
        """Open the file; spans are written by a thread of their own."""
        self._share = share
        self._file = path.open('a', encoding='utf-8')
        self._provider = TracerProvider(
            resource=Resource.create({SERVICE_NAME: node}),
        )
        exporter = ConsoleSpanExporter(
            out=self._file,
            formatter=lambda span: f'{span.to_json(indent=None)}\n',
        )
        self._provider.add_span_processor(
            BatchSpanProcessor(
                exporter,
                schedule_delay_millis=EXPORT_PERIOD_MS,
            ),
        )
        self._tracer = self._provider.get_tracer('lycheespar')

    def samples(self, call: Call) -> bool:
        """Decide at the ingress whether a call is traced."""
        if is_traced(call):
            return True
        return self._share > 0 and random.random() < self._share

    def start(self, name: str, call: Call) -> trace.Span:
        """Start the span of one hop, a child of the call's span."""
        context = _propagator.extract({HEADER: call.traceparent})
        attributes = {
            'service': call.service,
            'class': call.request_class,
            'call_id': call.call_id.hex(),
        }
        return self._tracer.start_span(name, context, attributes=attributes)

    def stop(self) -> None:
        """Write the last spans."""
        self._provider.shutdown()
        self._file.close()


def is_traced(call: Call) -> bool:
    """Whether the hops of a call have spans."""
    return bool(_SAMPLED.fullmatch(call.traceparent))


@contextmanager
def spanned(hop: str, call: Call, tracer: Tracer) -> Iterator[trace.Span]:
    """Run one hop of a call within a span, the parent of its next hops.

    The call itself is kept, since other parts follow what becomes of it.
    """
    span = tracer.start(hop, call)
    parent = call.traceparent
    call.traceparent = _context_of(span)
    try:
        yield span
    except RequestError as error:
        span.set_attribute('code', error.code)
        raise
    finally:
        call.traceparent = parent
        span.end()


def _context_of(span: trace.Span) -> str:
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, trace.set_span_in_context(span))
    return carrier[HEADER]


class TracedDispatch:
    """Starts the trace of a sampled call at the ingress.

    Parameters
    ----------
    dispatch : Dispatch
        Runs the calls.
    tracer : Tracer
        Starts the spans.
    """

    __slots__ = ('_dispatch', '_tracer')

    def __init__(self, dispatch: Dispatch, tracer: Tracer) -> None:
        """Keep the parts."""
        self._dispatch = dispatch
        self._tracer = tracer

    async def dispatch(self, call: Call) -> Answer:
        """Run a call; trace it if it is sampled."""
        if not self._tracer.samples(call):
            return await self._dispatch.dispatch(call)
        with spanned('ingress', call, self._tracer) as span:
            answer = await self._dispatch.dispatch(call)
            span.set_attribute('status', answer.status)
        return answer


class TracedExecution:
    """Gives one hop of a traced call its span.

    Parameters
    ----------
    hop : str
        Name of the hop.
    execution : Execution
        Runs the calls.
    tracer : Tracer
        Starts the spans.
    """

    __slots__ = ('_execution', '_hop', '_tracer')

    def __init__(
        self,
        hop: str,
        execution: Execution,
        tracer: Tracer,
    ) -> None:
        """Keep the parts."""
        self._hop = hop
        self._execution = execution
        self._tracer = tracer

    async def execute(self, call: Call) -> Answer:
        """Run a call within a span, if it is traced."""
        if not is_traced(call):
            return await self._execution.execute(call)
        with spanned(self._hop, call, self._tracer) as span:
            answer = await self._execution.execute(call)
            span.set_attribute('status', answer.status)
        return answer
