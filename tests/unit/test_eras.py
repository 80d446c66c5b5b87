"""Tests of tables when the store comes back from a copy: in a new era.

Failures that they guard against: a confirmed version or a withdrawal that was
lost with the store is undone, or a change after it counts as an older one.
"""

import asyncio
import json

import pytest

from tests.fleetdata import make_store, make_target
from toucanhall.fleet.departures import Departures
from toucanhall.fleet.evacuations import HOLD_SECONDS, EvacuationTable
from toucanhall.fleet.model import Address, ClientLimits, Configuration
from toucanhall.fleet.revisions import Revision, Revisions, is_ahead
from toucanhall.fleet.tables import REREGISTRATION_SECONDS, FleetTables
from toucanhall.platform.store import (
    EraChangedError,
    HistoryLostError,
    StoreError,
)

ADDRESS = Address('127.64.208.1', 8382)
LIMITS = ClientLimits(1, 1, 1.0, 1.0)


def make_configuration(version):
    return Configuration(version, {}, {}, {}, {}, LIMITS)


FIRST_ERA = Revision(1, 90)


def make_fleet_tables(*targets, revision=FIRST_ERA):
    fleet_tables = FleetTables(on_change=lambda _table: None)
    fleet_tables.replace_targets(revision, index(targets), 0.0)
    return fleet_tables


def index(targets):
    return {target.id: target for target in targets}


def make_entry(sequence, **fields):
    """Return an entry of the target t1 by its count of writes."""
    return make_target('t1', sequence=sequence, **fields)


@pytest.mark.parametrize(
    ('found', 'own', 'expected'),
    (
        (Revisions(4), Revisions(3, Revision(9, 9)), True),
        (Revisions(3, Revision(2, 5)), Revisions(3, Revision(1, 80)), True),
        (Revisions(3, Revision(1, 80)), Revisions(3, Revision(2, 5)), False),
        (Revisions(3, Revision(2, 6)), Revisions(3, Revision(2, 5)), True),
        (
            Revisions(3, Revision(), Revision(2, 1)),
            Revisions(3, Revision(), Revision(1, 7)),
            True,
        ),
        (Revisions(), Revisions(), False),
    ),
)
def test_tables_of_a_later_era_are_newer(found, own, expected):
    assert is_ahead(found, own) is expected


def test_confirmed_version_never_goes_back():
    fleet_tables = make_fleet_tables()
    for version in (8, 9, 8, 7):
        fleet_tables.replace_configuration(make_configuration(version))
    assert fleet_tables.configuration.version == 9
    fleet_tables.replace_configuration(make_configuration(10))
    assert fleet_tables.revisions.configuration == 10


@pytest.mark.parametrize(
    ('known', 'copied', 'expected'),
    (
        # Written in the lost seconds.
        (make_entry(7, is_draining=True), make_entry(4), (7, True)),
        (make_entry(7, slots=3), make_entry(4), (7, False)),
        # Written again, or later, before the table was read.
        (make_entry(7), make_entry(8, is_draining=True), (8, True)),
        (make_entry(7), make_entry(7), (7, False)),
        # Started again: the count starts anew.
        (
            make_entry(7, is_draining=True),
            make_entry(1, started_at=2),
            (1, False),
        ),
        (make_entry(1, started_at=2), make_entry(7), (1, False)),
    ),
)
def test_newest_entry_of_a_target_is_kept(known, copied, expected):
    fleet_tables = make_fleet_tables(known)
    copied = copied._replace(revision=40)
    fleet_tables.replace_targets(Revision(2, 60), index([copied]), 1.0)
    found = fleet_tables.targets['t1']
    assert (found.sequence, found.is_draining) == expected
    assert found.revision == 40
    written = make_entry(9, revision=61, slots=2)
    fleet_tables.apply_target_changes(Revision(2, 61), {'t1': written}, 1.0)
    assert fleet_tables.targets['t1'] == written


@pytest.mark.parametrize(
    ('entry', 'is_used'),
    (
        (make_entry(4, revision=40), False),
        (make_entry(5, revision=40), False),
        (make_entry(6, revision=40), True),
        (make_entry(1, started_at=2, revision=40), True),
    ),
)
@pytest.mark.parametrize('is_snapshot', (True, False))
def test_target_that_left_in_the_lost_seconds_stays_so(
    entry, is_used, is_snapshot
):
    fleet_tables = make_fleet_tables(make_entry(5))
    fleet_tables.apply_target_changes(Revision(1, 91), {'t1': 91}, 1.0)
    revision, targets = Revision(2, 60), index([entry])
    if is_snapshot:
        peer = make_fleet_tables(entry, revision=revision)
        fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    else:
        fleet_tables.replace_targets(revision, targets, 1.0)
    assert ('t1' in fleet_tables.targets) is is_used
    fleet_tables.replace_targets(Revision(2, 62), targets, 2.0)
    assert ('t1' in fleet_tables.targets) is is_used
    written = make_entry(1, revision=63)
    fleet_tables.apply_target_changes(Revision(2, 63), {'t1': written}, 3.0)
    assert 't1' in fleet_tables.targets


