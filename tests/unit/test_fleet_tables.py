"""Tests of the tables that a VM knows.

While the store can't be reached, entries of targets in use expire. A VM that
removed these targets after the outage would have none left, so it holds them
until they had time to register again. A target that left while only this VM
had lost the store must not be held.
"""

from tests.fleetdata import make_target
from toucanhall.fleet.removals import Removals
from toucanhall.fleet.revisions import Revision, Revisions
from toucanhall.fleet.tables import REREGISTRATION_SECONDS, FleetTables

ERA = 3


def at(number, era=ERA):
    """Return a revision of the store."""
    return Revision(era, number)


def make_fleet_tables(*names, revision=10):
    changes = []
    fleet_tables = FleetTables(on_change=changes.append)
    fleet_tables.replace_targets(
        at(revision),
        {name: make_target(name) for name in names},
        0.0,
    )
    return fleet_tables


def test_older_tables_are_ignored():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.replace_targets(at(9), {}, 1.0)
    fleet_tables.apply_target_changes(at(10), {'t1': 10}, 1.0)
    fleet_tables.replace_evacuations(at(5), {'east-a': 5}, 0.0)
    fleet_tables.replace_evacuations(at(4), {}, 0.0)
    assert set(fleet_tables.targets) == {'t1'}
    assert fleet_tables.evacuated_zones == {'east-a'}


def test_deleted_target_is_dropped_at_once_without_an_outage():
    fleet_tables = make_fleet_tables('t1', 't2')
    fleet_tables.apply_target_changes(at(11), {'t1': 11}, 1.0)
    assert set(fleet_tables.targets) == {'t2'}


def test_removal_that_is_older_than_the_entry_is_ignored():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.apply_target_changes(
        at(12), {'t1': make_target('t1', revision=12)}, 1.0
    )
    fleet_tables.apply_target_changes(at(13), {'t1': 11}, 1.0)
    assert set(fleet_tables.targets) == {'t1'}


def test_targets_that_expired_in_an_outage_may_register_again():
    fleet_tables = make_fleet_tables('t1', 't2')
    fleet_tables.start_store_outage()
    fleet_tables.end_store_outage(10.0, may_have_expired=True)
    fleet_tables.replace_targets(at(20), {}, 10.0)
    fleet_tables.apply_target_changes(
        at(21), {'t1': make_target('t1', revision=21)}, 11.0
    )
    assert (
        fleet_tables.drop_expired_targets(10 + REREGISTRATION_SECONDS - 0.1)
        == ()
    )
    assert fleet_tables.drop_expired_targets(
        10 + REREGISTRATION_SECONDS + 0.1
    ) == ('t2',)
    assert set(fleet_tables.targets) == {'t1'}


def test_removal_after_the_hold_is_applied_at_once():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.start_store_outage()
    fleet_tables.end_store_outage(10.0, may_have_expired=True)
    fleet_tables.apply_target_changes(
        at(11), {'t1': 11}, 10 + REREGISTRATION_SECONDS
    )
    assert not fleet_tables.targets


def test_newer_table_of_a_peer_ends_the_hold():
    peer = make_fleet_tables('t2', revision=15)
    fleet_tables = make_fleet_tables('t1', 't2')
    fleet_tables.start_store_outage()
    fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    assert set(fleet_tables.targets) == {'t2'}
    fleet_tables.end_store_outage(2.0, may_have_expired=True)
    fleet_tables.apply_target_changes(at(16), {'t2': 16}, 2.0)
    assert not fleet_tables.targets


def test_vm_drops_the_held_targets_of_a_snapshot_by_itself():
    peer = make_fleet_tables('t1')
    peer.start_store_outage()
    peer.end_store_outage(10.0, may_have_expired=True)
    peer.replace_targets(at(20), {}, 10.5)
    fleet_tables = make_fleet_tables()
    fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 11.0), 100.0)
    assert set(fleet_tables.targets) == {'t1'}
    assert fleet_tables.drop_expired_targets(102.0) == ('t1',)


