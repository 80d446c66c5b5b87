"""Tests of messages between VMs that are sent as datagrams."""

import math
import random
import zlib

import pytest

from tests.fleetdata import make_heartbeat, make_member, make_report
from toucanhall.fleet.gossip import Gossip, Message
from toucanhall.fleet.model import Address
from toucanhall.limits.quota import Told, Usage

TO = Address('127.64.1.9', 7560)


class Wire:
    """Keeps what is sent to an address."""

    def __init__(self):
        self.sent = []

    def sendto(self, sent, _address):
        self.sent.append(sent)


def make_gossip():
    heard, dropped = [], []
    gossip = Gossip(hear=heard.append, on_bad=dropped.append)
    wire = Wire()
    gossip.connection_made(wire)
    return gossip, wire, heard, dropped


def make_large_report(teams=140, vms=22):
    draw = random.Random(1)
    usage = {
        f'team{index:03d}': Usage(draw.randrange(90), draw.random() * 9)
        for index in range(teams)
    }
    members = tuple(
        make_member(f'front-east-a-{index}') for index in range(vms)
    )
    return make_report(members=members, told=(Told(usage, vms=vms),))


@pytest.mark.parametrize(
    'message',
    (
        Message(heartbeat=make_heartbeat()),
        Message(report=make_large_report(), is_relayed=True),
    ),
)
def test_message_comes_as_it_was_sent(message):
    gossip, wire, heard, dropped = make_gossip()
    gossip.send(message, (TO,))
    gossip.datagram_received(wire.sent[0], TO)
    assert heard == [message]
    assert not dropped


def test_report_of_a_large_zone_shrinks_to_three_fifths():
    gossip, wire, heard, _dropped = make_gossip()
    gossip.send(Message(report=make_large_report()), (TO,))
    gossip.datagram_received(wire.sent[0], TO)
    size = len(zlib.decompress(wire.sent[0][1:]))
    assert len(wire.sent[0]) < 0.6 * size


BAD_USAGE = {'guides': Usage(-1, 0.0)}


@pytest.mark.parametrize(
    'message',
    (
        Message(heartbeat=make_heartbeat(lag=math.nan)),
        Message(heartbeat=make_heartbeat(load=-1.0)),
        Message(heartbeat=make_heartbeat(usage=BAD_USAGE)),
        Message(report=make_report(told=(Told({}, vms=math.inf),))),
        Message(report=make_report(told=(Told(BAD_USAGE),))),
    ),
)
def test_figures_that_are_none_are_dropped_with_their_message(message):
    gossip, wire, heard, dropped = make_gossip()
    gossip.send(message, (TO,))
    gossip.datagram_received(wire.sent[0], TO)
    assert not heard
    assert dropped == ['figures out of range']


@pytest.mark.parametrize(
    'received',
    (b'', b'\x00', b'\x01junk', b'\x02', b'\x00\x93\x91\x01\xc0\xc3',
     b'\x01' + zlib.compress(b'\x93\xc0\xc0')),
)  # fmt: skip
def test_bytes_that_are_no_message_are_dropped(received):
    gossip, _wire, heard, dropped = make_gossip()
    gossip.datagram_received(received, TO)
    assert not heard
    assert len(dropped) == 1


def test_compressed_zeros_stay_bounded():
    gossip, _wire, heard, dropped = make_gossip()
    gossip.datagram_received(b'\x01' + zlib.compress(bytes(1 << 26)), TO)
    assert not heard
    assert len(dropped) == 1
