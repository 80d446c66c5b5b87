"""Tests of the tables that a VM knows, and of the other VMs."""

import pytest

from tests.fleetdata import make_heartbeat, make_target
from toucanhall.fleet.knowledge import LAPSE_SECONDS, Knowledge, Revisions
from toucanhall.fleet.membership import (
    ALIVE_SECONDS,
    GONE_SECONDS,
    Members,
    pick_watchers,
)
from toucanhall.fleet.model import Introduction


def make_knowledge(*names, revision=10):
    changes = []
    knowledge = Knowledge(on_change=changes.append)
    knowledge.take_targets(
        revision,
        {name: make_target(name) for name in names},
        0.0,
    )
    return knowledge


def test_older_tables_are_not_taken():
    knowledge = make_knowledge('t1')
    knowledge.take_targets(9, {}, 1.0)
    knowledge.change_targets(10, {'t1': 10}, 1.0)
    knowledge.take_evacuations(5, ['east-a'])
    knowledge.take_evacuations(4, [])
    assert set(knowledge.targets) == {'t1'}
    assert knowledge.evacuated == {'east-a'}


def test_removed_target_is_dropped_at_once_while_the_store_answers():
    knowledge = make_knowledge('t1', 't2')
    knowledge.change_targets(11, {'t1': 11}, 1.0)
    assert set(knowledge.targets) == {'t2'}


def test_removal_that_is_older_than_the_entry_is_passed_over():
    knowledge = make_knowledge('t1')
    knowledge.change_targets(12, {'t1': make_target('t1', revision=12)}, 1.0)
    knowledge.change_targets(13, {'t1': 11}, 1.0)
    assert set(knowledge.targets) == {'t1'}


def test_targets_that_lapsed_with_the_store_get_time_to_return():
    knowledge = make_knowledge('t1', 't2')
    knowledge.start_lapse()
    knowledge.end_lapse(10.0, may_have_lapsed=True)
    knowledge.take_targets(20, {}, 10.0)
    knowledge.change_targets(21, {'t1': make_target('t1', revision=21)}, 11.0)
    assert knowledge.drop_lapsed(10 + LAPSE_SECONDS - 0.1) == ()
    assert knowledge.drop_lapsed(10 + LAPSE_SECONDS + 0.1) == ('t2',)
    assert set(knowledge.targets) == {'t1'}


def test_removal_after_the_wait_is_taken_at_once():
    knowledge = make_knowledge('t1')
    knowledge.start_lapse()
    knowledge.end_lapse(10.0, may_have_lapsed=True)
    knowledge.change_targets(11, {'t1': 11}, 10 + LAPSE_SECONDS)
    assert not knowledge.targets


def test_table_of_a_peer_ends_the_wait_of_a_vm_that_lost_the_store_alone():
    peer = make_knowledge('t2', revision=15)
    knowledge = make_knowledge('t1', 't2')
    knowledge.start_lapse()
    knowledge.take_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    assert set(knowledge.targets) == {'t2'}
    knowledge.end_lapse(2.0, may_have_lapsed=True)
    knowledge.change_targets(16, {'t2': 16}, 2.0)
    assert not knowledge.targets


def test_vm_that_takes_a_table_drops_lapsed_targets_by_itself():
    peer = make_knowledge('t1')
    peer.start_lapse()
    peer.end_lapse(10.0, may_have_lapsed=True)
    peer.take_targets(20, {}, 10.5)
    knowledge = make_knowledge()
    knowledge.take_snapshot(peer.make_snapshot(Revisions(), 11.0), 100.0)
    assert set(knowledge.targets) == {'t1'}
    assert knowledge.drop_lapsed(102.0) == ('t1',)


def test_evacuations_are_added_and_dropped():
    knowledge = make_knowledge()
    knowledge.take_evacuations(5, ['east-a'])
    knowledge.change_evacuations(6, {'west-a': True})
    assert knowledge.evacuated == {'east-a', 'west-a'}
    knowledge.change_evacuations(7, {'east-a': False})
    assert knowledge.evacuated == {'west-a'}