def test_target_that_the_store_lost_may_register_again():
    fleet_tables = make_fleet_tables(make_entry(1, revision=80))
    fleet_tables.replace_targets(Revision(2, 60), {}, 10.0)
    assert 't1' in fleet_tables.targets
    again = make_entry(2, revision=61)
    fleet_tables.apply_target_changes(Revision(2, 61), {'t1': again}, 11.0)
    fleet_tables.drop_expired_targets(20.0)
    assert fleet_tables.targets['t1'] == again


def test_target_that_does_not_register_again_is_dropped():
    fleet_tables = make_fleet_tables(make_entry(1, revision=80))
    fleet_tables.replace_targets(Revision(2, 60), {}, 10.0)
    fleet_tables.replace_targets(Revision(3, 50), {}, 11.0)
    fleet_tables.drop_expired_targets(10.5 + REREGISTRATION_SECONDS)
    assert 't1' in fleet_tables.targets
    fleet_tables.drop_expired_targets(11.0 + REREGISTRATION_SECONDS)
    assert not fleet_tables.targets


def test_changes_of_another_era_are_passed_over():
    fleet_tables = make_fleet_tables(make_entry(1))
    fleet_tables.apply_target_changes(Revision(2, 95), {'t1': 95}, 1.0)
    fleet_tables.apply_target_changes(Revision(0, 95), {'t1': 95}, 1.0)
    assert 't1' in fleet_tables.targets


def test_vm_of_an_earlier_era_gets_the_whole_table():
    fleet_tables = make_fleet_tables(make_entry(1), revision=Revision(2, 50))
    peer = make_fleet_tables(make_target('t2'))
    snapshot = fleet_tables.make_snapshot(peer.revisions, 1.0)
    assert snapshot.targets_since == Revision()
    peer.apply_snapshot(snapshot, 1.0)
    assert peer.revisions.targets == Revision(2, 50)
    old = make_fleet_tables(make_target('t3')).make_snapshot(Revisions(), 1.0)
    peer.apply_snapshot(old, 1.0)
    assert set(peer.targets) == {'t1'}


def test_new_era_of_a_snapshot_does_not_end_the_hold_of_an_outage():
    fleet_tables = make_fleet_tables(make_entry(1))
    fleet_tables.start_store_outage()
    peer = make_fleet_tables(make_entry(2), revision=Revision(2, 50))
    fleet_tables.apply_snapshot(peer.make_snapshot(Revisions(), 1.0), 1.0)
    fleet_tables.apply_target_changes(Revision(2, 51), {'t1': 51}, 2.0)
    assert 't1' in fleet_tables.targets


def make_evacuations(**entries):
    table = EvacuationTable()
    table.replace(Revision(1, 90), entries, 0.0)
    return table


def test_evacuation_that_the_store_lost_is_kept_until_it_is_written_again():
    table = make_evacuations(east=80)
    table.replace(Revision(2, 60), {}, 10.0)
    table.drop_expired(10.0 + HOLD_SECONDS - 0.1)
    assert table.zones == {'east'}
    table.apply_changes(Revision(2, 61), {'east': 61})
    table.drop_expired(10.0 + HOLD_SECONDS)
    assert table.zones == {'east'}
    table.apply_changes(Revision(2, 62), {'east': None})
    assert not table.zones


def test_evacuation_that_is_not_written_again_ends():
    table = make_evacuations(east=80)
    table.replace(Revision(2, 60), {}, 10.0)
    table.replace(Revision(2, 61), {}, 11.0)
    assert table.zones == {'east'}
    assert table.drop_expired(10.0 + HOLD_SECONDS) == ('east',)
    assert not table.zones


@pytest.mark.parametrize(
    ('number', 'is_evacuated'),
    ((30, False), (55, True), (61, True)),
)
def test_evacuation_that_ended_in_the_lost_seconds_stays_so(
    number, is_evacuated
):
    table = make_evacuations(east=30)
    table.apply_changes(Revision(1, 91), {'east': None})
    table.replace(Revision(2, 60), {'east': number}, 1.0)
    assert bool(table.zones) is is_evacuated
    table.replace(Revision(2, 63), {'east': number}, 2.0)
    assert bool(table.zones) is is_evacuated
    table.apply_changes(Revision(2, 64), {'east': 64})
    assert table.zones == {'east'}


def test_entry_after_the_copy_is_an_evacuation_although_its_revision_returns():
    table = make_evacuations()
    table.apply_changes(Revision(1, 91), {'east': 91})
    table.apply_changes(Revision(1, 92), {'east': None})
    table.replace(Revision(2, 90), {}, 1.0)
    table.apply_changes(Revision(2, 91), {'east': 91})
    assert table.zones == {'east'}
    table.replace(Revision(2, 92), {'east': 91}, 2.0)
    assert table.zones == {'east'}


