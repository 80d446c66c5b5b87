"""Tests of a VM's view of the other VMs."""

from tests.builders import make_heartbeat
from toucanhall.membership import Health, Member, View, hear, merge_list
from toucanhall.membership.confirming import confirm, report_zones
from toucanhall.membership.contacts import is_reader, select_local
from toucanhall.membership.messages import Row
from toucanhall.membership.view import assess, compensate_pause, select_live
from toucanhall.objectstore import Listed
from toucanhall.shares.slots import Holding, Table, claim

EMPTY = View({}, {})


def test_silent_member_is_suspected_until_its_next_heartbeat():
    view = hear(EMPTY, 'b', 's', make_heartbeat(), 0)
    assert assess(view.members['b'], 3) is Health.ALIVE
    assert assess(view.members['b'], 4) is Health.SUSPECTED
    view = hear(view, 'b', 's', make_heartbeat(sequence=2), 5)
    assert assess(view.members['b'], 5) is Health.ALIVE


def test_outdated_heartbeat_is_ignored():
    view = hear(EMPTY, 'b', 's', make_heartbeat(sequence=2, leaving=True), 0)
    overtaken = hear(view, 'b', 's', make_heartbeat(sequence=1), 1)
    assert assess(overtaken.members['b'], 1) is Health.LEAVING


def test_alive_member_that_is_not_listed_is_kept():
    view = hear(EMPTY, 'b', 's', make_heartbeat(), 0)
    view = merge_list(view, (), 'a', 1)
    assert assess(view.members['b'], 1) is Health.ALIVE


def test_listed_vm_is_known_before_its_first_heartbeat():
    listed = (Listed('b', 'north-a', '127.2.0.2', False),)
    view = merge_list(EMPTY, listed, 'a', 0)
    assert assess(view.members['b'], 0) is Health.NO_HEARTBEAT


def make_zone(size, zone='north-a', received_at=0.0):
    """Return a view of a zone's VMs, except the first one."""
    members = {
        f'{zone}-{index}': Member(
            f'{zone}-{index}', zone, f'127.2.0.{index}',
            start='s', sequence=1, revision=7, received_at=received_at,
        )
        for index in range(1, size)
    }  # fmt: skip
    return View(members, {})


def test_update_reaches_all_vms_of_the_largest_zone_in_few_rounds():
    size, rounds = 62, 12
    vms = [f'north-a-{index}' for index in range(size)]
    every = make_zone(size + 1).members | {
        vms[0]: Member(vms[0], 'north-a', '127.2.0.99'),
    }
    reached = {vms[0]}
    for turn in range(rounds):
        sent = {
            member.vm
            for vm in reached
            for member in select_local(
                View({key: every[key] for key in vms if key != vm}, {}),
                vm, 'north-a', turn,
            )
        }  # fmt: skip
        reached |= sent
    assert reached == set(vms)


def test_row_updates_known_vms_only_and_never_with_older_state():
    view = make_zone(3)
    rows = (
        Row('north-a-1', 's', 5, 9, leaving=False),
        Row('north-a-2', 's', 0, 1, leaving=True),
        Row('stranger', 's', 5, 9, leaving=False),
    )
    after = hear(view, 'b', 's', make_heartbeat(rows=rows), 4)
    assert after.members['north-a-1'].revision == 9
    assert after.members['north-a-1'].received_at == 4
    assert after.members['north-a-2'] == view.members['north-a-2']
    assert 'stranger' not in after.members


def test_two_vms_read_the_platform_unless_all_others_are_suspected():
    zone = make_zone(9).members

    def list_readers(now):
        return {
            vm
            for vm in zone
            if is_reader(
                View({key: zone[key] for key in zone if key != vm}, {}),
                vm,
                'north-a',
                now,
            )
        }

    assert len(list_readers(0)) == 2
    assert list_readers(60) == set(zone)


def test_own_pause_makes_no_member_suspected():
    view = compensate_pause(make_zone(3, received_at=10.0), 30, 41)
    assert all(
        assess(member, 41) is Health.ALIVE for member in view.members.values()
    )


def test_silent_vm_keeps_its_zone_from_confirming_a_revision():
    view = make_zone(3)
    assert confirm(view, 'north-a', 9, 1) == {'north-a': 7}
    assert confirm(view, 'north-a', 9, 500) == {'north-a': 7}
    report = report_zones(view, ['north-a'], 9, 500)['north-a']
    assert report.waiting == ('north-a-1', 'north-a-2')


def make_two_zones():
    """Return a view of two zones, each with three VMs, alive and listed."""
    listed = tuple(
        Listed(f'{zone}-{index}', zone, f'127.2.{index}.1', False)
        for zone in ('north-a', 'south-a')
        for index in range(3)
    )
    view = EMPTY
    for entry in listed:
        heartbeat = make_heartbeat(zone=entry.zone)
        view = hear(view, entry.vm, 's', heartbeat, 0)
    return merge_list(view, listed, '', 0)


def test_only_vms_of_the_zone_share_its_slots():
    live = select_live(make_two_zones(), 'north-a', 'north-a-0', 1)
    assert live == {'north-a-0', 'north-a-1', 'north-a-2'}


def test_vms_of_a_zone_claim_all_of_its_slots():
    size, view, table = 12, make_two_zones(), Table({})
    for vm in ('north-a-0', 'north-a-1', 'north-a-2'):
        live = select_live(view, 'north-a', vm, 1)
        table = claim(table, Holding(vm, 's'), live, size)
    assert set(table.holdings) == set(range(size))


def test_silent_vm_keeps_its_slots_while_it_is_listed():
    listed = (Listed('b', 'north-a', '127.2.0.2', False),)
    view = merge_list(EMPTY, listed, 'a', 0)
    assert select_live(view, 'north-a', 'a', 1) == {'a', 'b'}


def test_unlisted_vm_keeps_its_slots_while_it_is_alive():
    view = hear(EMPTY, 'b', 's', make_heartbeat(zone='north-a'), 0)
    assert select_live(view, 'north-a', 'a', 1) == {'a', 'b'}
    assert select_live(view, 'north-a', 'a', 9) == {'a'}
