"""Tests of the other VMs as a VM knows them, and of the picks among them."""

import pytest

from tests.fleetdata import (
    make_heartbeat,
    make_member,
    make_members,
    make_report,
)
from toucanhall.fleet.membership import (
    ALIVE_SECONDS,
    FORGET_SECONDS,
    GONE_SECONDS,
    REPORT_LATE_SECONDS,
    REPORT_SECONDS,
)
from toucanhall.fleet.model import Introduction
from toucanhall.fleet.reports import sum_told
from toucanhall.fleet.selection import (
    LEAST_SERVING,
    pick_serving,
    pick_speakers,
)
from toucanhall.limits.quota import Told, Usage, make_unheard


def test_silent_vm_is_not_alive_but_its_usage_counts_as_stale():
    members = make_members()
    assert members.hear(make_heartbeat('vm-1'), 1.0)
    assert not members.hear(make_heartbeat('vm-1'), 1.5)
    now = 1.5 + ALIVE_SECONDS + 0.1
    assert members.list_alive(now) == []
    usage_reports = members.list_near_told(now, {'vm-1'})
    assert [found.is_late for found in usage_reports] == [True]
    assert members.hear(make_heartbeat('vm-1'), now)


def test_heartbeat_of_an_earlier_start_is_ignored():
    members = make_members()
    members.hear(make_heartbeat('vm-1', started_at=5), 1.0)
    assert not members.hear(make_heartbeat('vm-1', started_at=4), 2.0)
    assert members.peers['vm-1'].heartbeat.started_at == 5


def test_pause_of_the_own_process_does_not_count_as_silence_of_others():
    members = make_members()
    members.hear(make_heartbeat('vm-1'), 1.0)
    members.excuse(6.0)
    assert members.list_alive(8.0)


def test_location_of_a_vm_is_new_once():
    members = make_members()
    found = Introduction('vm-9', 'east-a', '127.0.0.9')
    assert members.introduce(found)
    assert not members.introduce(found)


def test_expired_vm_is_dropped_and_its_location_is_new_again():
    members = make_members()
    members.hear(make_heartbeat('vm-1'), 1.0)
    assert members.drop_gone(GONE_SECONDS) == []
    (found,) = members.drop_gone(1.5 + GONE_SECONDS)
    assert found.vm == 'vm-1'
    assert not members.peers
    assert members.introduce(found)


def test_vms_of_a_remote_zone_are_alive_as_long_as_it_reports():
    members = make_members()
    report = make_report(members=(make_member('vm-7', zone='west-a'),))
    assert members.hear_report(report, 1.0)
    alive = members.list_zone('west-a', 1.0 + REPORT_SECONDS)
    assert [found.vm for found in alive] == ['vm-7']
    assert not members.list_zone('west-a', 1.1 + REPORT_SECONDS)


def test_report_that_is_received_twice_is_new_once():
    members = make_members()
    assert members.hear_report(make_report(stamp=(5, 2)), 1.0)
    assert not members.hear_report(make_report(stamp=(5, 2)), 1.1)
    assert not members.hear_report(make_report(stamp=(5, 1)), 1.2)
    assert members.hear_report(make_report(stamp=(6, 1)), 1.3)


def test_usage_of_a_zone_without_recent_report_counts_as_stale():
    members = make_members()
    usage_reports = (Told({'guides': Usage(3, 1.0)}, vms=4.0),)
    members.hear_report(make_report(told=usage_reports), 1.0)
    recent = members.list_far_told(1.0 + REPORT_LATE_SECONDS)
    assert recent == list(usage_reports)
    (stale,) = members.list_far_told(1.1 + REPORT_LATE_SECONDS)
    assert stale.is_late
    assert stale.usage == usage_reports[0].usage


def test_report_of_the_delegate_that_knows_most_vms_counts():
    # A delegate that has just started knows few VMs of its zone.
    members = make_members()
    many = tuple(make_member(f'vm-{index}') for index in range(4))
    usage = Told({'guides': Usage(8, 4.0)}, vms=4.0)
    members.hear_report(make_report('vm-0', members=many, told=(usage,)), 1.0)
    members.hear_report(make_report('vm-9', told=(Told({}),)), 1.2)
    assert members.list_far_told(1.3) == [usage]


