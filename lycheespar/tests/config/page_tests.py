"""The reference page of the settings follows the schema."""

from __future__ import annotations

from tools.settings_page import PAGE, settings_page


def test_the_page_is_what_the_schema_says():
    assert PAGE.read_text('utf-8') == settings_page()
