"""Starts lycheespar on a host whose policy refuses socket filters.

Use it in place of ``python -m lycheespar``. Security modules and system call
filters of some hosts refuse them to ordinary processes.
"""

from __future__ import annotations

import errno
import os
import socket
from typing import Any, Final

from lycheespar.__main__ import cli

SO_ATTACH_FILTER: Final = 26


class HardenedSocket(socket.socket):
    """Socket to which no filter can be attached."""

    def setsockopt(self, level: int, option: int, *arguments: Any) -> None:
        """Set an option, unless it attaches a filter."""
        if (level, option) == (socket.SOL_SOCKET, SO_ATTACH_FILTER):
            raise PermissionError(errno.EPERM, os.strerror(errno.EPERM))
        super().setsockopt(level, option, *arguments)


if __name__ == '__main__':
    socket.socket = HardenedSocket  # type: ignore[misc]
    cli()
