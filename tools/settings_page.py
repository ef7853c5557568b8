"""Writes the reference page of the settings from their schemas."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

from lycheespar.settings.definitions import (
    ControlSettings,
    NodeSettings,
    list_options,
)
from lycheespar.settings.options import Option
from lycheespar.settings.schema import Schema

PAGE: Final = Path(__file__).parents[1] / 'docs' / 'user' / 'settings.md'

_INTRODUCTION: Final = """# Settings

Settings files are JSON with comments. All problems of a file are reported
together, each with its key. `lycheespar check SETTINGS` checks a file without
starting anything. Exit code 2 means that the settings are invalid.
"""


def settings_page() -> str:
    """Return the text of the page."""
    return '\n'.join(
        (
            _INTRODUCTION,
            *_section('lycheespar node', NodeSettings),
            '',
            *_section('lycheespar control', ControlSettings),
            '',
        ),
    )


def _section(title: str, schema: type[Schema]) -> Iterator[str]:
    yield f'## `{title}`\n'
    yield '| key | kind | default | meaning |'
    yield '| --- | --- | --- | --- |'
    for name, option in list_options(schema):
        default = _default(option)
        yield f'| `{name}` | {option.kind} | {default} | {option.doc} |'


def _default(option: Option[Any]) -> str:
    if option.required:
        return 'must be set'
    match option.default:
        case None:
            return 'none'
        case ():
            return 'empty'
        case bool(flag):
            return str(flag).lower()
        case other:
            return str(other)


if __name__ == '__main__':
    PAGE.write_text(settings_page(), 'utf-8')
