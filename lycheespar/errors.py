"""Hierarchy of errors with stable codes.

Each kind of failure has its own class, and each class has a code. Errors that
end a caller's request also have an HTTP status, an outcome (whether the
request may have run) and the time in seconds after which the caller may retry.

The first line of each docstring is copied into the reference page of codes.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from lycheespar.call import Load


class Outcome(enum.StrEnum):
    """Whether a failed request may have run."""

    not_run = 'not_run'
    unknown = 'unknown'


class LycheesparError(Exception):
    """Base class of all errors of this project.

    Attributes
    ----------
    code : str
        Stable machine-readable code of the error.
    exit_code : int
        Exit code of a command that fails with this error.
    detail : str
        Short description for people; the code if none was given.
    """

    code: ClassVar[str] = 'internal'
    exit_code: ClassVar[int] = 1

    def __init__(self, detail: str = '') -> None:
        """Create an error with a short description for people."""
        super().__init__(detail or self.code)
        self.detail = detail or self.code


class SettingsError(LycheesparError):
    """The settings file is missing, unreadable or invalid."""

    code = 'settings_invalid'
    exit_code = 2

    def __init__(self, problems: tuple[str, ...]) -> None:
        """Create an error that lists all problems, one line per key."""
        super().__init__('\n'.join(problems))
        self.problems = problems


class ProtocolError(LycheesparError):
    """A message violates the protocol between nodes."""

    code = 'protocol'


class FrameTooLargeError(ProtocolError):
    """A frame exceeds the maximum frame size."""

    code = 'frame_too_large'


class FrameVersionError(ProtocolError):
    """A frame has an unsupported protocol version or could not be decoded."""

    code = 'frame_version'


class BodySequenceError(ProtocolError):
    """A chunk of a body is missing, repeated or exceeds the flow window."""

    code = 'body_sequence'


class ChannelError(LycheesparError):
    """A channel to another node could not be used."""

    code = 'channel'


class ChannelLostError(ChannelError):
    """The channel was lost while a call was in progress.

    Attributes
    ----------
    accepted : bool
        Whether the other node had acknowledged the call.
    body_sent : bool
        Whether the body of the call was written to its end.
    """

    code = 'channel_lost'

    def __init__(self, detail: str = '', *, accepted: bool = False) -> None:
        """Create an error that says whether the call was acknowledged."""
        super().__init__(detail)
        self.accepted = accepted
        self.body_sent = True


class ChannelClosedError(ChannelLostError):
    """The channel was closed by this node or by the other one."""

    code = 'channel_closed'


class ChannelUnresponsiveError(ChannelLostError):
    """The channel is open, but the other node does not acknowledge calls."""

    code = 'channel_silent'


class ChannelConnectError(ChannelError):
    """A channel to the node could not be opened."""

    code = 'channel_connect'


class RequestError(LycheesparError):
    """A request ended without an answer from a target.

    Attributes
    ----------
    status : int
        HTTP status sent to the caller.
    outcome : Outcome
        Whether the request may have run.
    retryable : bool
        Whether a refused request may be sent to another target.
    retry_after_s : float
        Time in seconds after which the caller may retry.
    load : Load | None
        Load of the target that refused the request, if its node reported it.
    """

    code = 'request'
    status: ClassVar[int] = 500
    outcome: ClassVar[Outcome] = Outcome.unknown
    retryable: ClassVar[bool] = False

    def __init__(self, detail: str = '', retry_after_s: float = 1.0) -> None:
        """Create an error with a description and a retry delay in seconds."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s
        self.load: Load | None = None


class RefusedError(RequestError):
    """The request was refused and did not run."""

    code = 'refused'
    status = 503
    outcome = Outcome.not_run


class BadRequestError(RefusedError):
    """The request is malformed or incomplete."""

    code = 'bad_request'
    status = 400


class BodyTooLargeError(RefusedError):
    """The declared length of the request body exceeds the limit."""

    code = 'body_too_large'
    status = 413


class HeadTooLargeError(RefusedError):
    """The head of the request exceeds the limit."""

    code = 'head_too_large'
    status = 431


class HeadTimeoutError(RefusedError):
    """The head of the request was not received within the time limit."""

    code = 'head_timeout'
    status = 408