def test_held_evacuations_are_in_a_snapshot():
    table = make_evacuations(east=80)
    table.replace(Revision(2, 60), {'west': 20}, 10.0)
    other = EvacuationTable()
    other.apply_snapshot(table.make_snapshot(11.0), 50.0)
    assert other.zones == {'east', 'west'}
    other.drop_expired(49.0 + HOLD_SECONDS)
    assert other.zones == {'west'}
    other.apply_snapshot(make_evacuations(north=9).make_snapshot(0.0), 50.0)
    assert other.zones == {'west'}


def test_departures_are_bounded():
    departures = Departures(max_targets=2)
    for number in range(4):
        departures.record(make_target(f't{number}'))
    assert not departures.has_left(make_target('t0'))
    assert departures.has_left(make_target('t3'))


class EraStore:
    """Answers each request with the next of some eras and contents."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def serve(self, reader, writer):
        while await reader.readline():
            await reader.readuntil(b'\r\n\r\n')
            status, headers, content = self.answers.pop(0)
            body = json.dumps(content).encode()
            writer.write(
                b'HTTP/1.1 %d Any\r\n%scontent-length: %d\r\n\r\n%s'
                % (status, headers, len(body), body)
            )


def make_page(era, *names, number=7, more=False):
    items = [
        {'metadata': {'name': name, 'revision': 1}, 'spec': {}}
        for name in names
    ]
    content = {'as_of': number, 'items': items, 'events': [], 'more': more}
    return 200, b'Store-Era: %s\r\n' % era, content


async def attempt(call, store):
    """Return the result of a call, or the type of its error."""
    try:
        return await call(store)
    except StoreError as error:
        return type(error)


async def attempt_each(calls, store):
    """Return the results of calls that are made one after the other."""
    if not calls:
        return []
    found = await attempt(calls[0], store)
    return [found, *await attempt_each(calls[1:], store)]


def call_store(answers, *calls):
    """Make calls to a store; return their results and the reported eras."""
    eras = []

    async def start():
        standin = EraStore(*answers)
        server = await asyncio.start_server(standin.serve, *ADDRESS)
        store = make_store(
            ADDRESS, on_era=lambda *reported: eras.append(reported)
        )
        results = await attempt_each(calls, store)
        server.close()
        return results

    return asyncio.run(start()), eras


def read(store):
    return store.read('servers')


def watch(store):
    return store.watch('servers', Revision(1, 7), 0.5)


def test_answers_bear_the_era_of_the_store():
    answers = (make_page(b'1'), make_page(b'2', number=3), make_page(b'1'))
    results, eras = call_store(answers, read, read, read)
    assert [found.revision for found in results[:2]] == [
        Revision(1, 7),
        Revision(2, 3),
    ]
    assert results[2] is StoreError
    assert eras == [(1, 2)]


@pytest.mark.parametrize(
    'headers',
    (
        b'store-era: x\r\n',
        b'store-era: -1\r\n',
        b'store-era: 1.5\r\n',
        b'store-era:\r\n',
        b'store-era: %s\r\n' % (b'9' * 5000),
        b'store-era: 1\r\nstore-era: 2\r\n',
        b'',
    ),
)
def test_answer_without_a_valid_era_is_an_error_once_one_is_known(headers):
    answers = (make_page(b'1'), (200, headers, {'as_of': 8, 'items': []}))
    results, eras = call_store(answers, read, read)
    assert results[1] is StoreError
    assert not eras


def test_store_that_names_no_era_is_read():
    results, _eras = call_store(((200, b'', {'as_of': 8, 'items': []}),), read)
    assert results[0].revision == Revision(0, 8)


def test_change_between_two_pages_is_watched_for():
    answers = (
        make_page(b'1', 't1', number=7, more=True),
        make_page(b'1', 't2', number=9),
    )
    results, _eras = call_store(answers, read)
    assert results[0].revision == Revision(1, 7)


def test_pages_of_two_eras_are_no_table():
    answers = (make_page(b'1', 't1', more=True), make_page(b'2', 't2'))
    results, eras = call_store(answers, read)
    assert results == [EraChangedError]
    assert eras == [(1, 2)]


@pytest.mark.parametrize(
    ('answer', 'expected'),
    (
        (make_page(b'2'), EraChangedError),
        ((410, b'store-era: 2\r\n', {}), HistoryLostError),
        ((503, b'store-era: 2\r\n', {}), StoreError),
    ),
)
def test_watch_from_an_earlier_era_ends(answer, expected):
    results, eras = call_store((answer,), watch)
    assert results == [expected]
    results, eras = call_store((make_page(b'1'), answer), read, watch)
    assert results[1] is expected
    assert eras == [(1, 2)]
