"""HTTP connections to the local target."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from typing import Final

import aiohttp
from aiohttp import hdrs
from yarl import URL

from lycheespar.call import Answer, Body, Call, Headers, Load
from lycheespar.errors import (
    DeadlineExceededError,
    TargetGoneError,
    TargetLostError,
    TruncatedAnswerError,
)
from lycheespar.protocol.body import CHUNK_BYTES, INLINE_BYTES
from lycheespar.streams import GuardedStream
from lycheespar.targets.announcement import Announcement

CONNECT_TIMEOUT_S: Final = 1

# Headers that hold for one connection only (RFC 9110, section 7.6.1).
HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

_NOT_ADDED: Final = (hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.USER_AGENT)


class TargetClient:
    """Sends calls to one target.

    Parameters
    ----------
    announcement : Announcement
        Says where the target is and how many connections it bears.
    """

    __slots__ = ('_base', '_session')

    def __init__(self, announcement: Announcement) -> None:
        """Prepare a pool of connections; none is opened yet."""
        self._base = f'http://{announcement.address}'
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=announcement.connections,
                use_dns_cache=False,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_NOT_ADDED,
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        )

    async def close(self) -> None:
        """Close all connections."""
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
        TargetLostError
            The connection broke after the call may have been sent.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(call.deadline):
                response = await self._request(call)
                body = await _read_small(response)
        except TimeoutError as error:
            detail = f'{loop.time() - call.deadline:.3f} s late'
            raise DeadlineExceededError(detail) from error
        except aiohttp.ClientConnectorError as error:
            raise TargetGoneError(str(error)) from error
        except aiohttp.ClientPayloadError as error:
            raise TruncatedAnswerError(str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise TargetLostError(str(error)) from error
        return Answer(
            response.status,
            end_to_end(response.headers.items()),
            body,
            load,
        )

    async def _request(self, call: Call) -> aiohttp.ClientResponse:
        return await self._session.request(
            call.method,
            URL(self._base + call.path, encoded=True),
            headers=call.headers,
            data=call.body or None,
            allow_redirects=False,
        )


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Drop the headers that hold for one connection only."""
    return tuple(
        (str(name), text)
        for name, text in headers
        if name.lower() not in HOP_HEADERS
    )


async def _read_small(response: aiohttp.ClientResponse) -> Body:
    """Read a small body whole; return an iterator of a larger one."""
    length = response.content_length
    if length is not None and length <= INLINE_BYTES:
        return await response.read()
    return GuardedStream(
        _stream(response),
        lambda whole: None if whole else response.close(),
    )


async def _stream(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            yield chunk
    except (aiohttp.ClientError, OSError) as error:
        raise TruncatedAnswerError(str(error)) from error
