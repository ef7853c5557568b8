"""Tests that the generated reference pages are up to date."""

from __future__ import annotations

from tools import codes_page, events_page, settings_page


def test_the_settings_page_matches_the_schema():
    page = settings_page.PAGE.read_text('utf-8')
    assert page == settings_page.settings_page()


def test_the_codes_page_matches_the_error_classes():
    assert codes_page.PAGE.read_text('utf-8') == codes_page.codes_page()


def test_the_events_page_matches_the_event_classes():
    assert events_page.PAGE.read_text('utf-8') == events_page.events_page()
