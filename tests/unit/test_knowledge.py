"""Tests of the tables that a VM knows.

While the store can't be reached, entries of targets in use expire. A VM that
took them for gone after the outage would have no targets; so it holds them for
some time. A target that left while only this VM had lost the store must not be
held.
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


def test_target_that_a_watch_dropped_during_the_absence_waits_for_its_end():
    knowledge = make_knowledge('t1')
    knowledge.start_lapse()
    knowledge.change_targets(11, {'t1': 11}, 1.0)
    assert not knowledge.drop_lapsed(9.0)
    knowledge.end_lapse(10.0, may_have_lapsed=True)
    assert not knowledge.drop_lapsed(10.0 + LAPSE_SECONDS - 0.1)
    assert knowledge.drop_lapsed(10.0 + LAPSE_SECONDS) == ('t1',)


def test_target_dropped_during_a_short_absence_waits_no_longer():
    knowledge = make_knowledge('t1')
    knowledge.start_lapse()
    knowledge.change_targets(11, {'t1': 11}, 1.0)
    knowledge.end_lapse(1.5, may_have_lapsed=False)
    assert knowledge.drop_lapsed(1.5) == ('t1',)


def pass_on(peer, knowledge, now=1.0):
    """Let a VM take what a peer has; return what was sent."""
    snapshot = peer.make_snapshot(knowledge.revisions, now)
    knowledge.take_snapshot(snapshot, now)
    assert knowledge.targets == peer.targets
    assert knowledge.lapsed.keys() == peer.lapsed.keys()
    return snapshot


def test_peer_that_knows_an_earlier_table_is_told_what_has_changed():
    peer = make_knowledge(*(f't{number}' for number in range(800)))
    knowledge = make_knowledge(revision=1)
    assert len(pass_on(peer, knowledge).targets) == 800
    written = make_target('t1', revision=11)
    peer.change_targets(12, {'t1': written, 't2': 12}, 1.0)
    snapshot = pass_on(peer, knowledge)
    assert snapshot.targets == {'t1': written}
    assert snapshot.removed == {'t2': 12}
    third = make_knowledge(revision=1)
    pass_on(knowledge, third)
    knowledge.change_targets(13, {'t3': 13}, 1.0)
    assert pass_on(knowledge, third).removed == {'t3': 13}


def test_target_that_came_and_went_between_two_tables_is_told_as_gone():
    peer = make_knowledge('t1')
    knowledge = make_knowledge('t1')
    knowledge.change_targets(11, {'t2': make_target('t2', revision=11)}, 1.0)
    peer.change_targets(12, {'t2': 12}, 1.0)
    assert pass_on(peer, knowledge).removed == {'t2': 12}


def test_whole_table_is_told_after_a_list_of_the_store():
    peer = make_knowledge('t1', 't2')
    knowledge = make_knowledge('t1', 't2')
    peer.take_targets(12, {'t2': make_target('t2')}, 1.0)
    assert pass_on(peer, knowledge).targets_since == 0


def test_target_held_for_a_lapse_is_told_with_its_time():
    peer = make_knowledge('t1', 't2')
    knowledge = make_knowledge('t1', 't2')
    peer.start_lapse()
    peer.end_lapse(10.0, may_have_lapsed=True)
    peer.change_targets(11, {'t1': 11}, 10.5)
    assert pass_on(peer, knowledge, 11.0).removed == {'t1': 11}
    assert set(knowledge.targets) == {'t1', 't2'}
    third = make_knowledge('t1', 't2')
    assert knowledge.drop_lapsed(13.0) == ('t1',)
    assert pass_on(knowledge, third, 13.0).removed == {'t1': 11}


def test_changes_end_the_hold_of_a_vm_that_lost_the_store_alone():
    peer = make_knowledge('t1', 't2')
    knowledge = make_knowledge('t1', 't2')
    peer.change_targets(11, {'t1': 11}, 1.0)
    knowledge.start_lapse()
    knowledge.change_targets(11, {'t1': 11}, 1.0)
    assert knowledge.lapsed
    peer.change_targets(12, {'t2': make_target('t2', revision=12)}, 1.0)
    pass_on(peer, knowledge)
    assert set(knowledge.targets) == {'t2'}


def test_changes_that_build_on_a_later_table_are_passed_over():
    peer = make_knowledge('t1', revision=10)
    peer.change_targets(12, {'t1': 12}, 1.0)
    knowledge = make_knowledge('t1', revision=9)
    knowledge.take_snapshot(peer.make_snapshot(Revisions(0, 11, 0), 1.0), 1.0)
    assert knowledge.revisions.targets == 9
    assert set(knowledge.targets) == {'t1'}


def test_removals_are_bounded():
    removals = Removals(most_names=2)
    removals.restart(10)
    for revision in (11, 12, 13):
        removals.note(f't{revision}', revision)
    assert not removals.knows_all_since(10)
    assert removals.knows_all_since(11)
    assert removals.list_since(11) == {'t12': 12, 't13': 13}
