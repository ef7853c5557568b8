"""Crowds of clients outside the limits at the other HTTP addresses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lycheespar.tests.crowds.crowd import Script
from lycheespar.tests.crowds.heads import ENDLESS, LETTERS, SILENT
from lycheespar.tests.crowds.siege import Ask, besiege
from standins.platform import Machine
from standins.small_site import (
    HEARTBEAT_PATH,
    PUT_PATH,
    Address,
    SmallSite,
)

pytestmark = pytest.mark.crowd

Place = Callable[[SmallSite], tuple[Machine, Address, Ask]]

PLACES: dict[str, Place] = {
    'readiness': lambda site: (
        site.node,
        site.readiness,
        site.check_readiness,
    ),
    'announcements': lambda site: (
        site.node,
        site.announcements,
        site.send_heartbeat,
    ),
    'metrics': lambda site: (site.node, site.metrics, site.read_metrics),
    'operators': lambda site: (
        site.control,
        site.operators,
        site.read_configuration,
    ),
}


def _post(path: str) -> bytes:
    """Return the head of a call with a chunked body."""
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: a.example',
        'Transfer-Encoding: chunked',
    )
    return '\r\n'.join((*lines, '', '')).encode()


CHUNK = b'400\r\n' + LETTERS + b'\r\n'
BODIES = {
    'announcements': Script(_post(HEARTBEAT_PATH), CHUNK),
    'operators': Script(_post(PUT_PATH), CHUNK),
}


@pytest.mark.parametrize(
    'name', ['field', 'zero_bytes', 'empty_lines', 'trailer']
)
@pytest.mark.parametrize('place', PLACES)
async def test_each_address_bears_what_has_no_end(site, place, name):
    """Only the address for callers had limits."""
    await _besiege(site, place, ENDLESS[name])


@pytest.mark.parametrize('place', PLACES)
async def test_each_address_bears_connections_that_say_nothing(site, place):
    """They held all descriptors of the process."""
    await _besiege(site, place, SILENT['nothing'])


@pytest.mark.parametrize('place', BODIES)
async def test_an_address_bears_bodies_without_end(site, place):
    """A body is read whole before it is decoded."""
    await _besiege(site, place, BODIES[place])


async def _besiege(site: Any, place: str, script: Script) -> None:
    machine, address, ask = PLACES[place](site)
    await besiege(machine, address, script, ask, site.send_request)
