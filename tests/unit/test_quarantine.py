"""Tests of requests that crash the targets that run them.

Failures that they guard against: such a request goes on to crash targets; a
request that was at the same targets is held back with it.
"""

import pytest

from toucanhall.fleet.revisions import Revision
from toucanhall.fleet.suspects import (
    Crash,
    Suspect,
    SuspectTable,
    merge_suspects,
)
from toucanhall.platform.documents import InvalidDocumentError
from toucanhall.platform.suspect_documents import decode_suspect, encode_suspect
from toucanhall.quarantine.fingerprints import compute_fingerprint
from toucanhall.quarantine.served_requests import ServedRequests
from toucanhall.quarantine.verdicts import Verdict, count_crashes, judge

OLD, NEW = 'guide v1', 'guide v2'
RELEASES = frozenset((OLD,))
REQUEST = {
    'method': b'GET',
    'host': 'tours.example',
    'path': '/view/1?page=2',
    'team': 'guides',
    'body': b'',
}


def make_crashes(count, release=OLD, first=0):
    return tuple(
        Crash(f't{number}', 1, release)
        for number in range(first, first + count)
    )


def make_suspect(count, **fields):
    return Suspect(crashes=make_crashes(count))._replace(**fields)


@pytest.mark.parametrize(
    'changed',
    (
        {'method': b'POST'},
        {'host': 'other.example'},
        {'path': '/view/1'},
        {'path': '/view/1?page=3'},
        {'team': 'hostels'},
        {'body': b'1'},
    ),
)
def test_other_requests_have_other_fingerprints(changed):
    fingerprint = compute_fingerprint(**REQUEST)
    assert fingerprint == compute_fingerprint(**REQUEST)
    assert fingerprint != compute_fingerprint(**{**REQUEST, **changed})


def test_any_bytes_of_a_path_have_a_fingerprint():
    path = b'/view/\xff\x00\xe9'.decode('latin-1')
    assert compute_fingerprint(**{**REQUEST, 'path': path})


@pytest.mark.parametrize(
    ('suspect', 'releases', 'age', 'expected'),
    (
        (make_suspect(1), RELEASES, 0.0, Verdict()),
        (make_suspect(2), RELEASES, 0.25, Verdict(retry_after=0.75)),
        (make_suspect(2), RELEASES, 1.0, Verdict(is_trial=True)),
        (
            make_suspect(3, trial_count=1),
            RELEASES,
            10.0,
            Verdict(retry_after=20.0),
        ),
        (
            make_suspect(3, trial_count=2),
            RELEASES,
            10.0,
            Verdict(retry_after=50.0),
        ),
        (
            make_suspect(8, trial_count=10**6),
            RELEASES,
            0.0,
            Verdict(retry_after=3600.0),
        ),
        (
            make_suspect(3, trial_count=1),
            frozenset((OLD, NEW)),
            0.0,
            Verdict(releases=frozenset((NEW,)), is_trial=True),
        ),
        (
            make_suspect(3, trial_count=2, tried_releases=(NEW,)),
            frozenset((OLD, NEW)),
            30.0,
            Verdict(retry_after=30.0),
        ),
        (
            make_suspect(3, trial_count=2, served_releases=(NEW,)),
            frozenset((OLD, NEW)),
            0.0,
            Verdict(releases=frozenset((NEW,))),
        ),
    ),
)
def test_suspect_may_run(suspect, releases, age, expected):
    verdict = judge(suspect, len(suspect.crashes), releases, age)
    assert verdict == expected
    assert verdict.is_free is (
        not expected.is_trial and not expected.retry_after
    )


def test_request_explains_the_crashes_of_those_beside_it():
    suspects = {
        'deadly': Suspect(make_crashes(3)),
        'beside it twice': Suspect(make_crashes(2)),
        'beside it once': Suspect(make_crashes(2, first=2)),
        'elsewhere': Suspect(make_crashes(2, first=5)),
    }
    counts = {name: count_crashes(name, suspects) for name in suspects}
    assert counts == {
        'deadly': 3,
        'beside it twice': 0,
        'beside it once': 1,
        'elsewhere': 2,
    }


def test_success_counts_for_its_release_and_for_some_seconds():
    served = ServedRequests(max_requests=2)
    served.record('a', OLD, 0.0)
    assert served.has_served('a', OLD, 5.0)
    assert not served.has_served('a', NEW, 5.0)
    assert not served.has_served('a', OLD, 5.1)
    served.record('b', OLD, 1.0)
    served.record('c', OLD, 1.0)
    assert not served.has_served('a', OLD, 1.0)


