"""Tests of the tables that a VM knows."""

from tests.fleetdata import make_target
from toucanhall.fleet.tables import (
    REREGISTRATION_SECONDS,
    FleetTables,
    Revisions,
)
from toucanhall.fleet.removals import Removals


def make_fleet_tables(*names, revision=10):
    changes = []
    fleet_tables = FleetTables(on_change=changes.append)
    fleet_tables.replace_targets(
        revision,
        {name: make_target(name) for name in names},
        0.0,
    )
    return fleet_tables


def test_older_tables_are_not_taken():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.replace_targets(9, {}, 1.0)
    fleet_tables.apply_target_changes(10, {'t1': 10}, 1.0)
    fleet_tables.replace_evacuations(5, ['east-a'])
    fleet_tables.replace_evacuations(4, [])
    assert set(fleet_tables.targets) == {'t1'}
    assert fleet_tables.evacuated_zones == {'east-a'}


def test_removed_target_is_dropped_at_once_while_the_store_answers():
    fleet_tables = make_fleet_tables('t1', 't2')
    fleet_tables.apply_target_changes(11, {'t1': 11}, 1.0)
    assert set(fleet_tables.targets) == {'t2'}


def test_removal_that_is_older_than_the_entry_is_passed_over():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.apply_target_changes(
        12, {'t1': make_target('t1', revision=12)}, 1.0
    )
    fleet_tables.apply_target_changes(13, {'t1': 11}, 1.0)
    assert set(fleet_tables.targets) == {'t1'}


def test_targets_that_lapsed_with_the_store_get_time_to_return():
    fleet_tables = make_fleet_tables('t1', 't2')
    fleet_tables.start_store_outage()
    fleet_tables.end_store_outage(10.0, may_have_expired=True)
    fleet_tables.replace_targets(20, {}, 10.0)
    fleet_tables.apply_target_changes(
        21, {'t1': make_target('t1', revision=21)}, 11.0
    )
    assert (
        fleet_tables.drop_expired_targets(10 + REREGISTRATION_SECONDS - 0.1)
        == ()
    )
    assert fleet_tables.drop_expired_targets(
        10 + REREGISTRATION_SECONDS + 0.1
    ) == ('t2',)
    assert set(fleet_tables.targets) == {'t1'}


def test_removal_after_the_wait_is_taken_at_once():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.start_store_outage()
    fleet_tables.end_store_outage(10.0, may_have_expired=True)
    fleet_tables.apply_target_changes(
        11, {'t1': 11}, 10 + REREGISTRATION_SECONDS
    )
    assert not fleet_tables.targets


def test_table_of_a_peer_ends_the_wait_of_a_vm_that_lost_the_store_alone():
    peer = make_fleet_tables('t2', revision=15)
    fleet_tables = make_fleet_tables('t1', 't2')
    fleet_tables.start_store_outage()
    fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    assert set(fleet_tables.targets) == {'t2'}
    fleet_tables.end_store_outage(2.0, may_have_expired=True)
    fleet_tables.apply_target_changes(16, {'t2': 16}, 2.0)
    assert not fleet_tables.targets


def test_vm_that_takes_a_table_drops_lapsed_targets_by_itself():
    peer = make_fleet_tables('t1')
    peer.start_store_outage()
    peer.end_store_outage(10.0, may_have_expired=True)
    peer.replace_targets(20, {}, 10.5)
    fleet_tables = make_fleet_tables()
    fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 11.0), 100.0)
    assert set(fleet_tables.targets) == {'t1'}
    assert fleet_tables.drop_expired_targets(102.0) == ('t1',)


def test_evacuations_are_added_and_dropped():
    fleet_tables = make_fleet_tables()
    fleet_tables.replace_evacuations(5, ['east-a'])
    fleet_tables.apply_evacuation_changes(6, {'west-a': True})
    assert fleet_tables.evacuated_zones == {'east-a', 'west-a'}
    fleet_tables.apply_evacuation_changes(7, {'east-a': False})
    assert fleet_tables.evacuated_zones == {'west-a'}


def test_snapshot_holds_newer_tables_only():
    peer = make_fleet_tables('t1', revision=10)
    snapshot = peer.make_snapshot(Revisions(0, 10, 0), 1.0)
    assert not snapshot.targets
    fleet_tables = make_fleet_tables('t2', revision=10)
    fleet_tables.apply_snapshot(snapshot, 1.0)
    assert set(fleet_tables.targets) == {'t2'}


def test_table_that_was_heard_of_before_the_loss_does_not_end_the_wait():
    peer = make_fleet_tables('t1', 't2', revision=11)
    fleet_tables = make_fleet_tables('t1', revision=10)
    fleet_tables.record_peer_revisions(peer.revisions)
    fleet_tables.start_store_outage()
    fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    fleet_tables.end_store_outage(2.0, may_have_expired=True)
    fleet_tables.replace_targets(12, {}, 2.0)
    assert set(fleet_tables.targets) == {'t1', 't2'}


def test_same_table_at_a_later_revision_does_not_end_the_wait():
    peer = make_fleet_tables('t1', revision=11)
    fleet_tables = make_fleet_tables('t1', revision=10)
    fleet_tables.start_store_outage()
    fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    fleet_tables.end_store_outage(2.0, may_have_expired=True)
    fleet_tables.replace_targets(12, {}, 2.0)
    assert set(fleet_tables.targets) == {'t1'}