def test_silent_vm_is_not_alive_but_remembered():
    members = Members()
    assert members.hear(make_heartbeat('vm-1'), 1.0)
    assert not members.hear(make_heartbeat('vm-1'), 1.5)
    late = 1.5 + ALIVE_SECONDS + 0.1
    assert members.list_alive(late) == []
    assert [told.is_late for told in members.list_told(late)] == [True]
    assert members.hear(make_heartbeat('vm-1'), late)


def test_heartbeat_of_an_earlier_start_is_passed_over():
    members = Members()
    members.hear(make_heartbeat('vm-1', started_at=5), 1.0)
    assert not members.hear(make_heartbeat('vm-1', started_at=4), 2.0)
    assert members.peers['vm-1'].heartbeat.started_at == 5


def test_vm_that_stood_still_does_not_take_the_others_for_dead():
    members = Members()
    members.hear(make_heartbeat('vm-1'), 1.0)
    members.excuse(6.0)
    assert members.list_alive(8.0)


def test_introduction_is_new_once():
    members = Members()
    found = Introduction('vm-9', 'east-a', '127.0.0.9')
    assert members.introduce(found)
    assert not members.introduce(found)


@pytest.mark.parametrize(
    ('count', 'expected'),
    ((1, ['vm-1']), (2, ['vm-1', 'vm-2'])),
)
def test_first_vms_of_a_zone_watch(count, expected):
    alive = [
        make_heartbeat('vm-1'),
        make_heartbeat('vm-0', zone='west-a'),
        make_heartbeat('vm-0', is_leaving=True),
    ]
    assert pick_watchers('vm-2', 'east-a', alive, count) == expected


def test_snapshot_holds_newer_tables_only():
    peer = make_knowledge('t1', revision=10)
    snapshot = peer.make_snapshot(Revisions(0, 10, 0), 1.0)
    assert not snapshot.targets
    knowledge = make_knowledge('t2', revision=10)
    knowledge.take_snapshot(snapshot, 1.0)
    assert set(knowledge.targets) == {'t2'}


def test_table_that_was_heard_of_before_the_loss_does_not_end_the_wait():
    peer = make_knowledge('t1', 't2', revision=11)
    knowledge = make_knowledge('t1', revision=10)
    knowledge.hear(peer.revisions)
    knowledge.start_lapse()
    knowledge.take_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    knowledge.end_lapse(2.0, may_have_lapsed=True)
    knowledge.take_targets(12, {}, 2.0)
    assert set(knowledge.targets) == {'t1', 't2'}


def test_same_table_at_a_later_revision_does_not_end_the_wait():
    peer = make_knowledge('t1', revision=11)
    knowledge = make_knowledge('t1', revision=10)
    knowledge.start_lapse()
    knowledge.take_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    knowledge.end_lapse(2.0, may_have_lapsed=True)
    knowledge.take_targets(12, {}, 2.0)
    assert set(knowledge.targets) == {'t1'}


def test_short_absence_of_the_store_lets_no_target_lapse():
    knowledge = make_knowledge('t1')
    knowledge.start_lapse()
    knowledge.end_lapse(2.0, may_have_lapsed=False)
    knowledge.change_targets(12, {'t1': 12}, 2.0)
    assert not knowledge.targets


def test_wait_ends_before_a_target_that_left_must_get_nothing():
    assert LAPSE_SECONDS < 2.5 - 0.2


def test_vm_that_has_gone_is_dropped_and_can_be_introduced_again():
    members = Members()
    members.hear(make_heartbeat('vm-1'), 1.0)
    assert members.drop_gone(GONE_SECONDS) == []
    (found,) = members.drop_gone(1.5 + GONE_SECONDS)
    assert found.vm == 'vm-1'
    assert not members.peers
    assert members.introduce(found)
