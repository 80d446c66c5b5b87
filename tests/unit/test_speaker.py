"""Tests of reports between zones: which VM sends them, to whom, how often."""

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

REMOTE_VMS = tuple(
    make_member(f'far-{index}', zone='west-a', ip=f'127.0.1.{index}')
    for index in range(4)
)


class Exchange:
    """A VM that may be a delegate, the time, and what it sent to whom."""

    def __init__(self):
        self.now = 0.0
        self.sent = []
        self.members = make_members()
        self.members.receive_report(make_report(members=REMOTE_VMS), 0.0)
        self.reporter = ZoneReporter(
            members=self.members,
            send=lambda message, ips: self.sent.append((message, tuple(ips))),
            clock=lambda: self.now,
        )


@pytest.fixture
def exchange():
    return Exchange()


def test_reports_alternate_between_both_delegates_of_a_zone(exchange):
    for _heartbeat in range(4):
        exchange.reporter.beat(make_heartbeat('vm-1'))
    assert [ips for _message, ips in exchange.sent] == [
        ('127.0.1.1',),
        ('127.0.1.0',),
    ]


def test_vm_with_two_larger_ones_in_its_zone_sends_no_report(exchange):
    for vm in ('vm-1', 'vm-2'):
        exchange.members.receive(make_heartbeat(vm, capacity=900.0), 0.0)
    for _heartbeat in range(4):
        exchange.reporter.beat(make_heartbeat('vm-0'))
    assert not exchange.sent


def test_report_sums_the_usage_of_the_zone(exchange):
    usage = {'guides': Usage(3, 1.5)}
    exchange.members.receive(make_heartbeat('vm-2', usage=usage), 0.0)
    for _heartbeat in range(2):
        exchange.reporter.beat(make_heartbeat('vm-1', usage=usage))
    ((message, _ips),) = exchange.sent
    (usage_report,) = message.report.usage_reports
    assert usage_report.usage == {'guides': Usage(6, 3.0)}
    assert usage_report.vms == 2
    assert {member.vm for member in message.report.members} == {'vm-1', 'vm-2'}


def test_revisions_go_to_any_vm_of_a_zone_without_recent_reports(exchange):
    exchange.members.add_known_vm(VmContact('far-9', 'kzn-a', '127.0.2.9'))
    exchange.now = REPORT_EXPIRY_SECONDS + 1
    exchange.reporter.broadcast_revisions(make_heartbeat('vm-1'))
    reached = {ip for _message, ips in exchange.sent for ip in ips}
    assert '127.0.2.9' in reached
    assert len(reached & {member.ip for member in REMOTE_VMS}) == 2


def test_broadcast_of_revisions_carries_no_usage(exchange):
    usage = {'guides': Usage(3, 1.5)}
    exchange.reporter.broadcast_revisions(make_heartbeat('vm-1', usage=usage))
    ((message, ips),) = exchange.sent
    assert not message.heartbeat.usage
    assert ips == ('127.0.1.0', '127.0.1.1')
