"""Tree of coded errors.

Every failure has a type, every type has a code. Errors that end a caller's
request carry the HTTP status, whether the request ran, and after how many
seconds the caller may come back.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from lycheespar.call import Load


class Outcome(enum.StrEnum):
    """What is known about the execution of a request that failed."""

    not_run = 'not_run'
    unknown = 'unknown'


class LycheesparError(Exception):
    """Base of all errors of this project.

    Attributes
    ----------
    code : str
        Stable machine-readable code of the error.
    exit_code : int
        Exit code of the command line.
    """

    code: ClassVar[str] = 'internal'
    exit_code: ClassVar[int] = 1

    def __init__(self, detail: str = '') -> None:
        """Keep the detail, a short sentence for people."""
        super().__init__(detail or self.code)
        self.detail = detail or self.code


class SettingsError(LycheesparError):
    """The settings file is missing, unreadable or invalid."""

    code = 'settings_invalid'
    exit_code = 2

    def __init__(self, problems: tuple[str, ...]) -> None:
        """Keep all problems, one line for each key."""
        super().__init__('\n'.join(problems))
        self.problems = problems


class ProtocolError(LycheesparError):
    """A frame of the inner protocol can't be taken."""

    code = 'protocol'


class FrameTooLargeError(ProtocolError):
    """A frame is longer than the limit."""

    code = 'frame_too_large'


class FrameVersionError(ProtocolError):
    """A frame has an unknown version or can't be decoded."""

    code = 'frame_version'


class BodySequenceError(ProtocolError):
    """A part of a body is missing, repeated or exceeds the window."""

    code = 'body_sequence'


class ChannelError(LycheesparError):
    """A channel to another node can't be used."""

    code = 'channel'


class ChannelLostError(ChannelError):
    """The channel was lost while a call was under way.

    Attributes
    ----------
    accepted : bool
        Whether the other node had acknowledged the call.
    """

    code = 'channel_lost'

    def __init__(self, detail: str = '', *, accepted: bool = False) -> None:
        """Keep whether the call was acknowledged."""
        super().__init__(detail)
        self.accepted = accepted


class ChannelClosedError(ChannelLostError):
    """The channel closed, by either side."""

    code = 'channel_closed'


class ChannelSilentError(ChannelLostError):
    """The channel is open but its peer does not acknowledge."""

    code = 'channel_silent'


class ChannelConnectError(ChannelError):
    """No channel to the node could be opened."""

    code = 'channel_connect'


class RequestError(LycheesparError):
    """A caller's request ends without an answer of its target.

    Attributes
    ----------
    status : int
        HTTP status told to the caller.
    outcome : Outcome
        Whether the request is known not to have run.
    retry_after_s : float
        Seconds after which the caller may come back.
    load : Load | None
        Load of the target that refused, where its node told it.
    """

    code = 'request'
    status: ClassVar[int] = 500
    outcome: ClassVar[Outcome] = Outcome.unknown
    retryable: ClassVar[bool] = False

    def __init__(self, detail: str = '', retry_after_s: float = 1.0) -> None:
        """Keep the detail and when to come back, in seconds."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s
        self.load: Load | None = None


class RefusedError(RequestError):
    """The request was definitely not run."""

    code = 'refused'
    status = 503
    outcome = Outcome.not_run


class BadRequestError(RefusedError):
    """The request can't be understood."""

    code = 'bad_request'
    status = 400


class BodyTooLargeError(RefusedError):
    """The declared length of the request's body exceeds the limit."""

    code = 'body_too_large'
    status = 413


class LoopDetectedError(RefusedError):
    """The request stands below too many others, so calls run in a circle."""

    code = 'loop_detected'
    status = 508


class UnknownServiceError(RefusedError):
    """No team has the service that the request names."""

    code = 'unknown_service'
    status = 404


class NoTargetError(RefusedError):
    """No target of the service may take the request now."""

    code = 'no_target'


class OverloadedError(RefusedError):
    """The target's limit and queue are full."""

    code = 'overloaded'
    retryable = True


class TargetRefusedError(OverloadedError):
    """The target itself refused the request, and says that it did not run."""

    code = 'target_refused'


class ColdTargetError(RefusedError):
    """The target is in cold start and bears no more now."""

    code = 'cold_target'
    retryable = True


class DrainingError(RefusedError):
    """The target or its node is draining and takes no new work."""

    code = 'draining'
    retryable = True


class TargetGoneError(RefusedError):
    """The node has no target that could run the request."""

    code = 'target_gone'
    retryable = True


class MisdirectedError(TargetGoneError):
    """Another target answered at the address of the one that was meant."""

    code = 'misdirected'


class OutOfServiceError(RefusedError):
    """The data centre or the target is taken out by an operator."""

    code = 'out_of_service'
    retryable = True


class StaleConfigurationError(RefusedError):
    """The node can't confirm that its configuration is current."""

    code = 'stale_configuration'
    retryable = True


class DeadlineUnreachableError(RefusedError):
    """The request was dropped before its start, its deadline being near."""

    code = 'deadline_unreachable'
    retryable = True


class CrashSuspectError(RefusedError):
    """Requests like this one crashed their targets."""

    code = 'crash_suspect'


class ClaimLostError(RefusedError):
    """Another attempt with the same idempotency key holds the claim."""

    code = 'claim_lost'
    status = 409


class ClaimUnavailableError(RefusedError):
    """Too few control hosts answer to claim the idempotency key."""

    code = 'claim_unavailable'


class AttemptNotRunError(RefusedError):
    """An earlier attempt with the same idempotency key did not run."""

    code = 'attempt_not_run'
    retryable = True


