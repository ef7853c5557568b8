"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping
from typing import Final

from aiohttp import web

from lycheespar.call import Answer, Dispatch
from lycheespar.errors import (
    InternalRequestError,
    InvalidAnswerError,
    Outcome,
    RequestError,
)
from lycheespar.http_limits.limits import RequestLimits, default_connections
from lycheespar.ingress.answers import problem_response, send_answer
from lycheespar.ingress.body import CallerBody
from lycheespar.ingress.call_builder import CallBuilder
from lycheespar.ingress.caller_server import CallerServer
from lycheespar.ingress.connection import CallerConnection
from lycheespar.ingress.ending import reset_connection
from lycheespar.ingress.limits import caller_limits
from lycheespar.ingress.listener import ignore_new_connections, open_listener
from lycheespar.ingress.request import CallerRequest
from lycheespar.ingress.stop_admission import StopAdmission
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.settings.options import Address
from lycheespar.streams import close_stream
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import Answered, AnswerTruncated, RequestFailed
from lycheespar.telemetry.unhandled import report_unhandled

POLL_INTERVAL_S: Final = 0.02
# Time in seconds for the requests and bodies that are left at the time limit of
# a stop. A program that outlasts its grace period is killed.
SHUTDOWN_TIMEOUT_S: Final = 0.2
DEFAULT_LIMITS: Final = RequestLimits(
    head_bytes=64 * 1024,
    head_timeout_s=30,
    body_timeout_s=0,
    connections=default_connections(),
    held_bytes=32 * 1024 * 1024,
    unsent_bytes=32 * 1024 * 1024,
)


