"""Writes the reference page of the coded errors from their classes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Final

from lycheespar.errors import ControlError, LycheesparError, RequestError

PAGE: Final = Path(__file__).parents[1] / 'docs' / 'user' / 'codes.md'

_INTRODUCTION: Final = """# Answers and codes

A request that ends without an answer of its target gets a body of the type
`application/problem+json` (RFC 9457) and the header `X-Lycheespar-Code`. Its
member `outcome` says what is known:

- `not_run`: the request was definitely not run and never will be.
- `unknown`: it may have run.

`Retry-After`, in whole seconds, and `retry_after_s` in the body say when to
come back. The answer is sent at once; a request is never held back.

## Requests
"""

_CONTROL: Final = """
## Operators' commands

The same form, from the operators' API. The command line prints the code and
the detail and exits with the exit code.
"""


def codes_page() -> str:
    """Return the page."""
    return '\n'.join(
        (
            _INTRODUCTION,
            '| code | status | outcome | meaning |',
            '| --- | --- | --- | --- |',
            *(_request_row(found) for found in _family(RequestError)),
            _CONTROL,
            '| code | status | exit code | meaning |',
            '| --- | --- | --- | --- |',
            *(_control_row(found) for found in _family(ControlError)),
            '',
        ),
    )


def _family(
    root: type[LycheesparError],
) -> Iterator[type[LycheesparError]]:
    yield root
    for child in root.__subclasses__():
        yield from _family(child)


def _request_row(found: type[RequestError]) -> str:
    meaning = _meaning(found)
    return f'| `{found.code}` | {found.status} | {found.outcome} | {meaning} |'


def _control_row(found: type[ControlError]) -> str:
    meaning = _meaning(found)
    return (
        f'| `{found.code}` | {found.status} | {found.exit_code} | {meaning} |'
    )


def _meaning(found: type[LycheesparError]) -> str:
    return (found.__doc__ or '').partition('\n')[0]


if __name__ == '__main__':
    PAGE.write_text(codes_page(), 'utf-8')
