"""Load that a target tells in headers."""

from __future__ import annotations

from lycheespar.profile import HeaderProfile
from lycheespar.targets.load import LoadReport, decode_headers

PROFILE = HeaderProfile(load='X-Load', cold_ms='X-Cold', target='X-Target')


def test_all_figures_are_read():
    headers = {'X-Load': '3, 1, 12, 500', 'X-Cold': '1500', 'X-Target': 't'}
    expected = LoadReport(3, 1, pace=5, cold_s=1.5, target='t')
    assert decode_headers(headers, PROFILE) == expected


def test_a_pace_that_is_not_told_is_none():
    report = decode_headers({'X-Load': '3,0,8'}, PROFILE)
    assert (report.running, report.pace, report.cold_s) == (3, 0, -1)


def test_nonsense_counts_as_not_told():
    headers = {'X-Load': 'much', 'X-Cold': 'soon'}
    assert decode_headers(headers, PROFILE) == LoadReport()