class RequestsOverMemoryError(RefusedError):
    """Unfinished and waiting requests use all memory that they may use."""

    code = 'requests_over_memory'


class LoopDetectedError(RefusedError):
    """Calls are nested too deeply; services probably call in a loop."""

    code = 'loop_detected'
    status = 508


class UnknownKeyError(RefusedError):
    """The request has no key of a known team."""

    code = 'unknown_key'
    status = 401


class OverQuotaError(RefusedError):
    """The team has used up the calls that its quota allows."""

    code = 'over_quota'
    status = 429


class QuotaUnavailableError(RefusedError):
    """The node that counts the team's calls gave no answer."""

    code = 'quota_unavailable'


class UnknownServiceError(RefusedError):
    """No configured service or route matches the request."""

    code = 'unknown_service'
    status = 404


class NoTargetError(RefusedError):
    """No target of the service is available for the request."""

    code = 'no_target'


class OverloadedError(RefusedError):
    """The target is at its concurrency limit and its node's queue is full."""

    code = 'overloaded'
    retryable = True


class TargetRefusedError(OverloadedError):
    """The target refused the request and reported that it did not run."""

    code = 'target_refused'


class TargetLimitError(OverloadedError):
    """The target takes no more calls a second than it gets."""

    code = 'target_limit'


class ColdTargetError(RefusedError):
    """The target is in cold start and accepts no more requests now."""

    code = 'cold_target'
    retryable = True


class DrainingError(RefusedError):
    """The target or its node is draining and accepts no new requests."""

    code = 'draining'
    retryable = True


class TargetUnavailableError(RefusedError):
    """The node has no reachable target of the requested service."""

    code = 'target_gone'
    retryable = True


class MisdirectedError(TargetUnavailableError):
    """Another target answered at the address of the intended target."""

    code = 'misdirected'


class OutOfServiceError(RefusedError):
    """An operator has taken out the data centre or the target."""

    code = 'out_of_service'
    retryable = True


class StaleConfigurationError(RefusedError):
    """The node could not confirm that its configuration is current."""

    code = 'stale_configuration'
    retryable = True


class DeadlineUnreachableError(RefusedError):
    """The request did not start because it could not meet its deadline."""

    code = 'deadline_unreachable'
    retryable = True


class CrashSuspectError(RefusedError):
    """Requests like this one have crashed targets."""

    code = 'crash_suspect'


class ClaimLostError(RefusedError):
    """Another attempt holds the claim on the same idempotency key."""

    code = 'claim_lost'
    status = 409


class ClaimUnavailableError(RefusedError):
    """Too few control hosts answered to claim the idempotency key."""

    code = 'claim_unavailable'


class AttemptNotRunError(RefusedError):
    """An earlier attempt with the same idempotency key did not run."""

    code = 'attempt_not_run'
    retryable = True


class KeyReuseError(RefusedError):
    """The idempotency key was already used for a different request."""

    code = 'key_reused'
    status = 422


class CancelledRequestError(RefusedError):
    """The request was cancelled before it started."""

    code = 'cancelled'


class OutcomeUnknownError(RequestError):
    """The request may have run; its answer was lost."""

    code = 'outcome_unknown'
    status = 502


class InternalRequestError(OutcomeUnknownError):
    """An unexpected internal error occurred; the request may have run."""

    code = 'internal'
    status = 500


class DeadlineExceededError(OutcomeUnknownError):
    """The deadline passed after the request may have started."""

    code = 'deadline_exceeded'
    status = 504


class TargetLostError(OutcomeUnknownError):
    """The connection to the target broke while the request was running."""

    code = 'target_lost'


class TargetShedError(OutcomeUnknownError):
    """The target shed the request without reporting that it did not run."""

    code = 'target_shed'
    status = 503


class RequestBodyAbortedError(OutcomeUnknownError):
    """The caller broke off the request body while it was being forwarded."""

    code = 'caller_lost'
    status = 400


class BodyOverLimitError(OutcomeUnknownError):
    """The request body exceeded the limit while it was being forwarded."""

    code = 'body_over_limit'
    status = 413


class TruncatedAnswerError(OutcomeUnknownError):
    """The answer of the target ended before its declared length."""

    code = 'truncated_answer'


class InvalidAnswerError(OutcomeUnknownError):
    """The target sent bytes that are no valid answer."""

    code = 'invalid_answer'


