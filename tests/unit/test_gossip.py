"""Tests of messages between VMs that are sent as datagrams."""

import math
import random
import zlib

import msgspec
import pytest

from tests.fleetdata import (
    make_heartbeat,
    make_limit_report,
    make_member,
    make_report,
)
from toucanhall.fleet.gossip import Gossip, Message
from toucanhall.fleet.model import Address
from toucanhall.fleet.reports import LimitReports
from toucanhall.limits.quota import Usage, UsageReport

TO = Address('127.64.1.9', 7560)


class Transport:
    """Records the datagrams that are sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, sent, _address):
        self.sent.append(sent)


def make_gossip():
    received, errors = [], []
    gossip = Gossip(receive=received.append, on_error=errors.append)
    transport = Transport()
    gossip.connection_made(transport)
    return gossip, transport, received, errors


def make_large_report(teams=140, vms=22):
    draw = random.Random(1)
    usage = {
        f'team{index:03d}': Usage(draw.randrange(90), draw.random() * 9)
        for index in range(teams)
    }
    members = tuple(
        make_member(f'front-east-a-{index}') for index in range(vms)
    )
    return make_report(
        members=members, usage_reports=(UsageReport(usage, vms=vms),)
    )


@pytest.mark.parametrize(
    'message',
    (
        Message(heartbeat=make_heartbeat()),
        Message(report=make_large_report(), is_relayed=True),
        Message(limits=LimitReports('east-a', (make_limit_report(),))),
    ),
)
def test_message_is_received_as_it_was_sent(message):
    gossip, transport, received, errors = make_gossip()
    gossip.send(message, (TO,))
    gossip.datagram_received(transport.sent[0], TO)
    assert received == [message]
    assert not errors


def test_report_of_a_large_zone_is_compressed_below_three_fifths():
    gossip, transport, _received, _errors = make_gossip()
    gossip.send(Message(report=make_large_report()), (TO,))
    gossip.datagram_received(transport.sent[0], TO)
    size = len(zlib.decompress(transport.sent[0][1:]))
    assert len(transport.sent[0]) < 0.6 * size


def test_vms_without_limits_of_targets_can_read_other_messages():
    """A VM of the version before decodes messages of three fields."""
    gossip, transport, _received, _errors = make_gossip()
    gossip.send(Message(heartbeat=make_heartbeat()), (TO,))
    encoded = zlib.decompress(transport.sent[0][1:])
    assert len(msgspec.msgpack.decode(encoded)) == 3


def make_invalid_limits(**fields):
    report = make_limit_report(**fields)
    return Message(limits=LimitReports('east-a', (report,)))


NEGATIVE_USAGE = {'guides': Usage(-1, 0.0)}


@pytest.mark.parametrize(
    'message',
    (
        Message(heartbeat=make_heartbeat(lag=math.nan)),
        Message(heartbeat=make_heartbeat(load=-1.0)),
        Message(heartbeat=make_heartbeat(usage=NEGATIVE_USAGE)),
        make_invalid_limits(per_second=math.nan),
        make_invalid_limits(per_second=-1.0),
        make_invalid_limits(sent_age=-1.0),
        make_invalid_limits(received_age=math.inf),
        Message(
            report=make_report(usage_reports=(UsageReport({}, vms=math.inf),))
        ),
        Message(
            report=make_report(usage_reports=(UsageReport(NEGATIVE_USAGE),))
        ),
    ),
)
def test_message_with_an_invalid_number_is_dropped(message):
    gossip, transport, received, errors = make_gossip()
    gossip.send(message, (TO,))
    gossip.datagram_received(transport.sent[0], TO)
    assert not received
    assert errors == ['a number is negative, infinite or not a number']


@pytest.mark.parametrize(
    'datagram',
    (b'', b'\x00', b'\x01junk', b'\x02', b'\x00\x93\x91\x01\xc0\xc3',
     b'\x01' + zlib.compress(b'\x93\xc0\xc0')),
)  # fmt: skip
def test_malformed_datagram_is_dropped(datagram):
    gossip, _transport, received, errors = make_gossip()
    gossip.datagram_received(datagram, TO)
    assert not received
    assert len(errors) == 1


def test_datagram_that_decompresses_to_too_many_bytes_is_dropped():
    gossip, _transport, received, errors = make_gossip()
    gossip.datagram_received(b'\x01' + zlib.compress(bytes(1 << 26)), TO)
    assert not received
    assert len(errors) == 1
