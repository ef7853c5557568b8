"""Calls for the tests of this package."""

from __future__ import annotations

from lycheespar.call import Call


def new_call(traceparent: str = '') -> Call:
    """Return a call of the class ``look-up``."""
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