class IngressServer:
    """Serves callers' requests over HTTP.

    Parameters
    ----------
    call_builder : CallBuilder
        Builds calls from requests.
    dispatch : Dispatch
        Runs the calls.
    profile : HeaderProfile
        Names of the headers.
    log_answers : bool
        Whether targets' answers are logged, and not only failed requests.
    limits : RequestLimits
        Limits that apply where the configuration names none.
    """

    __slots__ = (
        '_call_builder',
        '_dispatch',
        '_draining',
        '_listener',
        '_log_answers',
        '_profile',
        '_runner',
        '_server',
        '_stop_admission',
    )

    def __init__(
        self,
        call_builder: CallBuilder,
        dispatch: Dispatch,
        profile: HeaderProfile = DEFAULT_PROFILE,
        *,
        log_answers: bool = False,
        limits: RequestLimits = DEFAULT_LIMITS,
    ) -> None:
        """Create a stopped server; `start` opens the port."""
        self._call_builder = call_builder
        self._dispatch = dispatch
        self._profile = profile
        self._log_answers = log_answers
        self._draining = False
        self._stop_admission = StopAdmission()
        self._listener: socket.socket | None = None
        self._server = CallerServer(
            self._handle,
            self,
            limits,
            handler_cancellation=True,
            auto_decompress=False,
            lingering_time=0,
            access_log=None,
        )
        call_builder.configuration.changes.subscribe(
            lambda configuration: self._server.change_limits(
                caller_limits(limits, configuration.plan.limits)
            )
        )
        self._runner = web.ServerRunner(
            self._server,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return int(self._runner.addresses[0][1])

    @property
    def listening(self) -> bool:
        """Whether the port has been opened."""
        return self._listener is not None

    @property
    def stopping(self) -> bool:
        """Whether the node is stopping."""
        return self._draining

    @property
    def max_body_bytes(self) -> int:
        """Largest length in bytes of a request's body."""
        return self._call_builder.max_body_bytes

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        await self._runner.setup()
        self._listener = open_listener(address.host, address.port)
        await web.SockSite(self._runner, self._listener).start()

    def drain(self, limit_s: float) -> None:
        """Tell callers, with each answer, to close their connection.

        Parameters
        ----------
        limit_s : float
            Time in seconds after which the server stops. Requests that may
            not be finished by then are refused.
        """
        self._draining = True
        self._stop_admission.begin(asyncio.get_running_loop().time(), limit_s)

    async def close_port(self) -> None:
        """Accept no new connections; keep serving the open ones.

        Raises
        ------
        OSError
            The port could not be closed without resets.
        """
        if self._listener is not None:
            await ignore_new_connections(self._listener)
            self._server.accept_all_segments()
        for site in self._runner.sites:
            await site.stop()

    async def wait_until_idle(self, linger_s: float) -> None:
        """Wait until all requests have been answered.

        Parameters
        ----------
        linger_s : float
            Time in seconds for which idle connections stay open, for
            requests that callers have already sent.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + linger_s
        while self._server.connections and loop.time() < ends_at:
            await asyncio.sleep(POLL_INTERVAL_S)
        self._stop_admission.close(loop.time())
        self._server.pre_shutdown()
        while self._server.busy:
            await asyncio.sleep(POLL_INTERVAL_S)
            # More connections may have been accepted in the meantime.
            self._server.pre_shutdown()

    async def stop(self) -> None:
        """Close the port and all connections."""
        self._server.pre_shutdown()
        await self._runner.cleanup()

    def may_overtake(self, request: web.BaseRequest) -> bool:
        """Return whether a pipelined request may run beside others."""
        return self._call_builder.is_idempotent(request)

    def start_call(self, request: CallerRequest) -> asyncio.Task[Answer]:
        """Start the call for a request that waits behind others."""
        return asyncio.create_task(self._run_call(request))

    def given_id(self, headers: Mapping[str, str]) -> str:
        """Return the id that a caller gave a request; empty if none."""
        return self._call_builder.given_id(headers)

    async def _handle(self, request: CallerRequest) -> web.StreamResponse:
        response = await self._answer(request)
        if not response.prepared and (
            self._ends_connection(request) or self._rest_is_unreadable(request)
        ):
            response.force_close()
        return response

    async def _answer(self, request: CallerRequest) -> web.StreamResponse:
        request_id = self._call_builder.request_id(request)
        try:
            answer = await (request.early_call or self._run_call(request))
        except RequestError as error:
            if error.outcome is Outcome.unknown:
                self._record_duration(request)
            return self._error_response(request_id, error)
        except Exception as error:  # a bug must not end the connection
            report_unhandled(
                "Unexpected error while handling a caller's request.",
                error,
                transport=request.transport,
                requests=(request_id,),
            )
            return self._error_response(
                request_id, InternalRequestError(str(error))
            )
        try:
            return await send_answer(
                request,
                answer,
                close_connection=(
                    self._ends_connection(
                        request, streamed=not isinstance(answer.body, bytes)
                    )
                    or self._rest_is_unreadable(request)
                ),
            )
        except InvalidAnswerError as error:
            return self._error_response(request_id, error)
        except RequestError as error:
            events.write(AnswerTruncated(request_id, error.code))
            reset_connection(request)
            raise ConnectionResetError from error
        finally:
            self._record_duration(request)
            await close_stream(answer.body)

    def _ends_connection(
        self, request: CallerRequest, *, streamed: bool = False
    ) -> bool:
        """Return whether an answer is the last one on its connection.

        A streamed answer says so in its head, and requests that arrive while
        its body is sent would end without an answer. So it ends a connection
        only once connections are closed.
        """
        connection = request.protocol
        return (
            isinstance(connection, CallerConnection)
            and (connection.closing or (self._draining and not streamed))
            and connection.end_with_current_answer()
        )

    def _rest_is_unreadable(self, request: CallerRequest) -> bool:
        """Return whether the end of the body can't be found by reading it."""
        return not (
            request.content.is_eof()
            or request.has_readable_rest(self.max_body_bytes)
        )

    def _record_duration(self, request: CallerRequest) -> None:
        """Record how long a request took that a target may have run."""
        now = asyncio.get_running_loop().time()
        self._stop_admission.record(
            request.request_class, now - request.read_at, now
        )

    def _error_response(
        self, request_id: str, error: RequestError
    ) -> web.Response:
        configuration = self._call_builder.configuration
        events.write(
            RequestFailed(
                request_id,
                error.code,
                error.status,
                error.outcome,
                error.detail,
                round(error.retry_after_s, 3),
                configuration.current.revision,
                round(configuration.age_s, 3),
            ),
        )
        return problem_response(
            error, integer_retry_after=self._profile.integer_retry_after
        )

    async def _run_call(self, request: CallerRequest) -> Answer:
        self._stop_admission.check_arrival(
            request.read_at, asyncio.get_running_loop().time()
        )
        call = await self._call_builder.build_call(request)
        self._stop_admission.check(
            call.request_class,
            call.deadline,
            asyncio.get_running_loop().time(),
            body_arrived=request.content.is_eof(),
        )
        request.request_class = call.request_class
        request.deadline = call.deadline
        try:
            answer = await self._dispatch.dispatch(call)
        except RequestError as error:
            body = call.body
            if isinstance(body, CallerBody) and body.error is not None:
                raise body.error from error
            raise
        if self._log_answers:
            events.write(
                Answered(
                    call.request_id,
                    call.request_class,
                    call.service,
                    answer.status,
                    self._call_builder.configuration.current.revision,
                ),
            )
        return answer
