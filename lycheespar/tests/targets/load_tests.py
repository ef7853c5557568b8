"""Tests of decoding load reports from headers."""

from __future__ import annotations

from lycheespar.profile import HeaderProfile
from lycheespar.targets.load import LoadReport, decode_headers

PROFILE = HeaderProfile(load='X-Load', cold_ms='X-Cold', target='X-Target')


def test_all_numbers_are_decoded():
    headers = {'X-Load': '3, 1, 12, 500', 'X-Cold': '1500', 'X-Target': 't'}
    expected = LoadReport(3, 1, pace=5, cold_s=1.5, target='t')
    assert decode_headers(headers, PROFILE) == expected


def test_missing_pace_is_zero():
    report = decode_headers({'X-Load': '3,0,8'}, PROFILE)
    assert (report.running, report.pace, report.cold_s) == (3, 0, -1)


def test_malformed_headers_are_ignored():
    headers = {'X-Load': 'much', 'X-Cold': 'soon'}
    assert decode_headers(headers, PROFILE) == LoadReport()
