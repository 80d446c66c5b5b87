"""Tests of the other VMs as a VM knows them, and of the picks among them."""

import pytest

from tests.fleetdata import (
    make_heartbeat,
    make_member,
    make_members,
    make_report,
)
from toucanhall.fleet.membership import (
    HEARTBEAT_TIMEOUT_SECONDS,
    REPORT_EXPIRY_SECONDS,
    REPORT_STALE_SECONDS,
    USAGE_EXPIRY_SECONDS,
    VM_EXPIRY_SECONDS,
)
from toucanhall.fleet.model import VmContact
from toucanhall.fleet.reports import sum_usage_reports
from toucanhall.fleet.selection import (
    MIN_SERVING_VMS,
    pick_delegates,
    pick_serving,
)
from toucanhall.limits.quota import Usage, UsageReport, make_missing_report


def test_silent_vm_is_not_alive_but_its_usage_counts_as_stale():
    members = make_members()
    assert members.receive(make_heartbeat('vm-1'), 1.0)
    assert not members.receive(make_heartbeat('vm-1'), 1.5)
    now = 1.5 + HEARTBEAT_TIMEOUT_SECONDS + 0.1
    assert members.list_alive(now) == []
    usage_reports = members.list_local_usage_reports(now, {'vm-1'})
    assert [found.is_stale for found in usage_reports] == [True]
    assert members.receive(make_heartbeat('vm-1'), now)


def test_heartbeat_of_an_earlier_start_is_ignored():
    members = make_members()
    members.receive(make_heartbeat('vm-1', started_at=5), 1.0)
    assert not members.receive(make_heartbeat('vm-1', started_at=4), 2.0)
    assert members.peers['vm-1'].heartbeat.started_at == 5


def test_pause_of_the_own_process_does_not_count_as_silence_of_others():
    members = make_members()
    members.receive(make_heartbeat('vm-1'), 1.0)
    members.discount_pause(6.0)
    assert members.list_alive(8.0)


def test_contact_of_a_vm_is_new_once():
    members = make_members()
    found = VmContact('vm-9', 'east-a', '127.0.0.9')
    assert members.add_known_vm(found)
    assert not members.add_known_vm(found)


def test_expired_vm_is_dropped_and_its_contact_is_new_again():
    members = make_members()
    members.receive(make_heartbeat('vm-1'), 1.0)
    assert members.drop_expired(VM_EXPIRY_SECONDS) == []
    (found,) = members.drop_expired(1.5 + VM_EXPIRY_SECONDS)
    assert found.vm == 'vm-1'
    assert not members.peers
    assert members.add_known_vm(found)


def test_vms_of_a_remote_zone_are_alive_as_long_as_it_reports():
    members = make_members()
    report = make_report(members=(make_member('vm-7', zone='west-a'),))
    assert members.receive_report(report, 1.0)
    alive = members.list_zone('west-a', 1.0 + REPORT_EXPIRY_SECONDS)
    assert [found.vm for found in alive] == ['vm-7']
    assert not members.list_zone('west-a', 1.1 + REPORT_EXPIRY_SECONDS)


def test_report_that_is_received_twice_is_new_once():
    members = make_members()
    assert members.receive_report(make_report(stamp=(5, 2)), 1.0)
    assert not members.receive_report(make_report(stamp=(5, 2)), 1.1)
    assert not members.receive_report(make_report(stamp=(5, 1)), 1.2)
    assert members.receive_report(make_report(stamp=(6, 1)), 1.3)


def test_usage_of_a_zone_without_recent_report_counts_as_stale():
    members = make_members()
    usage_reports = (UsageReport({'guides': Usage(3, 1.0)}, vms=4.0),)
    members.receive_report(make_report(usage_reports=usage_reports), 1.0)
    recent = members.list_remote_usage_reports(1.0 + REPORT_STALE_SECONDS)
    assert recent == list(usage_reports)
    (stale,) = members.list_remote_usage_reports(1.1 + REPORT_STALE_SECONDS)
    assert stale.is_stale
    assert stale.usage == usage_reports[0].usage


def test_report_of_the_delegate_that_knows_most_vms_counts():
    # A delegate that has just started knows few VMs of its zone.
    members = make_members()
    many = tuple(make_member(f'vm-{index}') for index in range(4))
    usage = UsageReport({'guides': Usage(8, 4.0)}, vms=4.0)
    members.receive_report(
        make_report('vm-0', members=many, usage_reports=(usage,)), 1.0
    )
    members.receive_report(
        make_report('vm-9', usage_reports=(UsageReport({}),)), 1.2
    )
    assert members.list_remote_usage_reports(1.3) == [usage]