class KeyReuseError(RefusedError):
    """The idempotency key was used before with another request."""

    code = 'key_reused'
    status = 422


class CancelledRequestError(RefusedError):
    """The request was cancelled before it started."""

    code = 'cancelled'


class OutcomeUnknownError(RequestError):
    """The request may have run; its answer is lost."""

    code = 'outcome_unknown'
    status = 502


class InternalRequestError(OutcomeUnknownError):
    """An unexpected fault of this system; the request may have run."""

    code = 'internal'
    status = 500


class DeadlineExceededError(OutcomeUnknownError):
    """The deadline passed after the request may have started."""

    code = 'deadline_exceeded'
    status = 504


class TargetLostError(OutcomeUnknownError):
    """The connection to the target broke while the request ran."""

    code = 'target_lost'


class TargetShedError(OutcomeUnknownError):
    """The target sheds load and does not say that the request did not run."""

    code = 'target_shed'
    status = 503


class CallerLostError(OutcomeUnknownError):
    """The caller cut the body of its request while it was being sent on."""

    code = 'caller_lost'
    status = 400


class BodyOverLimitError(OutcomeUnknownError):
    """The request's body went past the limit while it was being sent on."""

    code = 'body_over_limit'
    status = 413


class TruncatedAnswerError(OutcomeUnknownError):
    """The answer of the target ended before its declared length."""

    code = 'truncated_answer'


class StillRunningError(OutcomeUnknownError):
    """An earlier attempt with the same idempotency key is running."""

    code = 'still_running'
    status = 409


class ControlError(LycheesparError):
    """A command of an operator can't be carried out.

    Attributes
    ----------
    status : int
        HTTP status told to the operator's client.
    """

    code = 'control'
    status: ClassVar[int] = 500
    exit_code = 3


class ChangeInvalidError(ControlError):
    """A change is invalid; nothing was proposed."""

    code = 'change_invalid'
    status = 422

    def __init__(self, problems: tuple[str, ...]) -> None:
        """Keep all problems, one line for each key."""
        super().__init__('\n'.join(problems))
        self.problems = problems


class RequestInvalidError(ControlError):
    """A request to the operators' API can't be understood."""

    code = 'request_invalid'
    status = 400
    exit_code = 2


class ChangeConflictError(ControlError):
    """The change was made against a revision that is not the current one."""

    code = 'conflict'
    status = 409
    exit_code = 4

    def __init__(self, detail: str = '', revision: int = 0) -> None:
        """Keep the detail and the current revision."""
        super().__init__(detail)
        self.revision = revision


class NoQuorumError(ControlError):
    """Too few control hosts answer; the outcome of the change is unknown."""

    code = 'no_quorum'
    status = 503
    exit_code = 5


class NotLeaderError(ControlError):
    """This control host does not lead the group."""

    code = 'not_leader'
    status = 421


class StorageError(ControlError):
    """The data folder can't be used."""

    code = 'storage'


class ClaimsAbstainError(ControlError):
    """This control host may have lost claims and gives none for a while."""

    code = 'claims_abstain'
    status = 503


class StorageDamagedError(StorageError):
    """A record in the data folder is damaged."""

    code = 'storage_damaged'


class StorageFullError(StorageError):
    """The disk of the data folder is full."""

    code = 'storage_full'
    status = 507


class StorageLockedError(StorageError):
    """Another process uses the data folder."""

    code = 'storage_locked'


class NotCurrentError(ControlError):
    """This control host can't confirm that its state is current."""

    code = 'not_current'
    status = 503


class ApiUnreachableError(ControlError):
    """No control host took the request; nothing was changed."""

    code = 'api_unreachable'
    exit_code = 7


class NotInForceError(ControlError):
    """An accepted change is not in force everywhere yet."""

    code = 'not_in_force'
    exit_code = 6


class UnknownNameError(ControlError):
    """There is no template or team of that name."""

    code = 'unknown_name'
    status = 404


class OtherGroupError(ControlError):
    """The message belongs to another group of control hosts."""

    code = 'other_group'
    status = 421


def _family(root: type[RequestError]) -> dict[str, type[RequestError]]:
    """Map the codes of a class and all its descendants to the classes."""
    found = {root.code: root}
    for child in root.__subclasses__():
        found.update(_family(child))
    return found


def request_error(
    code: str,
    detail: str,
    retry_after_s: float,
) -> RequestError:
    """Build the request error that a code names.

    Parameters
    ----------
    code : str
        Code received from another node.
    detail : str
        Short sentence for people.
    retry_after_s : float
        Seconds after which the caller may come back.

    Returns
    -------
    RequestError
        An error of the named type; `OutcomeUnknownError` for unknown codes.
    """
    error_type = _REQUEST_ERRORS.get(code, OutcomeUnknownError)
    return error_type(detail, retry_after_s)


_REQUEST_ERRORS = _family(RequestError)


def control_error(code: str, detail: str) -> ControlError:
    """Build the control error that a code names.

    Parameters
    ----------
    code : str
        Code received from a control host.
    detail : str
        Short sentence for people.

    Returns
    -------
    ControlError
        An error of the named type; `ControlError` for unknown codes.
    """
    return _CONTROL_ERRORS.get(code, ControlError)(detail)


_CONTROL_ERRORS: dict[str, type[ControlError]] = {
    found.code: found
    for found in (
        NoQuorumError,
        NotLeaderError,
        NotCurrentError,
        OtherGroupError,
        StorageError,
        StorageDamagedError,
        StorageFullError,
    )
}