def test_short_absence_of_the_store_lets_no_target_lapse():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.start_store_outage()
    fleet_tables.end_store_outage(2.0, may_have_expired=False)
    fleet_tables.apply_target_changes(12, {'t1': 12}, 2.0)
    assert not fleet_tables.targets


def test_wait_ends_before_a_target_that_left_must_get_nothing():
    assert REREGISTRATION_SECONDS < 2.5 - 0.2


def test_target_that_a_watch_dropped_during_the_absence_waits_for_its_end():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.start_store_outage()
    fleet_tables.apply_target_changes(11, {'t1': 11}, 1.0)
    assert not fleet_tables.drop_expired_targets(9.0)
    fleet_tables.end_store_outage(10.0, may_have_expired=True)
    assert not fleet_tables.drop_expired_targets(
        10.0 + REREGISTRATION_SECONDS - 0.1
    )
    assert fleet_tables.drop_expired_targets(10.0 + REREGISTRATION_SECONDS) == (
        't1',
    )


def test_target_dropped_during_a_short_absence_waits_no_longer():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.start_store_outage()
    fleet_tables.apply_target_changes(11, {'t1': 11}, 1.0)
    fleet_tables.end_store_outage(1.5, may_have_expired=False)
    assert fleet_tables.drop_expired_targets(1.5) == ('t1',)


def pass_on(peer, fleet_tables, now=1.0):
    """Let a VM take what a peer has; return what was sent."""
    snapshot = peer.make_snapshot(fleet_tables.revisions, now)
    fleet_tables.apply_snapshot(snapshot, now)
    assert fleet_tables.targets == peer.targets
    assert fleet_tables.held_targets.keys() == peer.held_targets.keys()
    return snapshot


def test_peer_that_knows_an_earlier_table_is_told_what_has_changed():
    peer = make_fleet_tables(*(f't{number}' for number in range(800)))
    fleet_tables = make_fleet_tables(revision=1)
    assert len(pass_on(peer, fleet_tables).targets) == 800
    written = make_target('t1', revision=11)
    peer.apply_target_changes(12, {'t1': written, 't2': 12}, 1.0)
    snapshot = pass_on(peer, fleet_tables)
    assert snapshot.targets == {'t1': written}
    assert snapshot.removed == {'t2': 12}
    third = make_fleet_tables(revision=1)
    pass_on(fleet_tables, third)
    fleet_tables.apply_target_changes(13, {'t3': 13}, 1.0)
    assert pass_on(fleet_tables, third).removed == {'t3': 13}


def test_target_that_came_and_went_between_two_tables_is_told_as_gone():
    peer = make_fleet_tables('t1')
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.apply_target_changes(
        11, {'t2': make_target('t2', revision=11)}, 1.0
    )
    peer.apply_target_changes(12, {'t2': 12}, 1.0)
    assert pass_on(peer, fleet_tables).removed == {'t2': 12}


def test_whole_table_is_told_after_a_list_of_the_store():
    peer = make_fleet_tables('t1', 't2')
    fleet_tables = make_fleet_tables('t1', 't2')
    peer.replace_targets(12, {'t2': make_target('t2')}, 1.0)
    assert pass_on(peer, fleet_tables).targets_since == 0


def test_target_held_for_a_lapse_is_told_with_its_time():
    peer = make_fleet_tables('t1', 't2')
    fleet_tables = make_fleet_tables('t1', 't2')
    peer.start_store_outage()
    peer.end_store_outage(10.0, may_have_expired=True)
    peer.apply_target_changes(11, {'t1': 11}, 10.5)
    assert pass_on(peer, fleet_tables, 11.0).removed == {'t1': 11}
    assert set(fleet_tables.targets) == {'t1', 't2'}
    third = make_fleet_tables('t1', 't2')
    assert fleet_tables.drop_expired_targets(13.0) == ('t1',)
    assert pass_on(fleet_tables, third, 13.0).removed == {'t1': 11}


def test_changes_end_the_hold_of_a_vm_that_lost_the_store_alone():
    peer = make_fleet_tables('t1', 't2')
    fleet_tables = make_fleet_tables('t1', 't2')
    peer.apply_target_changes(11, {'t1': 11}, 1.0)
    fleet_tables.start_store_outage()
    fleet_tables.apply_target_changes(11, {'t1': 11}, 1.0)
    assert fleet_tables.held_targets
    peer.apply_target_changes(12, {'t2': make_target('t2', revision=12)}, 1.0)
    pass_on(peer, fleet_tables)
    assert set(fleet_tables.targets) == {'t2'}


def test_changes_that_build_on_a_later_table_are_passed_over():
    peer = make_fleet_tables('t1', revision=10)
    peer.apply_target_changes(12, {'t1': 12}, 1.0)
    fleet_tables = make_fleet_tables('t1', revision=9)
    fleet_tables.apply_snapshot(
        peer.make_snapshot(Revisions(0, 11, 0), 1.0), 1.0
    )
    assert fleet_tables.revisions.targets == 9
    assert set(fleet_tables.targets) == {'t1'}


def test_removals_are_bounded():
    removals = Removals(max_names=2)
    removals.restart(10)
    for revision in (11, 12, 13):
        removals.record(f't{revision}', revision)
    assert not removals.knows_all_since(10)
    assert removals.knows_all_since(11)
    assert removals.list_since(11) == {'t12': 12, 't13': 13}
