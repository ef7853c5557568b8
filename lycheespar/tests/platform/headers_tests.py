"""Tests of the headers in which the platform's targets give notices."""

from __future__ import annotations

import pytest

from lycheespar.platform.headers import PLATFORM_PROFILE
from lycheespar.targets.load import decode_headers
from lycheespar.targets.notices import Notices, read_notices


@pytest.mark.parametrize(
    ('headers', 'notices'),
    [
        ({}, Notices()),
        ({'server-limit': ' 11.6 '}, Notices(11.6)),
        ({'Server-Limit': '0'}, Notices(0)),
        ({'Server-Limit': '-1'}, Notices()),
        ({'Server-Limit': 'nan'}, Notices()),
        ({'Server-Limit': 'inf'}, Notices()),
        ({'Server-Limit': 'few'}, Notices()),
        ({'Server-Leaving': '1'}, Notices(leaving=True)),
        ({'Server-Leaving': '0', 'Server-Limit': '3'}, Notices(3)),
    ],
)
def test_notices_of_a_target_are_read_and_unreadable_ones_ignored(
    headers, notices
):
    assert read_notices(headers.items(), PLATFORM_PROFILE, 't') == notices
    assert decode_headers(headers, PLATFORM_PROFILE).notices == notices
