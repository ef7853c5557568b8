"""Writes the reference page of error codes from the error classes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Final

from lycheespar.errors import ControlError, LycheesparError, RequestError

PAGE: Final = Path(__file__).parents[1] / 'docs' / 'user' / 'codes.md'

_INTRODUCTION: Final = """# Answers and codes

If a request gets no answer from a target, its caller receives a body of the
type `application/problem+json` (RFC 9457) and the header `X-Lycheespar-Code`.
The member `outcome` of the body says whether the request ran:

- `not_run`: the request was definitely not run and never will be.
- `unknown`: the request may have run.

The header `Retry-After`, in whole seconds, and the member `retry_after_s` say
when to retry. The body is sent at once, not after that time.

## Requests
"""

_CONTROL_INTRODUCTION: Final = """
## Operators' commands

The operators' API reports errors in the same format. Commands print the code
and the detail, then exit with the exit code.
"""


def codes_page() -> str:
    """Return the text of the page."""
    return '\n'.join(
        (
            _INTRODUCTION,
            '| code | status | outcome | meaning |',
            '| --- | --- | --- | --- |',
            *(_request_row(error) for error in _subclass_tree(RequestError)),
            _CONTROL_INTRODUCTION,
            '| code | status | exit code | meaning |',
            '| --- | --- | --- | --- |',
            *(_control_row(error) for error in _subclass_tree(ControlError)),
            '',
        ),
    )


def _subclass_tree(
    root: type[LycheesparError],
) -> Iterator[type[LycheesparError]]:
    yield root
    for child in root.__subclasses__():
        yield from _subclass_tree(child)


def _request_row(error: type[RequestError]) -> str:
    meaning = _meaning(error)
    return f'| `{error.code}` | {error.status} | {error.outcome} | {meaning} |'


def _control_row(error: type[ControlError]) -> str:
    meaning = _meaning(error)
    return (
        f'| `{error.code}` | {error.status} | {error.exit_code} | {meaning} |'
    )


def _meaning(error: type[LycheesparError]) -> str:
    return (error.__doc__ or '').partition('\n')[0]


if __name__ == '__main__':
    PAGE.write_text(codes_page(), 'utf-8')