class StillRunningError(OutcomeUnknownError):
    """An earlier attempt with the same idempotency key is still running."""

    code = 'still_running'
    status = 409


class ControlError(LycheesparError):
    """An operator's command failed.

    Attributes
    ----------
    status : int
        HTTP status sent to the operator's client.
    """

    code = 'control'
    status: ClassVar[int] = 500
    exit_code = 3


class ChangeInvalidError(ControlError):
    """The change is invalid and was not applied."""

    code = 'change_invalid'
    status = 422

    def __init__(self, problems: tuple[str, ...]) -> None:
        """Create an error that lists all problems, one line per key."""
        super().__init__('\n'.join(problems))
        self.problems = problems


class RequestInvalidError(ControlError):
    """A request to the operators' API is malformed."""

    code = 'request_invalid'
    status = 400
    exit_code = 2


class ChangeConflictError(ControlError):
    """The base revision of the change is not the current revision."""

    code = 'conflict'
    status = 409
    exit_code = 4

    def __init__(self, detail: str = '', revision: int = 0) -> None:
        """Create an error with a description and the current revision."""
        super().__init__(detail)
        self.revision = revision


class NoQuorumError(ControlError):
    """No quorum of control hosts answered; a change may have been applied."""

    code = 'no_quorum'
    status = 503
    exit_code = 5


class NotLeaderError(ControlError):
    """This control host is not the leader of its group."""

    code = 'not_leader'
    status = 421


class StorageError(ControlError):
    """The data folder could not be used."""

    code = 'storage'


class ClaimsSuspendedError(ControlError):
    """This control host may have lost claims and grants none for a while."""

    code = 'claims_abstain'
    status = 503


class StorageDamagedError(StorageError):
    """A record in the data folder is damaged."""

    code = 'storage_damaged'


class StorageFullError(StorageError):
    """The disk with the data folder is full."""

    code = 'storage_full'
    status = 507


class StorageLockedError(StorageError):
    """Another process is using the data folder."""

    code = 'storage_locked'


class NotCurrentError(ControlError):
    """This control host could not confirm that its state is current."""

    code = 'not_current'
    status = 503


class ApiUnreachableError(ControlError):
    """No control host accepted the request; nothing was changed."""

    code = 'api_unreachable'
    exit_code = 7


class ChangeNotInForceError(ControlError):
    """The change was accepted but is not yet in force at all nodes."""

    code = 'not_in_force'
    exit_code = 6


class UnknownNameError(ControlError):
    """No template or team has the given name."""

    code = 'unknown_name'
    status = 404


class OtherGroupError(ControlError):
    """The message belongs to another group of control hosts."""

    code = 'other_group'
    status = 421


def _by_code(root: type[RequestError]) -> dict[str, type[RequestError]]:
    """Return a class and all its subclasses by their codes."""
    classes = {root.code: root}
    for child in root.__subclasses__():
        classes.update(_by_code(child))
    return classes


def request_error(
    code: str,
    detail: str,
    retry_after_s: float,
) -> RequestError:
    """Create the request error with a given code.

    Parameters
    ----------
    code : str
        Code received from another node.
    detail : str
        Short description for people.
    retry_after_s : float
        Time in seconds after which the caller may retry.

    Returns
    -------
    RequestError
        Error of the class with this code; `OutcomeUnknownError` if the code
        is unknown, so that it is never taken for "not run".
    """
    error_type = _REQUEST_ERRORS.get(code, OutcomeUnknownError)
    return error_type(detail, retry_after_s)


_REQUEST_ERRORS = _by_code(RequestError)


def control_error(code: str, detail: str) -> ControlError:
    """Create the control error with a given code.

    Parameters
    ----------
    code : str
        Code received from a control host.
    detail : str
        Short description for people.

    Returns
    -------
    ControlError
        Error of the class with this code; `ControlError` if the code is not
        one that control hosts send.
    """
    return _CONTROL_ERRORS.get(code, ControlError)(detail)


_CONTROL_ERRORS: dict[str, type[ControlError]] = {
    error_type.code: error_type
    for error_type in (
        NoQuorumError,
        NotLeaderError,
        NotCurrentError,
        OtherGroupError,
        StorageError,
        StorageDamagedError,
        StorageFullError,
    )
}