def test_stale_usage_reports_are_added_up_apart_from_recent_ones():
    total = sum_told(
        (
            Told({'a': Usage(1, 0.5), 'b': Usage(2, 1.0)}),
            Told({'a': Usage(4, 2.0)}, vms=0.1),
            Told({'a': Usage(7, 3.0)}, is_late=True),
        ),
    )
    recent, stale = total
    assert recent.usage == {'a': Usage(5, 2.5), 'b': Usage(2, 1.0)}
    assert recent.vms == pytest.approx(1.1)
    assert stale == Told({'a': Usage(7, 3.0)}, is_late=True)


def test_vms_without_entry_heartbeat_and_report_are_dropped():
    members = make_members()
    members.hear(make_heartbeat('vm-1'), 1.0)
    members.hear_report(
        make_report(members=(make_member('vm-7', zone='west-a'),)), 1.0
    )
    for vm in ('vm-8', 'vm-9'):
        members.introduce(Introduction(vm, 'west-a', '127.0.0.8'))
    members.take_listing([Introduction('vm-9', 'west-a', '127.0.0.8')])
    assert set(members.introduced) == {'vm-1', 'vm-7', 'vm-9'}


ZONE = [
    make_member('vm-1', capacity=150.0),
    make_member('vm-2', capacity=2000.0),
    make_member('vm-3', capacity=150.0),
    make_member('vm-4', capacity=150.0),
    make_member('vm-5', capacity=2000.0, is_leaving=True, is_ready=False),
    make_member('vm-6', capacity=150.0),
    make_member('vm-7', capacity=150.0),
]


def get_names(members):
    return [found.vm for found in members]


def test_vms_of_the_largest_capacity_take_requests():
    assert get_names(pick_serving(ZONE)) == ['vm-2', 'vm-1', 'vm-3', 'vm-4']
    assert pick_serving(reversed(ZONE)) == pick_serving(ZONE)


@pytest.mark.parametrize(
    ('load', 'count'),
    ((0.0, 4), (600.0, 4), (700.0, 6), (100000.0, 6)),
)
def test_number_of_vms_that_take_requests_grows_with_the_load(load, count):
    zone = [ZONE[0]._replace(load=load / 2), *ZONE[1:]]
    zone[1] = zone[1]._replace(load=load / 2)
    assert len(pick_serving(zone)) == count


def test_large_load_is_spread_over_small_vms():
    zone = [
        make_member(f'vm-{index:02}', capacity=150.0, load=30.0)
        for index in range(50)
    ]
    # A load of 1,500 requests a second, of the 7,500 that all could serve.
    picked = pick_serving(zone)
    assert 4 * 1500 <= sum(found.capacity for found in picked) <= 4 * 1500 + 150


def test_all_vms_take_requests_when_the_loop_of_one_lags():
    zone = [ZONE[0], ZONE[1]._replace(lag=0.2), *ZONE[2:]]
    assert len(pick_serving(zone)) == 6


def test_leaving_vm_is_a_delegate_only_if_it_is_alone():
    assert get_names(pick_speakers(ZONE)) == ['vm-2', 'vm-1']
    assert get_names(pick_speakers([ZONE[4]])) == ['vm-5']


def test_zones_and_vms_without_usage_report_count_after_a_start():
    members = make_members('west-a', 'west-b', now=0.0)
    members.introduce(Introduction('vm-2', 'east-a', '127.0.0.2'))
    assert members.list_far_told(1.0) == [make_unheard(LEAST_SERVING)] * 2
    assert members.list_near_told(1.0, {'vm-own'}) == [make_unheard(1)]
    members.hear_report(make_report(), 1.0)
    members.hear(make_heartbeat('vm-2'), 1.0)
    assert members.list_far_told(1.5) == [make_unheard(LEAST_SERVING)]
    assert not any(
        found.usage is None for found in members.list_near_told(1.5, {'vm-own'})
    )
    assert not members.list_far_told(FORGET_SECONDS)


def test_zone_without_vms_does_not_count_once_all_entries_were_read():
    members = make_members('west-a', 'empty-a', now=0.0)
    assert len(members.list_far_told(1.0)) == 2
    members.take_listing([Introduction('vm-9', 'west-a', '127.0.0.9')])
    assert members.list_far_told(2.5) == [make_unheard(LEAST_SERVING)]


def test_reports_of_expired_delegates_are_dropped():
    members = make_members()
    member = make_member('vm-7', zone='west-a')
    members.hear_report(make_report('vm-7', members=(member,)), 1.0)
    members.hear_report(make_report('vm-8'), 3.0 + GONE_SECONDS)
    members.drop_gone(3.0 + GONE_SECONDS)
    members.take_listing([])
    assert not members.introduced
