"""HTTP connections to the local target."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any, Final

import aiohttp
from aiohttp import hdrs
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from lycheespar.call import Answer, Body, Call, Headers, Load
from lycheespar.errors import (
    CallerLostError,
    DeadlineExceededError,
    TargetGoneError,
    TargetLostError,
    TruncatedAnswerError,
)
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.protocol.body import INLINE_BYTES
from lycheespar.protocol.sockets import tuned_socket
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.body import RequestBody, ResponseBody
from lycheespar.targets.headers import end_to_end, for_target, header
from lycheespar.telemetry.events import AnswerRejected, events

CONNECT_TIMEOUT_S: Final = 1
# Shorter than the idle time after which common servers close connections, so
# that a request rarely meets a connection that is being closed.
IDLE_S: Final = 4
# Time without a byte of a body after which its connection is given up.
STALL_S: Final = 20
MS_PER_S: Final = 1000
_NOT_ADDED: Final = (
    hdrs.ACCEPT,
    hdrs.ACCEPT_ENCODING,
    hdrs.CONTENT_TYPE,
    hdrs.USER_AGENT,
)
_EMPTY_STATUSES: Final = frozenset((204, 304))


class TargetClient:
    """Sends calls to one target.

    Parameters
    ----------
    announcement : Announcement
        Says where the target is and how many connections it bears.
    profile : HeaderProfile
        Names of the headers.
    """

    __slots__ = (
        '_base',
        '_profile',
        '_retired',
        '_session',
        '_target',
        '_under_way',
    )

    def __init__(
        self,
        announcement: Announcement,
        profile: HeaderProfile = DEFAULT_PROFILE,
    ) -> None:
        """Prepare a pool of connections; none is opened yet."""
        self._target = announcement.target
        self._profile = profile
        self._base = f'http://{announcement.address}'
        self._session = aiohttp.ClientSession(
            connector=_CleanConnector(
                limit=announcement.connections,
                use_dns_cache=False,
                keepalive_timeout=IDLE_S,
                socket_factory=tuned_socket,
            ),
            middlewares=(_never_resend,),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_NOT_ADDED,
        )
        self._under_way = 0
        self._retired = asyncio.Event()

    async def retire(self) -> None:
        """Close all connections as soon as no call is under way."""
        if self._under_way:
            await self._retired.wait()
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
            Load to put into the answer.

        Raises
        ------
        TargetGoneError
            No connection could be opened, so nothing was sent.
        DeadlineExceededError
            The deadline passed.
        CallerLostError
            The caller cut the body of its request.
        TargetLostError
            The connection broke after the call may have been sent.
        TruncatedAnswerError
            The answer ended before its declared length.
        """
        self._under_way += 1
        try:
            answer = await self._send(call, load)
        except BaseException:
            self._end()
            raise
        if isinstance(answer.body, ResponseBody):
            answer.body.on_end(self._end)
        else:
            self._end()
        return answer

    async def _send(self, call: Call, load: Load) -> Answer:
        streamed = (
            None if isinstance(call.body, bytes) else RequestBody(call.body)
        )
        try:
            async with asyncio.timeout_at(call.deadline):
                response = await self._request(call, streamed)
                self._check_identity(call, response)
                body = await _read_small(call, response)
        except TimeoutError as error:
            raise DeadlineExceededError from error
        except aiohttp.ClientConnectorError as error:
            raise TargetGoneError(str(error)) from error
        except aiohttp.ClientPayloadError as error:
            events.write(
                AnswerRejected(call.request_id, self._target, str(error)),
            )
            raise TruncatedAnswerError(str(error)) from error
        except (aiohttp.ClientError, OSError, TargetLostError) as error:
            if streamed is not None and streamed.error is not None:
                raise CallerLostError(str(streamed.error)) from error
            raise TargetLostError(str(error)) from error
        return Answer(
            response.status,
            end_to_end(response.headers.items()),
            body,
            load,
        )

    async def _request(
        self,
        call: Call,
        streamed: RequestBody | None,
    ) -> aiohttp.ClientResponse:
        left_s = call.deadline - asyncio.get_running_loop().time()
        chunks = None if streamed is None else aiter(streamed)
        return await self._session.request(
            call.method,
            URL(self._base + call.path, encoded=True),
            headers=self._headers(call, left_s),
            data=call.body or None if chunks is None else chunks,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=max(STALL_S, left_s),
            ),
        )

    def _headers(self, call: Call, left_s: float) -> Headers:
        """Return the headers of a call with those that this hop sets."""
        left_ms = max(1, int(left_s * MS_PER_S))
        return for_target(
            call.headers,
            (
                (self._profile.deadline, str(left_ms)),
                (self._profile.expected_target, self._target),
            ),
        )

    def _check_identity(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Refuse an answer that names another request.

        Raises
        ------
        TargetLostError
            The connection is out of step; it is closed.
        """
        name = self._profile.request_id
        asked = header(call.headers, name) if name else ''
        if asked and response.headers.get(name) != asked:
            response.close()
            reason = 'the answer names another request'
            events.write(
                AnswerRejected(call.request_id, self._target, reason),
            )
            raise TargetLostError(reason)

    def _end(self) -> None:
        self._under_way -= 1
        if not self._under_way:
            self._retired.set()
            self._retired.clear()


class _CleanProtocol(ResponseHandler):
    """Connection that tells a reset from the end of an answer.

    It is not used again once stray bytes came on it: behind a complete answer
    they would be read as the next one.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer without a length that a reset has cut.

        The base class takes any end of the connection for its end.
        """
        body = self._payload
        if exc is not None and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(str(exc)))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Whether the connection is open and nothing unread is on it."""
        return super().is_connected() and not self.should_close


class _CleanConnector(aiohttp.TCPConnector):
    """Makes connections that stray bytes disqualify."""

    def __init__(self, **options: Any) -> None:
        """Keep the options of the base class."""
        super().__init__(**options)
        make: Any = partial(_CleanProtocol, loop=self._loop)
        self._factory = make


async def _never_resend(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a request again.

    It would do so by the HTTP method alone when a pooled connection breaks,
    so that a request which may not be repeated could run twice.

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


async def _read_small(call: Call, response: aiohttp.ClientResponse) -> Body:
    """Read a small body whole; return an iterator of a larger one."""
    length = response.content_length
    empty = call.method == hdrs.METH_HEAD or response.status in _EMPTY_STATUSES
    if empty or (length is not None and length <= INLINE_BYTES):
        return await response.read()
    return ResponseBody(response)
