"""Values that no proper program writes into JSON or a header."""

from __future__ import annotations

# JSON that is nested more deeply than decoders follow.
DEEP = '[' * 100_000 + ']' * 100_000
BEYOND_64_BITS = 2**70
# More digits than Python converts to an integer.
MANY_DIGITS = '9' * 5000