def test_evacuated_zones_are_added_and_removed():
    fleet_tables = make_fleet_tables()
    fleet_tables.replace_evacuations(at(5), {'east-a': 5}, 0.0)
    fleet_tables.apply_evacuation_changes(at(6), {'west-a': 6})
    assert fleet_tables.evacuated_zones == {'east-a', 'west-a'}
    fleet_tables.apply_evacuation_changes(at(7), {'east-a': None})
    assert fleet_tables.evacuated_zones == {'west-a'}


def test_snapshot_contains_newer_tables_only():
    peer = make_fleet_tables('t1', revision=10)
    snapshot = peer.make_snapshot(Revisions(0, at(10)), 1.0)
    assert not snapshot.targets
    fleet_tables = make_fleet_tables('t2', revision=10)
    fleet_tables.apply_snapshot(snapshot, 1.0)
    assert set(fleet_tables.targets) == {'t2'}


def test_table_that_is_not_newer_than_the_outage_does_not_end_the_hold():
    peer = make_fleet_tables('t1', 't2', revision=11)
    fleet_tables = make_fleet_tables('t1', revision=10)
    fleet_tables.record_peer_revisions(peer.revisions)
    fleet_tables.start_store_outage()
    fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    fleet_tables.end_store_outage(2.0, may_have_expired=True)
    fleet_tables.replace_targets(at(12), {}, 2.0)
    assert set(fleet_tables.targets) == {'t1', 't2'}


def test_same_table_at_a_later_revision_does_not_end_the_hold():
    peer = make_fleet_tables('t1', revision=11)
    fleet_tables = make_fleet_tables('t1', revision=10)
    fleet_tables.start_store_outage()
    fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    fleet_tables.end_store_outage(2.0, may_have_expired=True)
    fleet_tables.replace_targets(at(12), {}, 2.0)
    assert set(fleet_tables.targets) == {'t1'}


def test_no_target_is_held_after_a_short_outage():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.start_store_outage()
    fleet_tables.end_store_outage(2.0, may_have_expired=False)
    fleet_tables.apply_target_changes(at(12), {'t1': 12}, 2.0)
    assert not fleet_tables.targets


def test_hold_ends_before_a_target_that_left_must_get_no_request():
    assert REREGISTRATION_SECONDS < 2.5 - 0.2


def test_target_that_is_deleted_during_an_outage_is_held_beyond_its_end():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.start_store_outage()
    fleet_tables.apply_target_changes(at(11), {'t1': 11}, 1.0)
    assert not fleet_tables.drop_expired_targets(9.0)
    fleet_tables.end_store_outage(10.0, may_have_expired=True)
    assert not fleet_tables.drop_expired_targets(
        10.0 + REREGISTRATION_SECONDS - 0.1
    )
    assert fleet_tables.drop_expired_targets(10.0 + REREGISTRATION_SECONDS) == (
        't1',
    )


def test_target_that_is_deleted_in_a_short_outage_is_held_until_its_end():
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.start_store_outage()
    fleet_tables.apply_target_changes(at(11), {'t1': 11}, 1.0)
    fleet_tables.end_store_outage(1.5, may_have_expired=False)
    assert fleet_tables.drop_expired_targets(1.5) == ('t1',)


def test_versions_of_targets_stay_when_a_vm_sends_them_without():
    versions = {'t1': make_target('t1', version='v2'), 't2': make_target('t2')}
    fleet_tables = make_fleet_tables()
    fleet_tables.replace_targets(at(11), versions, 0.0)
    peer = make_fleet_tables()
    written = {
        't1': make_target('t1', revision=12, is_draining=True),
        't2': make_target('t2', revision=12, started_at=2),
    }
    peer.replace_targets(at(12), written, 0.0)
    fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    assert fleet_tables.targets == {
        't1': written['t1']._replace(version='v2'),
        't2': written['t2'],
    }


def send_snapshot(peer, fleet_tables, now=1.0):
    """Apply a snapshot of a peer's tables to those of a VM; return it."""
    snapshot = peer.make_snapshot(fleet_tables.revisions, now)
    fleet_tables.apply_snapshot(snapshot, now)
    assert fleet_tables.targets == peer.targets
    assert fleet_tables.held_targets.keys() == peer.held_targets.keys()
    return snapshot


