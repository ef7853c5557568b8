"""A caller's HTTP request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import hdrs, web

from lycheespar.call import Answer

if TYPE_CHECKING:
    from lycheespar.ingress.body import CallerBody


class CallerRequest(web.BaseRequest):
    """A caller's request.

    Attributes
    ----------
    read_at : float
        Time at which the head was read, in seconds on the event loop's clock.
    request_id : str
        Id of the request for logs, once it is known.
    request_class : str
        Class of the request; empty until its call was taken.
    early_call : asyncio.Task[Answer] | None
        The call, if it was started before the request's turn to be answered.
    is_handled : bool
        Whether its handler has begun, which then ends the call.
    deadline : float
        Deadline in seconds on the event loop's clock, once it is known.
    caller_body : CallerBody | None
        The body, once reading it was allowed.
    """

    read_at: float = 0
    request_id: str = ''
    request_class: str = ''
    early_call: asyncio.Task[Answer] | None = None
    is_handled: bool = False
    deadline: float = 0
    caller_body: CallerBody | None = None

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for ``100 Continue`` before the body."""
        expected = self.headers.get(hdrs.EXPECT)
        return expected is not None and expected.lower() == '100-continue'

    @property
    def body_is_due(self) -> bool:
        """Whether the caller sends its body, as far as is known.

        A caller that waits for ``100 Continue`` and gets a final answer may
        omit its body.
        """
        body = self.caller_body
        wanted = body is not None and body.reading_started
        return (
            wanted
            or not self.expects_continue
            or bool(self.content.total_bytes)
        )

    def has_readable_rest(self, limit: int) -> bool:
        """Return whether the end of the body can be found by reading it.

        Parameters
        ----------
        limit : int
            Largest length in bytes of a body.
        """
        body = self.caller_body
        failed = body is not None and body.error is not None
        too_long = (self.content_length or 0) > limit
        return self.body_is_due and not (failed or too_long)
