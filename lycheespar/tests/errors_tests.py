"""Tests of the tree of errors."""

from __future__ import annotations

import itertools

from lycheespar.errors import (
    LycheesparError,
    OutcomeUnknownError,
    OverloadedError,
    RefusedError,
    request_error,
)


def _family(root: type) -> list[type]:
    children = root.__subclasses__()
    return [root, *itertools.chain.from_iterable(map(_family, children))]


def test_no_two_errors_share_a_code():
    codes = [found.code for found in _family(LycheesparError)]
    doubled = {code for code in codes if codes.count(code) > 1}
    # An unexpected fault has the code of the tree's root.
    assert doubled <= {'internal'}


def test_an_error_survives_the_way_between_nodes():
    sent = OverloadedError('full', 2)
    received = request_error(sent.code, sent.detail, sent.retry_after_s)
    assert type(received) is OverloadedError
    assert received.retry_after_s == 2


def test_a_code_that_is_not_known_is_never_taken_for_not_run():
    received = request_error('code_of_a_newer_version', '', 1)
    assert type(received) is OutcomeUnknownError
    assert not isinstance(received, RefusedError)
