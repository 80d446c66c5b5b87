"""Tests of the tables that a VM knows.

While the store can't be reached, entries of targets in use expire. A VM that
removed these targets after the outage would have none left, so it holds them
until they had time to register again. A target that left while only this VM
had lost the store must not be held.
"""

from tests.fleetdata import make_target
from toucanhall.fleet.knowledge import LAPSE_SECONDS, Knowledge, Revisions
from toucanhall.fleet.removals import Removals


def make_knowledge(*names, revision=10):
    changes = []
    knowledge = Knowledge(on_change=changes.append)
    knowledge.take_targets(
        revision,
        {name: make_target(name) for name in names},
        0.0,
    )
    return knowledge


def test_older_tables_are_ignored():
    knowledge = make_knowledge('t1')
    knowledge.take_targets(9, {}, 1.0)
    knowledge.change_targets(10, {'t1': 10}, 1.0)
    knowledge.take_evacuations(5, ['east-a'])
    knowledge.take_evacuations(4, [])
    assert set(knowledge.targets) == {'t1'}
    assert knowledge.evacuated == {'east-a'}


def test_deleted_target_is_dropped_at_once_without_an_outage():
    knowledge = make_knowledge('t1', 't2')
    knowledge.change_targets(11, {'t1': 11}, 1.0)
    assert set(knowledge.targets) == {'t2'}


def test_removal_that_is_older_than_the_entry_is_ignored():
    knowledge = make_knowledge('t1')
    knowledge.change_targets(12, {'t1': make_target('t1', revision=12)}, 1.0)
    knowledge.change_targets(13, {'t1': 11}, 1.0)
    assert set(knowledge.targets) == {'t1'}


def test_targets_that_expired_in_an_outage_may_register_again():
    knowledge = make_knowledge('t1', 't2')
    knowledge.start_lapse()
    knowledge.end_lapse(10.0, may_have_lapsed=True)
    knowledge.take_targets(20, {}, 10.0)
    knowledge.change_targets(21, {'t1': make_target('t1', revision=21)}, 11.0)
    assert knowledge.drop_lapsed(10 + LAPSE_SECONDS - 0.1) == ()
    assert knowledge.drop_lapsed(10 + LAPSE_SECONDS + 0.1) == ('t2',)
    assert set(knowledge.targets) == {'t1'}


def test_removal_after_the_hold_is_applied_at_once():
    knowledge = make_knowledge('t1')
    knowledge.start_lapse()
    knowledge.end_lapse(10.0, may_have_lapsed=True)
    knowledge.change_targets(11, {'t1': 11}, 10 + LAPSE_SECONDS)
    assert not knowledge.targets


def test_newer_table_of_a_peer_ends_the_hold():
    peer = make_knowledge('t2', revision=15)
    knowledge = make_knowledge('t1', 't2')
    knowledge.start_lapse()
    knowledge.take_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    assert set(knowledge.targets) == {'t2'}
    knowledge.end_lapse(2.0, may_have_lapsed=True)
    knowledge.change_targets(16, {'t2': 16}, 2.0)
    assert not knowledge.targets


def test_vm_drops_the_held_targets_of_a_snapshot_by_itself():
    peer = make_knowledge('t1')
    peer.start_lapse()
    peer.end_lapse(10.0, may_have_lapsed=True)
    peer.take_targets(20, {}, 10.5)
    knowledge = make_knowledge()
    knowledge.take_snapshot(peer.make_snapshot(Revisions(), 11.0), 100.0)
    assert set(knowledge.targets) == {'t1'}
    assert knowledge.drop_lapsed(102.0) == ('t1',)


def test_evacuated_zones_are_added_and_removed():
    knowledge = make_knowledge()
    knowledge.take_evacuations(5, ['east-a'])
    knowledge.change_evacuations(6, {'west-a': True})
    assert knowledge.evacuated == {'east-a', 'west-a'}
    knowledge.change_evacuations(7, {'east-a': False})
    assert knowledge.evacuated == {'west-a'}


def test_snapshot_contains_newer_tables_only():
    peer = make_knowledge('t1', revision=10)
    snapshot = peer.make_snapshot(Revisions(0, 10, 0), 1.0)
    assert not snapshot.targets
    knowledge = make_knowledge('t2', revision=10)
    knowledge.take_snapshot(snapshot, 1.0)
    assert set(knowledge.targets) == {'t2'}


def test_table_that_is_not_newer_than_the_outage_does_not_end_the_hold():
    peer = make_knowledge('t1', 't2', revision=11)
    knowledge = make_knowledge('t1', revision=10)
    knowledge.hear(peer.revisions)
    knowledge.start_lapse()
    knowledge.take_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    knowledge.end_lapse(2.0, may_have_lapsed=True)
    knowledge.take_targets(12, {}, 2.0)
    assert set(knowledge.targets) == {'t1', 't2'}


def test_same_table_at_a_later_revision_does_not_end_the_hold():
    peer = make_knowledge('t1', revision=11)
    knowledge = make_knowledge('t1', revision=10)
    knowledge.start_lapse()
    knowledge.take_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    knowledge.end_lapse(2.0, may_have_lapsed=True)
    knowledge.take_targets(12, {}, 2.0)
    assert set(knowledge.targets) == {'t1'}


