"""Names of the HTTP headers used by callers, nodes and targets."""

from __future__ import annotations

import msgspec


class HeaderProfile(msgspec.Struct, frozen=True):
    """Header names of one installation; an empty name disables a header.

    Attributes
    ----------
    deadline : str
        From callers: milliseconds until the deadline. To targets:
        milliseconds that remain.
    not_run : str
        From targets: the request was not run.
    request_id : str
        From callers: id of the attempt. Targets repeat it in the answer.
    expected_target : str
        To targets: identity of the target that the request is addressed to.
    caller_service : str
        To targets: service of the host that sent the request.
    target : str
        From targets, in answers of the load path: the target's identity.
    load : str
        From targets: their load as running, waiting, slots, pace in percent.
    cold_ms : str
        From targets: remaining milliseconds of the cold start.
    rate_limit : str
        From targets: calls per second that they take from all nodes together.
    leaving : str
        From targets: they are about to leave and take no new calls.
    key : str
        From callers: key that authenticates their team.
    team : str
        To targets: name of the caller's team.
    integer_retry_after : bool
        Whether ``Retry-After`` has whole seconds only, for callers that do not
        understand fractions.
    content_codings : bool
        Whether targets may encode bodies, as in ``Content-Encoding: gzip``.
        Otherwise an encoded body is not taken for the target's.
    """

    deadline: str = 'X-Deadline-Ms'
    not_run: str = 'X-Not-Run'
    request_id: str = ''
    expected_target: str = ''
    caller_service: str = ''
    target: str = ''
    load: str = ''
    cold_ms: str = ''
    rate_limit: str = ''
    leaving: str = ''
    key: str = 'X-Team-Key'
    team: str = 'X-Team'
    integer_retry_after: bool = True
    content_codings: bool = True


DEFAULT_PROFILE = HeaderProfile()
