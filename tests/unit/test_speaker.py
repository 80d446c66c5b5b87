"""Tests of who speaks between zones, to whom and how often."""

import pytest

from tests.fleetdata import (
    make_heartbeat,
    make_member,
    make_members,
    make_report,
)
from toucanhall.edge.zone_reporter import ZoneReporter
from toucanhall.fleet.membership import REPORT_EXPIRY_SECONDS
from toucanhall.fleet.model import VmContact
from toucanhall.limits.quota import Usage

FAR = tuple(
    make_member(f'far-{index}', zone='west-a', ip=f'127.0.1.{index}')
    for index in range(4)
)


class Exchange:
    """A speaker, the time, and what it sent to whom."""

    def __init__(self):
        self.now = 0.0
        self.sent = []
        self.members = make_members()
        self.members.receive_report(make_report(members=FAR), 0.0)
        self.speaker = ZoneReporter(
            members=self.members,
            send=lambda message, ips: self.sent.append((message, tuple(ips))),
            clock=lambda: self.now,
        )


@pytest.fixture
def exchange():
    return Exchange()


def test_reports_go_to_both_listeners_in_turn(exchange):
    for _beat in range(4):
        exchange.speaker.beat(make_heartbeat('vm-1'))
    assert [ips for _message, ips in exchange.sent] == [
        ('127.0.1.1',),
        ('127.0.1.0',),
    ]


def test_vm_that_two_others_bear_more_than_does_not_report(exchange):
    for vm in ('vm-1', 'vm-2'):
        exchange.members.receive(make_heartbeat(vm, capacity=900.0), 0.0)
    for _beat in range(4):
        exchange.speaker.beat(make_heartbeat('vm-0'))
    assert not exchange.sent


def test_report_adds_up_the_requests_of_the_zone(exchange):
    usage = {'guides': Usage(3, 1.5)}
    exchange.members.receive(make_heartbeat('vm-2', usage=usage), 0.0)
    for _beat in range(2):
        exchange.speaker.beat(make_heartbeat('vm-1', usage=usage))
    ((message, _ips),) = exchange.sent
    (told,) = message.report.usage_reports
    assert told.usage == {'guides': Usage(6, 3.0)}
    assert told.vms == 2
    assert {found.vm for found in message.report.members} == {'vm-1', 'vm-2'}


def test_zone_of_which_nothing_is_heard_is_tried_at_any_of_its_vms(exchange):
    exchange.members.add_known_vm(VmContact('far-9', 'kzn-a', '127.0.2.9'))
    exchange.now = REPORT_EXPIRY_SECONDS + 1
    exchange.speaker.broadcast_revisions(make_heartbeat('vm-1'))
    reached = {ip for _message, ips in exchange.sent for ip in ips}
    assert '127.0.2.9' in reached
    assert len(reached & {found.ip for found in FAR}) == 2


def test_news_carries_no_usage(exchange):
    usage = {'guides': Usage(3, 1.5)}
    exchange.speaker.broadcast_revisions(make_heartbeat('vm-1', usage=usage))
    ((message, ips),) = exchange.sent
    assert not message.heartbeat.usage
    assert ips == ('127.0.1.0', '127.0.1.1')