def test_entries_of_several_vms_are_merged():
    known = make_suspect(2, trial_count=2, revision=4)
    found = Suspect(
        make_crashes(2, first=1), 1, (NEW,), served_releases=(NEW,), revision=9
    )
    merged = merge_suspects(known, found)
    assert set(merged.crashes) == set(make_crashes(3))
    assert merged[1:] == (2, (NEW,), (NEW,), 9)


def test_entry_is_decoded_as_it_was_encoded():
    suspect = make_suspect(3, trial_count=2, served_releases=(NEW,), revision=7)
    assert decode_suspect('a', encode_suspect(suspect), 7) == suspect


@pytest.mark.parametrize(
    'spec', (None, [], {}, {'crashes': 1}, {'crashes': [{'target': 1}]}, 'x')
)
def test_odd_entry_is_rejected(spec):
    with pytest.raises(InvalidDocumentError):
        decode_suspect('a', spec, 1)


def test_own_observation_stays_until_the_store_has_it():
    table = SuspectTable()
    table.replace(Revision(1, 5), {'a': make_suspect(1, revision=5)}, 0.0)
    table.update('a', make_suspect(2, revision=5), 1.0)
    table.update('b', make_suspect(1), 1.0)
    table.apply_changes(Revision(1, 6), {'a': make_suspect(1, revision=6)}, 2.0)
    table.replace(Revision(1, 7), {}, 2.0)
    assert len(table.suspects['a'].crashes) == 2
    assert table.unsaved == {'a', 'b'}
    table.apply_changes(Revision(1, 8), {'a': make_suspect(2, revision=8)}, 3.0)
    assert table.unsaved == {'b'}
    table.apply_changes(Revision(1, 9), {'a': None}, 3.0)
    assert 'a' not in table.suspects


def test_older_table_is_ignored():
    table = SuspectTable()
    table.replace(Revision(1, 5), {'a': make_suspect(2, revision=5)}, 0.0)
    table.replace(Revision(1, 4), {}, 0.0)
    table.apply_changes(Revision(1, 5), {'a': None}, 0.0)
    table.apply_changes(Revision(2, 9), {'a': None}, 0.0)
    assert 'a' in table.suspects


def test_what_the_store_lost_is_kept_and_unsaved():
    table = SuspectTable()
    table.replace(Revision(1, 5), {'a': make_suspect(2, revision=5)}, 0.0)
    table.replace(Revision(2, 3), {'b': make_suspect(1, revision=2)}, 1.0)
    assert table.suspects['a'] == make_suspect(2)
    assert table.unsaved == {'a'}


def test_trial_restarts_the_age_but_a_new_revision_does_not():
    table = SuspectTable()
    table.replace(Revision(1, 5), {'a': make_suspect(2, revision=5)}, 0.0)
    table.replace(Revision(1, 6), {'a': make_suspect(2, revision=6)}, 4.0)
    assert table.compute_age('a', 10.0) == 10.0
    tried = make_suspect(2, revision=7, trial_count=1)
    table.replace(Revision(1, 7), {'a': tried}, 6.0)
    assert table.compute_age('a', 10.0) == 4.0


def test_cleared_suspect_does_not_come_back_before_it_is_deleted():
    table = SuspectTable()
    table.replace(Revision(1, 5), {'a': make_suspect(2, revision=5)}, 0.0)
    assert table.clear('a')
    table.replace(Revision(1, 6), {'a': make_suspect(2, revision=5)}, 0.0)
    assert 'a' not in table.suspects
    table.update('b', make_suspect(1), 0.0)
    assert not table.clear('b')


def test_table_is_bounded_and_keeps_what_crashed_most():
    table = SuspectTable()
    for number in range(1000):
        crash_count = 3 if number < 10 else 1
        table.update(f'{number}', make_suspect(crash_count), float(number))
    assert len(table.suspects) == 128
    assert len(table.unsaved) <= 128
    assert {f'{number}' for number in range(10)} < table.suspects.keys()


def test_suspects_expire_later_the_more_they_crashed():
    table = SuspectTable()
    table.update('once', make_suspect(1), 0.0)
    table.update('twice', make_suspect(2), 0.0)
    assert not table.drop_expired(60.0)
    assert table.drop_expired(61.0) == ('once',)
    assert table.drop_expired(5 * 3600.0) == ('twice',)
