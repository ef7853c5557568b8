"""The reference pages follow the code."""

from __future__ import annotations

from tools import codes_page, events_page, settings_page


def test_the_page_of_the_settings_is_what_the_schema_says():
    written = settings_page.PAGE.read_text('utf-8')
    assert written == settings_page.settings_page()


def test_the_page_of_the_codes_is_what_the_classes_say():
    assert codes_page.PAGE.read_text('utf-8') == codes_page.codes_page()


def test_the_page_of_the_events_is_what_the_classes_say():
    assert events_page.PAGE.read_text('utf-8') == events_page.events_page()
