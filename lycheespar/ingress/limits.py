"""Limits of the port for callers."""

from __future__ import annotations

import msgspec

from lycheespar.configuration.routes import CallerLimits
from lycheespar.http_limits.limits import RequestLimits, default_connections
from lycheespar.settings.definitions import NodeSettings


def settings_limits(settings: NodeSettings) -> RequestLimits:
    """Return the limits that apply where the configuration names none."""
    return RequestLimits(
        head_bytes=settings.max_head_bytes,
        head_timeout_s=settings.head_timeout_s,
        idle_timeout_s=settings.idle_timeout_s,
        body_timeout_s=0,
        write_timeout_s=settings.write_timeout_s,
        connections=settings.max_connections or default_connections(),
        held_bytes=settings.max_request_memory,
        unsent_bytes=settings.max_unsent_bytes,
    )


def caller_limits(
    default: RequestLimits, configured: CallerLimits
) -> RequestLimits:
    """Return the limits of the settings, changed by those configured.

    Parameters
    ----------
    default : RequestLimits
        Limits of the settings.
    configured : CallerLimits
        Limits of the configuration in force; 0 if it does not name a limit.
    """
    return msgspec.structs.replace(
        default,
        head_bytes=configured.max_header_bytes or default.head_bytes,
        head_timeout_s=configured.header_timeout_s or default.head_timeout_s,
        idle_timeout_s=configured.idle_timeout_s or default.idle_timeout_s,
    )
