"""Tracing: one span for each hop of a sampled call (W3C Trace Context)."""

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
TRACEPARENT_HEADER: Final = 'traceparent'
# Version, trace id, parent id and flags; the lowest flag bit means "sampled".
_SAMPLED: Final = re.compile(
    '[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-.[13579bdf]'
)

_propagator = TraceContextTextMapPropagator()


class Tracer:
    """Samples calls and writes their spans to a file.

    Parameters
    ----------
    node : str
        Identity of this node.
    sampled_share : float
        Share of calls that this node samples, 0 to 1; calls that arrive with
        a sampled trace context are always traced.
    path : Path
        File to which spans are appended as JSON lines.
    """

    __slots__ = ('_file', '_provider', '_sampled_share', '_tracer')

    def __init__(self, node: str, sampled_share: float, path: Path) -> None:
        """Open the file; a separate thread writes the spans."""
        self._sampled_share = sampled_share
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

    def should_trace(self, call: Call) -> bool:
        """Decide at the ingress whether a call is traced."""
        if is_traced(call):
            return True
        return self._sampled_share > 0 and random.random() < self._sampled_share

    def start_span(self, name: str, call: Call) -> trace.Span:
        """Start the span of one hop as a child of the call's current span."""
        context = _propagator.extract({TRACEPARENT_HEADER: call.traceparent})
        attributes = {
            'service': call.service,
            'class': call.request_class,
            'call_id': call.call_id.hex(),
        }
        return self._tracer.start_span(name, context, attributes=attributes)

    def stop(self) -> None:
        """Write the last spans and close the file."""
        self._provider.shutdown()
        self._file.close()


def is_traced(call: Call) -> bool:
    """Return whether a call has a sampled trace context."""
    return bool(_SAMPLED.fullmatch(call.traceparent))


@contextmanager
def hop_span(hop: str, call: Call, tracer: Tracer) -> Iterator[trace.Span]:
    """Run one hop of a call in a span, which is the parent of the next hops.

    The call is changed in place, not copied, since other components refer to
    the same object; its trace context is restored at the end.
    """
    span = tracer.start_span(hop, call)
    parent = call.traceparent
    call.traceparent = _traceparent_of(span)
    try:
        yield span
    except RequestError as error:
        span.set_attribute('code', error.code)
        raise
    finally:
        call.traceparent = parent
        span.end()


def _traceparent_of(span: trace.Span) -> str:
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, trace.set_span_in_context(span))
    return carrier[TRACEPARENT_HEADER]


class TracedDispatch:
    """Samples calls at the ingress and records a span for each traced call.

    Parameters
    ----------
    dispatch : Dispatch
        Runs the calls.
    tracer : Tracer
        Samples the calls and creates the spans.
    """

    __slots__ = ('_dispatch', '_tracer')

    def __init__(self, dispatch: Dispatch, tracer: Tracer) -> None:
        """Wrap a dispatch."""
        self._dispatch = dispatch
        self._tracer = tracer

    async def dispatch(self, call: Call) -> Answer:
        """Run a call and record a span if the call is traced."""
        if not self._tracer.should_trace(call):
            return await self._dispatch.dispatch(call)
        with hop_span('ingress', call, self._tracer) as span:
            answer = await self._dispatch.dispatch(call)
            span.set_attribute('status', answer.status)
        return answer


class TracedExecution:
    """Records a span of one hop for each traced call.

    Parameters
    ----------
    hop : str
        Name of the hop and of its spans.
    execution : Execution
        Runs the calls.
    tracer : Tracer
        Creates the spans.
    """

    __slots__ = ('_execution', '_hop', '_tracer')

    def __init__(
        self,
        hop: str,
        execution: Execution,
        tracer: Tracer,
    ) -> None:
        """Wrap an execution."""
        self._hop = hop
        self._execution = execution
        self._tracer = tracer

    async def execute(self, call: Call) -> Answer:
        """Run a call and record a span if the call is traced."""
        if not is_traced(call):
            return await self._execution.execute(call)
        with hop_span(self._hop, call, self._tracer) as span:
            answer = await self._execution.execute(call)
            span.set_attribute('status', answer.status)
        return answer