def test_stale_usage_reports_are_added_up_apart_from_recent_ones():
    total = sum_usage_reports(
        (
            UsageReport({'a': Usage(1, 0.5), 'b': Usage(2, 1.0)}),
            UsageReport({'a': Usage(4, 2.0)}, vms=0.1),
            UsageReport({'a': Usage(7, 3.0)}, is_stale=True),
        ),
    )
    recent, stale = total
    assert recent.usage == {'a': Usage(5, 2.5), 'b': Usage(2, 1.0)}
    assert recent.vms == pytest.approx(1.1)
    assert stale == UsageReport({'a': Usage(7, 3.0)}, is_stale=True)


def test_vms_without_entry_heartbeat_and_report_are_dropped():
    members = make_members()
    members.receive(make_heartbeat('vm-1'), 1.0)
    members.receive_report(
        make_report(members=(make_member('vm-7', zone='west-a'),)), 1.0
    )
    for vm in ('vm-8', 'vm-9'):
        members.add_known_vm(VmContact(vm, 'west-a', '127.0.0.8'))
    members.apply_listing([VmContact('vm-9', 'west-a', '127.0.0.8')])
    assert set(members.known_vms) == {'vm-1', 'vm-7', 'vm-9'}


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


UNEVEN_ZONE = [
    make_member('large-1', capacity=2000.0, load=70.0),
    make_member('large-2', capacity=2000.0, load=70.0),
    *(make_member(f'small-{index}', capacity=156.0) for index in range(11)),
]


def test_small_vms_stand_by_while_large_ones_bear_the_load():
    # A body of 500 kB takes the link of a small VM for 0.8 s.
    assert get_names(pick_serving(UNEVEN_ZONE)) == ['large-1', 'large-2']


@pytest.mark.parametrize(
    'fields',
    (
        {'is_ready': False},
        {'reaches_targets': False},
        {'lag': 0.2},
        {'load': 1500.0},
    ),
)
def test_small_vms_take_requests_if_a_large_one_is_not_fit(fields):
    zone = [UNEVEN_ZONE[0]._replace(**fields), *UNEVEN_ZONE[1:]]
    assert len(pick_serving(zone)) >= MIN_SERVING_VMS


def test_vms_of_like_size_do_not_stand_by():
    zone = [
        make_member(f'vm-{index}', capacity=capacity)
        for index, capacity in enumerate((600.0, 600.0, 300.0, 200.0))
    ]
    assert len(pick_serving(zone)) == MIN_SERVING_VMS


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
    assert get_names(pick_delegates(ZONE)) == ['vm-2', 'vm-1']
    assert get_names(pick_delegates([ZONE[4]])) == ['vm-5']


def test_zones_and_vms_without_usage_report_count_after_a_start():
    members = make_members('west-a', 'west-b', now=0.0)
    members.add_known_vm(VmContact('vm-2', 'east-a', '127.0.0.2'))
    assert (
        members.list_remote_usage_reports(1.0)
        == [make_missing_report(MIN_SERVING_VMS)] * 2
    )
    assert members.list_local_usage_reports(1.0, {'vm-own'}) == [
        make_missing_report(1)
    ]
    members.receive_report(make_report(), 1.0)
    members.receive(make_heartbeat('vm-2'), 1.0)
    assert members.list_remote_usage_reports(1.5) == [
        make_missing_report(MIN_SERVING_VMS)
    ]
    assert not any(
        found.usage is None
        for found in members.list_local_usage_reports(1.5, {'vm-own'})
    )
    assert not members.list_remote_usage_reports(USAGE_EXPIRY_SECONDS)


def test_zone_without_vms_does_not_count_once_all_entries_were_read():
    members = make_members('west-a', 'empty-a', now=0.0)
    assert len(members.list_remote_usage_reports(1.0)) == 2
    members.apply_listing([VmContact('vm-9', 'west-a', '127.0.0.9')])
    assert members.list_remote_usage_reports(2.5) == [
        make_missing_report(MIN_SERVING_VMS)
    ]


def test_reports_of_expired_delegates_are_dropped():
    members = make_members()
    member = make_member('vm-7', zone='west-a')
    members.receive_report(make_report('vm-7', members=(member,)), 1.0)
    members.receive_report(make_report('vm-8'), 3.0 + VM_EXPIRY_SECONDS)
    members.drop_expired(3.0 + VM_EXPIRY_SECONDS)
    members.apply_listing([])
    assert not members.known_vms
