"""Names of the headers that callers, nodes and targets use."""

from __future__ import annotations

import msgspec


class HeaderProfile(msgspec.Struct, frozen=True):
    """Header names of one installation; empty ones are not used.

    Attributes
    ----------
    deadline : str
        Milliseconds for which the caller waits; to targets, what is left.
    not_run : str
        A target says that it did not run the request.
    request_id : str
        Callers name each attempt in it; targets repeat it in the answer.
    expected_target : str
        Identity of the target for which a request is meant.
    caller_service : str
        Service of the host on which the request began.
    target : str
        A target names itself in answers of its load path.
    load : str
        A target tells its load: running, waiting, slots, pace in percent.
    cold_ms : str
        A target tells for how many milliseconds it stays cold.
    whole_retry_s : bool
        Whether callers understand whole seconds only in ``Retry-After``.
    """

    deadline: str = 'X-Deadline-Ms'
    not_run: str = 'X-Not-Run'
    request_id: str = ''
    expected_target: str = ''
    caller_service: str = ''
    target: str = ''
    load: str = ''
    cold_ms: str = ''
    whole_retry_s: bool = True


DEFAULT_PROFILE = HeaderProfile()
