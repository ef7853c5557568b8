"""Departures that a node stores at control hosts which fail."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.control.following.departures import ControlDepartures
from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.messages import (
    AskDepartures,
    DepartureRecorded,
    DeparturesReply,
    Failure,
    RecordDeparture,
)
from lycheespar.settings.options import Address
from lycheespar.targets.departures import Departure
from lycheespar.tests.virtual_loop import run_virtual

LEFT = Departure('i-1', 1000, deregistered=True)


class _Host:
    """Control host that works, is frozen, or has no quorum."""

    def __init__(self, trouble=''):
        self.address = Address('127.0.0.1', 7000)
        self.connected = trouble != 'down'
        self.trouble = trouble
        self.requests = []

    async def ask(self, request, timeout_s):
        self.requests.append(request)
        match self.trouble, request:
            case 'frozen', _:
                await asyncio.sleep(timeout_s)
                raise LinkTimeoutError
            case 'no_quorum', _:
                return Failure('no_quorum', '')
            case _, RecordDeparture():
                return DepartureRecorded()
            case _, AskDepartures():
                return DeparturesReply((LEFT,))

    def close(self):
        """Do nothing."""


@pytest.mark.parametrize('trouble', ['', 'down', 'frozen', 'no_quorum'])
def test_a_departure_is_recorded_beside_a_host_in_trouble(trouble):
    """A target waits a second for its acknowledgement."""

    async def scenario(_):
        hosts = [_Host(trouble), _Host()]
        departures = ControlDepartures('node-1', lambda: hosts)
        async with asyncio.timeout(1):
            assert await departures.record(LEFT)
        assert await departures.load() == (LEFT,)

    run_virtual(scenario)


@pytest.mark.parametrize('trouble', ['down', 'frozen', 'no_quorum'])
def test_a_departure_counts_as_not_recorded_without_a_quorum(trouble):
    async def scenario(_):
        departures = ControlDepartures('node-1', lambda: [_Host(trouble)])
        async with asyncio.timeout(1):
            assert not await departures.record(LEFT)

    run_virtual(scenario)


def test_departures_are_loaded_soon_after_a_host_can_tell_them():
    """A node that has started holds its target's heartbeats until then."""

    async def scenario(_):
        hosts = [_Host('frozen'), _Host('no_quorum')]
        departures = ControlDepartures('node-1', lambda: hosts)
        loading = asyncio.create_task(departures.load())
        await asyncio.sleep(30)
        assert not loading.done()
        hosts[1].trouble = ''
        async with asyncio.timeout(3):
            assert await loading == (LEFT,)

    run_virtual(scenario)
