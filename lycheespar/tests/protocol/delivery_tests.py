"""Tests that a message without a reply is told from one that still waits."""

from __future__ import annotations

import socket

import msgspec
import pytest

from lycheespar.protocol.delivery import Delivery
from lycheespar.protocol.sockets import unsent_bytes


class FakeTraffic(msgspec.Struct):
    """Counts of a connection that a test sets."""

    written_bytes: int = 0
    acknowledged_bytes: int = 0
    received_bytes: int = 0


@pytest.mark.parametrize(
    ('written', 'acknowledged', 'received', 'advanced'),
    [
        (50_000, 0, 0, False),
        (50_000, 10_000, 0, True),
        (50_000, 0, 10, False),
        (50, 50, 0, False),
        (50, 50, 10, True),
    ],
)
def test_silence_counts_only_where_nothing_moves(
    written, acknowledged, received, advanced
):
    traffic = FakeTraffic(written)
    delivery = Delivery(traffic)
    traffic.acknowledged_bytes = acknowledged
    traffic.received_bytes = received
    assert delivery.has_advanced() is advanced


def test_bytes_behind_the_message_do_not_hide_a_silent_host():
    traffic = FakeTraffic(50)
    delivery = Delivery(traffic)
    traffic.acknowledged_bytes = 50
    traffic.written_bytes = 50_000
    delivery.has_advanced()
    traffic.acknowledged_bytes = 40_000
    assert not delivery.has_advanced()


def test_a_system_that_does_not_tell_counts_all_as_arrived(tmp_path):
    with (tmp_path / 'file').open('w') as file:
        assert not unsent_bytes(file)
    with socket.socket() as unconnected:
        assert not unsent_bytes(unconnected)
