"""Version of the inner protocol."""

from __future__ import annotations

from typing import Final

PROTOCOL_VERSION: Final = 1
