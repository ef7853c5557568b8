"""Crowds of clients outside the limits at a node's address for callers."""

from __future__ import annotations

import pytest

from lycheespar.tests.crowds.crowd import Script
from lycheespar.tests.crowds.heads import ENDLESS, ORDINARY, SILENT
from lycheespar.tests.crowds.siege import besiege
from standins.small_site import SmallSite

pytestmark = pytest.mark.crowd

LARGE_ANSWER_BYTES = 4 * 1024 * 1024


@pytest.mark.parametrize('name', ENDLESS)
async def test_a_node_bears_what_has_no_end(site, name):
    """Each client's bytes were kept, or held up the requests of others."""
    await besiege(site.node, site.callers, ENDLESS[name], site.send_request)


@pytest.mark.parametrize('name', SILENT)
async def test_a_node_bears_connections_that_never_finish_a_request(site, name):
    """They held all descriptors, so that nobody else could connect."""
    await besiege(site.node, site.callers, SILENT[name], site.send_request)


async def test_a_node_bears_callers_that_never_read_a_large_answer(tmp_path):
    """Whole answers would wait in memory, one for each connection."""
    site = SmallSite(tmp_path)
    unread = Script(ORDINARY, reads=False)
    try:
        await site.start(LARGE_ANSWER_BYTES)
        await besiege(site.node, site.callers, unread, site.send_request)
    finally:
        await site.stop()
