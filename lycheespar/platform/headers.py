"""Header names of the platform, as a header profile of this project."""

from __future__ import annotations

from typing import Final

from lycheespar.profile import HeaderProfile

PLATFORM_PROFILE: Final = HeaderProfile(
    deadline='X-Lycheespar-Deadline-Ms',
    not_run='X-Lycheespar-Not-Executed',
    request_id='X-Lycheespar-Attempt-Id',
    expected_target='X-Lycheespar-Expected-Instance',
    caller_service='X-Lycheespar-Caller-Service',
    target='X-Lycheespar-Instance-Id',
    load='X-Lycheespar-Server-Load',
    cold_ms='X-Lycheespar-Cold-Ms',
    rate_limit='Server-Limit',
    leaving='Server-Leaving',
    key='Api-Key',
    team='X-Lycheespar-Tenant-Name',
    integer_retry_after=False,
    content_codings=False,
)
