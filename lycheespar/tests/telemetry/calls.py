"""Factory of calls for the telemetry tests."""

from __future__ import annotations

from lycheespar.call import Call


def new_call(traceparent: str = '') -> Call:
    """Create a call of the request class ``look-up``."""
    return Call(
        call_id=b'1',
        service='team/desk',
        method='GET',
        path='/',
        headers=(),
        body=b'',
        request_class='look-up',
        weight=1,
        idempotent=True,
        deadline=0,
        traceparent=traceparent,
    )
