"""Starts lycheespar on a host with few descriptors and little memory.

Use it in place of ``python -m lycheespar``.
"""

from __future__ import annotations

import resource
from typing import Final

from lycheespar.__main__ import cli

MAX_OPEN_FILES: Final = 256
# Protects the machine that runs the tests from a process that grows.
MAX_ADDRESS_SPACE_BYTES: Final = 2 * 1024**3


if __name__ == '__main__':
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_OPEN_FILES, MAX_OPEN_FILES))
    resource.setrlimit(
        resource.RLIMIT_AS, (MAX_ADDRESS_SPACE_BYTES, MAX_ADDRESS_SPACE_BYTES)
    )
    cli()