def test_vm_that_knows_an_earlier_table_gets_only_the_changes():
    peer = make_fleet_tables(*(f't{number}' for number in range(800)))
    fleet_tables = make_fleet_tables(revision=1)
    assert len(send_snapshot(peer, fleet_tables).targets) == 800
    written = make_target('t1', revision=11)
    peer.apply_target_changes(at(12), {'t1': written, 't2': 12}, 1.0)
    snapshot = send_snapshot(peer, fleet_tables)
    assert snapshot.targets == {'t1': written}
    assert snapshot.removed == {'t2': 12}
    third = make_fleet_tables(revision=1)
    send_snapshot(fleet_tables, third)
    fleet_tables.apply_target_changes(at(13), {'t3': 13}, 1.0)
    assert send_snapshot(fleet_tables, third).removed == {'t3': 13}


def test_snapshot_has_the_removal_of_a_target_that_only_the_receiver_knew():
    peer = make_fleet_tables('t1')
    fleet_tables = make_fleet_tables('t1')
    fleet_tables.apply_target_changes(
        at(11), {'t2': make_target('t2', revision=11)}, 1.0
    )
    peer.apply_target_changes(at(12), {'t2': 12}, 1.0)
    assert send_snapshot(peer, fleet_tables).removed == {'t2': 12}


def test_snapshot_has_the_whole_table_after_it_was_read_from_the_store():
    peer = make_fleet_tables('t1', 't2')
    fleet_tables = make_fleet_tables('t1', 't2')
    peer.replace_targets(at(12), {'t2': make_target('t2')}, 1.0)
    assert send_snapshot(peer, fleet_tables).targets_since == Revision()


def test_snapshot_has_held_targets_with_their_time():
    peer = make_fleet_tables('t1', 't2')
    fleet_tables = make_fleet_tables('t1', 't2')
    peer.start_store_outage()
    peer.end_store_outage(10.0, may_have_expired=True)
    peer.apply_target_changes(at(11), {'t1': 11}, 10.5)
    assert send_snapshot(peer, fleet_tables, 11.0).removed == {'t1': 11}
    assert set(fleet_tables.targets) == {'t1', 't2'}
    third = make_fleet_tables('t1', 't2')
    assert fleet_tables.drop_expired_targets(13.0) == ('t1',)
    assert send_snapshot(fleet_tables, third, 13.0).removed == {'t1': 11}


def test_newer_changes_of_a_peer_end_the_hold():
    peer = make_fleet_tables('t1', 't2')
    fleet_tables = make_fleet_tables('t1', 't2')
    peer.apply_target_changes(at(11), {'t1': 11}, 1.0)
    fleet_tables.start_store_outage()
    fleet_tables.apply_target_changes(at(11), {'t1': 11}, 1.0)
    assert fleet_tables.held_targets
    peer.apply_target_changes(
        at(12), {'t2': make_target('t2', revision=12)}, 1.0
    )
    send_snapshot(peer, fleet_tables)
    assert set(fleet_tables.targets) == {'t2'}


def test_changes_that_build_on_an_unknown_table_are_ignored():
    peer = make_fleet_tables('t1', revision=10)
    peer.apply_target_changes(at(12), {'t1': 12}, 1.0)
    fleet_tables = make_fleet_tables('t1', revision=9)
    fleet_tables.apply_snapshot(
        peer.make_snapshot(Revisions(0, at(11)), 1.0), 1.0
    )
    assert fleet_tables.revisions.targets == at(9)
    assert set(fleet_tables.targets) == {'t1'}


def test_oldest_removals_are_dropped_beyond_the_maximum():
    removals = Removals(max_names=2)
    removals.restart(10)
    for revision in (11, 12, 13):
        removals.record(f't{revision}', revision)
    assert not removals.knows_all_since(10)
    assert removals.knows_all_since(11)
    assert removals.list_since(11) == {'t12': 12, 't13': 13}


def test_vm_behind_learns_of_a_removal_that_bears_the_last_write():
    fleet_tables = make_fleet_tables('t1', 't2')
    peer = make_fleet_tables('t1', 't2')
    fleet_tables.apply_target_changes(at(12), {'t1': 1}, 1.0)
    send_snapshot(fleet_tables, peer)
    assert set(peer.targets) == {'t2'}
