"""Tests of the error hierarchy and its codes."""

from __future__ import annotations

import itertools

from lycheespar.errors import (
    LycheesparError,
    OutcomeUnknownError,
    OverloadedError,
    RefusedError,
    request_error,
)


def _with_subclasses(root: type) -> list[type]:
    children = root.__subclasses__()
    return [
        root,
        *itertools.chain.from_iterable(map(_with_subclasses, children)),
    ]


def test_codes_of_errors_are_unique():
    codes = [error.code for error in _with_subclasses(LycheesparError)]
    duplicates = {code for code in codes if codes.count(code) > 1}
    # `InternalRequestError` has the same code as the base class.
    assert duplicates <= {'internal'}


def test_an_error_is_restored_from_its_code():
    sent = OverloadedError('full', 2)
    received = request_error(sent.code, sent.detail, sent.retry_after_s)
    assert type(received) is OverloadedError
    assert received.retry_after_s == 2


def test_an_unknown_code_is_never_taken_for_not_run():
    received = request_error('code_of_a_newer_version', '', 1)
    assert type(received) is OutcomeUnknownError
    assert not isinstance(received, RefusedError)
