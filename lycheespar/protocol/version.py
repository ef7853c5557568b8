"""Version of the protocol between nodes."""

from __future__ import annotations

from typing import Final

PROTOCOL_VERSION: Final = 1
