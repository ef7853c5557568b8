"""Tests of the compression of large replies to pulls."""

from __future__ import annotations

import msgspec
import pytest

from lycheespar.configuration.changes import TakeOutDataCentre
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.routes import Destination, HostRoute, RoutePlan
from lycheespar.configuration.stamp import Stamp
from lycheespar.control.messages import PullReply
from lycheespar.control.packing import ReplyDamagedError, ReplyPacker, unpack

STAMP = Stamp(1, 2, 3, 4)


def _large_reply() -> PullReply:
    routes = {
        f'route-{number}': HostRoute(
            f'route-{number}',
            f'host-{number % 7}.example',
            f'/path-{number}/',
            destinations=(Destination('a', 9), Destination('b', 1)),
            source=f'{{"metadata":{{"name":"route-{number}"}}}}' * 5,
        )
        for number in range(1500)
    }
    return PullReply(
        STAMP, configuration=Configuration(7, plan=RoutePlan(3, routes))
    )


def test_a_large_reply_takes_a_tenth_of_its_size_and_stays_the_same():
    reply = _large_reply()
    packed = ReplyPacker().pack(reply, 7)
    sizes = [len(msgspec.msgpack.encode(item)) for item in (packed, reply)]
    assert sizes[0] * 10 < sizes[1]
    assert unpack(packed) == reply


def test_a_small_reply_stays_as_it_is():
    reply = PullReply(STAMP, (TakeOutDataCentre('a'),), base_revision=6)
    assert ReplyPacker().pack(reply, 7) is reply
    assert unpack(reply) is reply


def test_replies_to_different_revisions_are_not_confused():
    packer = ReplyPacker()
    names = [f'{number:064}' for number in range(200)]
    changes = tuple(TakeOutDataCentre(name) for name in names)
    replies = [
        PullReply(STAMP, changes[base:], base_revision=base)
        for base in range(20)
    ]
    for _ in range(2):
        for reply in replies:
            assert unpack(packer.pack(reply, 200)) == reply


@pytest.mark.parametrize('packed', [b'x', b'x\x9c\x03\x00\x00\x00\x00\x01'])
def test_a_damaged_reply_is_an_error_and_changes_nothing(packed):
    with pytest.raises(ReplyDamagedError):
        unpack(PullReply(STAMP, packed=packed))