def test_no_target_is_held_after_a_short_outage():
    knowledge = make_knowledge('t1')
    knowledge.start_lapse()
    knowledge.end_lapse(2.0, may_have_lapsed=False)
    knowledge.change_targets(12, {'t1': 12}, 2.0)
    assert not knowledge.targets


def test_hold_ends_before_a_target_that_left_must_get_no_request():
    assert LAPSE_SECONDS < 2.5 - 0.2


def test_target_that_is_deleted_during_an_outage_is_held_beyond_its_end():
    knowledge = make_knowledge('t1')
    knowledge.start_lapse()
    knowledge.change_targets(11, {'t1': 11}, 1.0)
    assert not knowledge.drop_lapsed(9.0)
    knowledge.end_lapse(10.0, may_have_lapsed=True)
    assert not knowledge.drop_lapsed(10.0 + LAPSE_SECONDS - 0.1)
    assert knowledge.drop_lapsed(10.0 + LAPSE_SECONDS) == ('t1',)


def test_target_that_is_deleted_in_a_short_outage_is_held_until_its_end():
    knowledge = make_knowledge('t1')
    knowledge.start_lapse()
    knowledge.change_targets(11, {'t1': 11}, 1.0)
    knowledge.end_lapse(1.5, may_have_lapsed=False)
    assert knowledge.drop_lapsed(1.5) == ('t1',)


def send_snapshot(peer, knowledge, now=1.0):
    """Apply a snapshot of a peer's tables to those of a VM; return it."""
    snapshot = peer.make_snapshot(knowledge.revisions, now)
    knowledge.take_snapshot(snapshot, now)
    assert knowledge.targets == peer.targets
    assert knowledge.lapsed.keys() == peer.lapsed.keys()
    return snapshot


def test_vm_that_knows_an_earlier_table_gets_only_the_changes():
    peer = make_knowledge(*(f't{number}' for number in range(800)))
    knowledge = make_knowledge(revision=1)
    assert len(send_snapshot(peer, knowledge).targets) == 800
    written = make_target('t1', revision=11)
    peer.change_targets(12, {'t1': written, 't2': 12}, 1.0)
    snapshot = send_snapshot(peer, knowledge)
    assert snapshot.targets == {'t1': written}
    assert snapshot.removed == {'t2': 12}
    third = make_knowledge(revision=1)
    send_snapshot(knowledge, third)
    knowledge.change_targets(13, {'t3': 13}, 1.0)
    assert send_snapshot(knowledge, third).removed == {'t3': 13}


def test_snapshot_has_the_removal_of_a_target_that_only_the_receiver_knew():
    peer = make_knowledge('t1')
    knowledge = make_knowledge('t1')
    knowledge.change_targets(11, {'t2': make_target('t2', revision=11)}, 1.0)
    peer.change_targets(12, {'t2': 12}, 1.0)
    assert send_snapshot(peer, knowledge).removed == {'t2': 12}


def test_snapshot_has_the_whole_table_after_it_was_read_from_the_store():
    peer = make_knowledge('t1', 't2')
    knowledge = make_knowledge('t1', 't2')
    peer.take_targets(12, {'t2': make_target('t2')}, 1.0)
    assert send_snapshot(peer, knowledge).targets_since == 0


def test_snapshot_has_held_targets_with_their_time():
    peer = make_knowledge('t1', 't2')
    knowledge = make_knowledge('t1', 't2')
    peer.start_lapse()
    peer.end_lapse(10.0, may_have_lapsed=True)
    peer.change_targets(11, {'t1': 11}, 10.5)
    assert send_snapshot(peer, knowledge, 11.0).removed == {'t1': 11}
    assert set(knowledge.targets) == {'t1', 't2'}
    third = make_knowledge('t1', 't2')
    assert knowledge.drop_lapsed(13.0) == ('t1',)
    assert send_snapshot(knowledge, third, 13.0).removed == {'t1': 11}


def test_newer_changes_of_a_peer_end_the_hold():
    peer = make_knowledge('t1', 't2')
    knowledge = make_knowledge('t1', 't2')
    peer.change_targets(11, {'t1': 11}, 1.0)
    knowledge.start_lapse()
    knowledge.change_targets(11, {'t1': 11}, 1.0)
    assert knowledge.lapsed
    peer.change_targets(12, {'t2': make_target('t2', revision=12)}, 1.0)
    send_snapshot(peer, knowledge)
    assert set(knowledge.targets) == {'t2'}


def test_changes_that_build_on_an_unknown_table_are_ignored():
    peer = make_knowledge('t1', revision=10)
    peer.change_targets(12, {'t1': 12}, 1.0)
    knowledge = make_knowledge('t1', revision=9)
    knowledge.take_snapshot(peer.make_snapshot(Revisions(0, 11, 0), 1.0), 1.0)
    assert knowledge.revisions.targets == 9
    assert set(knowledge.targets) == {'t1'}


def test_oldest_removals_are_dropped_beyond_the_maximum():
    removals = Removals(most_names=2)
    removals.restart(10)
    for revision in (11, 12, 13):
        removals.note(f't{revision}', revision)
    assert not removals.knows_all_since(10)
    assert removals.knows_all_since(11)
    assert removals.list_since(11) == {'t12': 12, 't13': 13}
