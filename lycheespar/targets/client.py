"""HTTP client for the local target."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

import aiohttp
from aiohttp import hdrs
from yarl import URL

from lycheespar.call import Answer, Body, Call, Headers, Load
from lycheespar.errors import (
    DeadlineExceededError,
    InvalidAnswerError,
    OutcomeUnknownError,
    RequestBodyAbortedError,
    TargetLostError,
    TargetUnavailableError,
    TruncatedAnswerError,
)
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.protocol.body import INLINE_BYTES
from lycheespar.protocol.sockets import create_tuned_socket
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.body import AnswerBody, RequestBody
from lycheespar.targets.connection import IdentifiedRequest, StrictConnector
from lycheespar.targets.headers import (
    decode_values,
    get_header,
    remove_hop_by_hop,
    replace_headers,
)
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import AnswerRejected

# Time in seconds to open a connection to the target.
CONNECT_TIMEOUT_S: Final = 1
# Time in seconds after which an idle connection is closed. It is shorter than
# the idle time-outs of common servers, so that a request is rarely sent on a
# connection that the target is closing.
IDLE_TIMEOUT_S: Final = 4
# Time in seconds without a received byte after which a connection is closed,
# unless the deadline of the call is later.
READ_TIMEOUT_S: Final = 20
MS_PER_S: Final = 1000
# Headers that aiohttp must not add to requests that lack them.
_SKIPPED_HEADERS: Final = (
    hdrs.ACCEPT,
    hdrs.ACCEPT_ENCODING,
    hdrs.CONTENT_TYPE,
    hdrs.USER_AGENT,
)
# Statuses of answers that never have a body.
_BODILESS_STATUSES: Final = frozenset((204, 304))


class Client(Protocol):
    """Client of the local target."""

    async def send(self, call: Call, load: Load) -> Answer:
        """Send a call and wait for the head of its answer."""

    async def close_when_idle(self) -> None:
        """Close all connections once no call is in progress."""

    async def close(self) -> None:
        """Close all connections now."""


class TargetClient:
    """Sends calls to one target.

    Parameters
    ----------
    announcement : Announcement
        Address of the target and its limit of connections.
    profile : HeaderProfile
        Names of the headers that the target understands.
    """

    __slots__ = (
        '_active_calls',
        '_base',
        '_idle',
        '_profile',
        '_session',
        '_target',
    )

    def __init__(
        self,
        announcement: Announcement,
        profile: HeaderProfile = DEFAULT_PROFILE,
    ) -> None:
        """Create an empty connection pool."""
        self._target = announcement.target
        self._profile = profile
        self._base = f'http://{announcement.address}'
        self._session = aiohttp.ClientSession(
            connector=StrictConnector(
                profile.request_id,
                limit=announcement.connections,
                use_dns_cache=False,
                keepalive_timeout=IDLE_TIMEOUT_S,
                socket_factory=create_tuned_socket,
            ),
            request_class=IdentifiedRequest,
            middlewares=(_prevent_retry,),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_HEADERS,
        )
        self._active_calls = 0
        self._idle = asyncio.Event()

    async def close_when_idle(self) -> None:
        """Close all connections once no call is in progress."""
        if self._active_calls:
            await self._idle.wait()
        await self._session.close()

    async def close(self) -> None:
        """Close all connections now."""
        await self._session.close()

    async def send(self, call: Call, load: Load) -> Answer:
        """Send a call and wait for the head of its answer.

        Parameters
        ----------
        call : Call
            The call.
        load : Load
            Load that the answer reports to the calling node.

        Raises
        ------
        TargetUnavailableError
            No connection could be opened, so nothing was sent.
        DeadlineExceededError
            The deadline of the call passed.
        RequestBodyAbortedError
            The caller did not send the whole body of its request.
        TargetLostError
            The connection broke after the call may have been sent.
        TruncatedAnswerError
            The answer ended before its declared length.
        InvalidAnswerError
            The bytes received are no answer. The connection has been closed.
        """
        self._active_calls += 1
        try:
            answer = await self._send(call, load)
        except BaseException:
            self._call_ended()
            raise
        if isinstance(answer.body, AnswerBody):
            answer.body.on_end(self._call_ended)
        else:
            self._call_ended()
        return answer

    async def _send(self, call: Call, load: Load) -> Answer:
        request_body = (
            None if isinstance(call.body, bytes) else RequestBody(call.body)
        )
        try:
            async with asyncio.timeout_at(call.deadline):
                response = await self._request(call, request_body)
                self._check_head(call, response)
                body = await _read_body(call, response)
        except TimeoutError as error:
            raise DeadlineExceededError from error
        except aiohttp.ClientConnectorError as error:
            raise TargetUnavailableError(str(error)) from error
        except (aiohttp.ClientError, OSError, TargetLostError) as error:
            raise self._failure(call, request_body, error) from error
        return Answer(
            response.status,
            remove_hop_by_hop(decode_values(response.headers.items())),
            body,
            load,
        )

    async def _request(
        self,
        call: Call,
        request_body: RequestBody | None,
    ) -> aiohttp.ClientResponse:
        remaining_s = call.deadline - asyncio.get_running_loop().time()
        chunks = None if request_body is None else aiter(request_body)
        return await self._session.request(
            call.method,
            URL(self._base + call.path, encoded=True),
            headers=self._headers(call, remaining_s),
            data=call.body or None if chunks is None else chunks,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=max(READ_TIMEOUT_S, remaining_s),
            ),
        )

    def _headers(self, call: Call, remaining_s: float) -> Headers:
        """Return the headers of a call with deadline and target set."""
        remaining_ms = max(1, int(remaining_s * MS_PER_S))
        return replace_headers(
            call.headers,
            (
                (self._profile.deadline, str(remaining_ms)),
                (self._profile.expected_target, self._target),
            ),
        )

    def _check_head(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Reject an answer to another request, or one with a content coding.

        Raises
        ------
        TargetLostError
            The request ids differ. The connection has been closed, as its
            answers no longer match its requests.
        InvalidAnswerError
            The body is encoded, and the installation has no content codings.
            The connection has been closed.
        """
        header_name = self._profile.request_id
        expected = get_header(call.headers, header_name) if header_name else ''
        if expected and response.headers.get(header_name) != expected:
            response.close()
            raise self._rejection(
                call, TargetLostError('the answer names another request')
            )
        if self._profile.content_codings:
            return
        if hdrs.CONTENT_ENCODING in response.headers:
            response.close()
            raise self._rejection(
                call, InvalidAnswerError('the body has a content coding')
            )

    def _failure(
        self,
        call: Call,
        request_body: RequestBody | None,
        error: Exception,
    ) -> OutcomeUnknownError:
        """Return the error of a call that was sent but not wholly answered."""
        match error:
            case aiohttp.ClientPayloadError():
                return self._rejection(call, TruncatedAnswerError(str(error)))
            case _ if request_body is not None and request_body.error:
                return RequestBodyAbortedError(str(request_body.error))
            case aiohttp.ClientResponseError():
                # Behind the colon, a parser shows bytes, which may be secret.
                reason = error.message.partition(':')[0]
                return self._rejection(call, InvalidAnswerError(reason))
            case _:
                return TargetLostError(str(error))

    def _rejection(
        self, call: Call, error: OutcomeUnknownError
    ) -> OutcomeUnknownError:
        """Log that an answer was rejected; return the error to raise."""
        events.write(
            AnswerRejected(call.request_id, self._target, error.detail)
        )
        return error

    def _call_ended(self) -> None:
        self._active_calls -= 1
        if not self._active_calls:
            self._idle.set()
            self._idle.clear()


async def _prevent_retry(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from retrying a request.

    When a pooled connection breaks, aiohttp decides by the HTTP method alone
    whether to resend, so that a request that must not be repeated could run
    twice.

    Raises
    ------
    TargetLostError
        The connection broke after the request may have been sent.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise TargetLostError(str(error)) from error


async def _read_body(call: Call, response: aiohttp.ClientResponse) -> Body:
    """Return a small body as bytes, a large or unbounded one as a stream."""
    length = response.content_length
    bodiless = (
        call.method == hdrs.METH_HEAD or response.status in _BODILESS_STATUSES
    )
    if bodiless or (length is not None and length <= INLINE_BYTES):
        return await response.read()
    return AnswerBody(response, call.deadline)
