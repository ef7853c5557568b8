"""Tests with changes of operators that can't be right."""

from __future__ import annotations

import json

import pytest

from lycheespar.control.api.api import decode_command
from lycheespar.errors import ChangeInvalidError
from lycheespar.tests.odd_values import BEYOND_64_BITS, DEEP


def _command(**changes):
    command = {
        'change_id': 'c-1',
        'base_revision': 0,
        'operator': 'anna',
        'change': {'type': 'take_out_target', 'name': 't'},
    }
    return json.dumps(command | changes).replace('"DEEP"', DEEP).encode()


def test_a_proper_command_is_decoded():
    assert decode_command(_command()).change_id == 'c-1'


@pytest.mark.parametrize(
    'body',
    [
        DEEP.encode(),
        _command(other='DEEP'),
        _command(base_revision=BEYOND_64_BITS),
        _command(base_revision=-BEYOND_64_BITS),
    ],
)
def test_an_odd_command_is_an_invalid_change(body):
    with pytest.raises(ChangeInvalidError):
        decode_command(body)
