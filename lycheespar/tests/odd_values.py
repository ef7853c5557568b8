"""Values that no proper program writes into JSON or a header."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

# JSON that is nested more deeply than decoders follow.
DEEP = '[' * 100_000 + ']' * 100_000
BEYOND_64_BITS = 2**70
# More digits than Python converts to an integer.
MANY_DIGITS = '9' * 5000
# Values that a field may have which this project does not know.
UNKNOWN_VALUES = (
    '',
    None,
    False,
    0,
    -1.5,
    'text',
    [],
    [None],
    {},
    {'x': ''},
)


def with_unknown_fields(document: Any, value: Any) -> Iterator[Any]:
    """Yield copies of a document with an unknown field in one object each."""
    for number, _ in enumerate(_objects(document)):
        changed = copy.deepcopy(document)
        list(_objects(changed))[number]['unknown'] = value
        yield changed


def _objects(document: Any) -> Iterator[dict[str, Any]]:
    match document:
        case dict():
            yield document
            for field in document.values():
                yield from _objects(field)
        case list():
            for entry in document:
                yield from _objects(entry)
