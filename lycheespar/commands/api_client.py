"""Client of the operators' API of the control hosts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final, TypeVar

import aiohttp
import msgspec

from lycheespar.configuration.changes import Command
from lycheespar.configuration.model import Configuration
from lycheespar.control.api.status import StatusReport
from lycheespar.control.state.state import AcceptedChange
from lycheespar.errors import (
    ApiUnreachableError,
    ChangeConflictError,
    ChangeInvalidError,
    ControlError,
    NoQuorumError,
    control_error,
)
from lycheespar.targets.connection import StrictConnector

# Seconds until an answer must be complete. A control host itself waits up to
# 10 s for the outcome of a change.
REPLY_TIMEOUT_S: Final = 12
CONNECT_TIMEOUT_S: Final = 2
_OK: Final = 200

Content = TypeVar('Content')


class _Accepted(msgspec.Struct, frozen=True):
    revision: int


class _Problem(msgspec.Struct, frozen=True):
    code: str = 'control'
    detail: str = ''
    problems: tuple[str, ...] = ()
    revision: int = 0


class ApiClient:
    """Sends each request to the control hosts in turn until one answers.

    Parameters
    ----------
    urls : Iterable[str]
        Base URLs of the control hosts' APIs.
    """

    def __init__(self, urls: Iterable[str]) -> None:
        """Create a client; URLs without a scheme get `http://`."""
        self._urls = tuple(
            url.rstrip('/') if '://' in url else f'http://{url}' for url in urls
        )

    async def configuration(self) -> Configuration:
        """Return the current configuration."""
        return await self._get('/v1/configuration', Configuration)

    async def history(self) -> list[AcceptedChange]:
        """Return the latest accepted changes, oldest first."""
        return await self._get('/v1/history', list[AcceptedChange])

    async def status(self, revision: int | None = None) -> StatusReport:
        """Return the state of the group and where a revision is in force."""
        query = '' if revision is None else f'?revision={revision}'
        return await self._get(f'/v1/status{query}', StatusReport)

    async def change(self, command: Command) -> int:
        """Send a change and return the revision that it created.

        Raises
        ------
        ApiUnreachableError
            No control host received the change; nothing was changed.
        NoQuorumError
            The outcome is unknown; the change may be resent with the same id.
        ChangeConflictError, ChangeInvalidError
            The change was refused.
        """
        body = msgspec.json.encode(command)
        reply = await self._request('POST', '/v1/changes', body)
        return _decode(reply, _Accepted).revision

    async def _get(self, path: str, content_type: type[Content]) -> Content:
        reply = await self._request('GET', path, None)
        return _decode(reply, content_type)

    async def _request(
        self, method: str, path: str, body: bytes | None
    ) -> bytes:
        """Send a request to the control hosts in turn until one answers.

        If a host has no quorum or its answer is lost, the next one is tried;
        the error is raised only if no other host answers.
        """
        failure: ControlError = ApiUnreachableError(
            f'no control host answered at {", ".join(self._urls)}',
        )
        timeout = aiohttp.ClientTimeout(
            REPLY_TIMEOUT_S,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        async with aiohttp.ClientSession(
            connector=StrictConnector(), timeout=timeout
        ) as session:
            for url in self._urls:
                try:
                    return await _send(session, method, url + path, body)
                except ApiUnreachableError:
                    continue
                except NoQuorumError as error:
                    failure = error
        raise failure


async def _send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None,
) -> bytes:
    try:
        async with session.request(method, url, data=body) as response:
            content = await response.read()
            accepted = response.status == _OK
    except aiohttp.ClientConnectorError as error:
        raise ApiUnreachableError(str(error)) from error
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise NoQuorumError(
            f"no complete answer from '{url}'; the outcome is unknown",
        ) from error
    if accepted:
        return content
    raise _decode_error(content)


def _decode(reply: bytes, content_type: type[Content]) -> Content:
    """Decode the body of an answer.

    Raises
    ------
    NoQuorumError
        The body is not what a control host sends.
    """
    try:
        return msgspec.json.decode(reply, type=content_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise NoQuorumError(
            'the answer of the control host is not valid; '
            'the outcome is unknown',
        ) from error


def _decode_error(content: bytes) -> ControlError:
    try:
        problem = msgspec.json.decode(content, type=_Problem)
    except msgspec.DecodeError:
        return ControlError('the answer of the control host is not valid JSON')
    match problem.code:
        case ChangeConflictError.code:
            return ChangeConflictError(problem.detail, problem.revision)
        case ChangeInvalidError.code:
            return ChangeInvalidError(problem.problems)
        case code:
            return control_error(code, problem.detail)


def convert_for_json(content: Any) -> Any:
    """Convert content to plain values for JSON, with sorted keys and sets."""
    return msgspec.to_builtins(content, order='sorted')
