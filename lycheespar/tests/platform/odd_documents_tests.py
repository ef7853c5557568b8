"""Tests with configuration documents that can't be right."""

from __future__ import annotations

import json

import msgspec
import pytest

from lycheespar.configuration.changes import apply
from lycheespar.configuration.model import Configuration
from lycheespar.errors import ChangeInvalidError, SettingsError
from lycheespar.platform.documents import decode_put, encode_plan
from lycheespar.platform.settings_file import load_control, load_node
from lycheespar.tests.odd_values import (
    BEYOND_64_BITS,
    DEEP,
    MANY_DIGITS,
    UNKNOWN_VALUES,
    with_unknown_fields,
)
from lycheespar.tests.platform.documents_tests import route, service

NESTED = '[' * 900 + ']' * 900

LIMITS = {
    'resource_type': 'limits',
    'metadata': {},
    'spec': {
        'max_header_bytes': 16384,
        'max_body_bytes': 1000000,
        'header_timeout': '3000ms',
        'idle_timeout': '15000ms',
    },
}


def _document(*resources, replaced='', by=''):
    document = {
        'version': '00000001',
        'base_version': 0,
        'resources': [*resources],
    }
    return json.dumps(document).replace(replaced or '\0', by).encode()


ODD_DOCUMENTS = {
    'deep': DEEP.encode(),
    'deep resource': _document(service(), 'X', replaced='"X"', by=DEEP),
    'deep field': _document(service(other='X'), replaced='"X"', by=DEEP),
    'priority beyond 64 bits': _document(
        service(), route(priority=BEYOND_64_BITS)
    ),
    'attempts beyond 64 bits': _document(
        service(), route(max_attempts=BEYOND_64_BITS)
    ),
    'connections beyond 64 bits': _document(
        service(max_connections=BEYOND_64_BITS)
    ),
    'number with many digits': _document(
        service(max_connections='X'), replaced='"X"', by=MANY_DIGITS
    ),
    'rate beyond the range of floats': _document(
        service(coldstart_per_s='X'), replaced='"X"', by='9' * 400
    ),
    'infinite rate': _document(
        service(coldstart_per_s='X'), replaced='"X"', by='1e400'
    ),
    'not a number': _document(
        service(coldstart_per_s='X'), replaced='"X"', by='NaN'
    ),
    'not a number in an unknown field': _document(
        service(other='X'), replaced='"X"', by='NaN'
    ),
    'endless timeout': _document(service(), route(timeout=f'{MANY_DIGITS}s')),
    'endless idle time': _document(
        LIMITS | {'spec': LIMITS['spec'] | {'idle_timeout': f'{MANY_DIGITS}s'}}
    ),
    'header size beyond 64 bits': _document(
        LIMITS | {'spec': LIMITS['spec'] | {'max_header_bytes': BEYOND_64_BITS}}
    ),
}


@pytest.mark.parametrize('odd', ODD_DOCUMENTS)
def test_an_odd_document_is_an_invalid_change(odd):
    with pytest.raises(ChangeInvalidError):
        apply(Configuration(), decode_put(ODD_DOCUMENTS[odd]))


def test_a_nested_unknown_field_is_rejected_or_read_back_as_sent():
    body = _document(service(other='X'), replaced='"X"', by=NESTED)
    try:
        changed = apply(Configuration(), decode_put(body))
    except ChangeInvalidError:
        return
    assert json.loads(encode_plan(changed.plan))['resources'] == [
        json.loads(body)['resources'][0]
    ]
    msgspec.msgpack.decode(msgspec.msgpack.encode(changed), type=Configuration)


@pytest.mark.parametrize('value', UNKNOWN_VALUES, ids=repr)
def test_a_document_with_an_unknown_field_at_any_depth_is_valid(value):
    document = json.loads(_document(route(), service(), LIMITS))
    for changed in with_unknown_fields(document, value):
        configuration = apply(
            Configuration(), decode_put(json.dumps(changed).encode())
        )
        plan = json.loads(encode_plan(configuration.plan))
        assert plan['resources'] == changed['resources']


def test_settings_that_are_deeply_nested_are_a_settings_error(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text(DEEP)
    for load in (load_node, load_control):
        with pytest.raises(SettingsError):
            load(path)
