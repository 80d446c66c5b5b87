"""Tests of targets that say that they leave, or that want a pause.

Failure that they guard against: a request reaches a target that has told this
VM to send none.
"""

import pytest

from tests.fleetdata import make_target
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.registry import TargetQuery, TargetRegistry
from toucanhall.placement.target_limits import TargetLimits
from toucanhall.placement.target_notices import TargetNotices
from toucanhall.platform.headers import read_target_headers
from toucanhall.web.client import ReceivedAnswer

REGIONS = {'east-a': 'east'}
T1 = make_target('t1')
T2 = make_target('t2')
QUERY = TargetQuery('guide', '1', frozenset(), frozenset())


def read_headers(status, *headers):
    return read_target_headers(
        ReceivedAnswer(status, headers, b'', is_keep_alive=True)
    )


@pytest.mark.parametrize(
    ('content', 'is_leaving'),
    (
        (b'1', True),
        (b' 1 ', True),
        (b'0', False),
        (b'', False),
        (b'11', False),
        (b'1' * 5000, False),
        (b'\xff', False),
    ),
)
@pytest.mark.parametrize('status', (200, 500, 503, 429))
def test_leaving_is_read_from_each_answer(status, content, is_leaving):
    found = read_headers(status, (b'server-leaving', content))
    assert found.is_leaving is is_leaving


def test_answer_of_another_target_says_nothing_about_the_expected_one():
    found = read_headers(421, (b'server-leaving', b'1'), (b'retry-after', b'9'))
    assert not found.is_leaving
    assert not found.pause_seconds


@pytest.mark.parametrize(
    ('status', 'contents', 'seconds'),
    (
        (503, [b'2'], 2.0),
        (503, [b'0.75'], 0.75),
        (503, [b' 3 '], 3.0),
        (503, [b'1', b'4'], 4.0),
        (503, [b'odd', b'4'], 4.0),
        (503, [b'0'], 0.0),
        (503, [b'-1'], 0.0),
        (503, [b'nan'], 0.0),
        (503, [b'inf'], 0.0),
        (503, [b'1e9'], 0.0),
        (503, [b'9' * 5000], 0.0),
        (503, [b'Sat, 05 Dec 2026 03:00:00 GMT'], 0.0),
        (503, [], 0.0),
        (429, [b'2'], 0.0),
        (200, [b'2'], 0.0),
    ),
)
def test_pause_is_read_from_refusals(status, contents, seconds):
    headers = [(b'retry-after', content) for content in contents]
    assert read_headers(status, *headers).pause_seconds == seconds


def test_longest_pause_counts():
    notices = TargetNotices()
    notices.record_pause(T1, 3.0, 10.0)
    notices.record_pause(T1, 0.5, 11.0)
    assert notices.compute_pause_seconds(T1, 11.0) == 2.0
    assert not notices.compute_pause_seconds(T1, 13.0)
    assert not notices.compute_pause_seconds(T2, 11.0)


def test_notices_hold_for_one_start_of_a_target():
    notices = TargetNotices()
    assert notices.record_leaving(T1)
    assert not notices.record_leaving(T1)
    notices.record_pause(T1, 3.0, 10.0)
    assert notices.is_leaving(T1)
    assert not notices.is_leaving(T1._replace(started_at=2))


def test_notices_are_bounded():
    notices = TargetNotices(max_targets=2)
    for number in range(4):
        notices.record_leaving(make_target(f't{number}'))
    assert not notices.is_leaving(make_target('t0'))
    assert notices.is_leaving(make_target('t3'))


def make_registry():
    registry = TargetRegistry(
        location=Location('east-a', 'east'),
        regions=REGIONS,
        limits=TargetLimits(regions=REGIONS, clock=float),
    )
    registry.replace_targets({'t1': T1, 't2': T2}, 0.0)
    return registry


def list_names(registry, now):
    found = registry.list_candidates(QUERY, now, 9)
    return {candidate.target.id for candidate in found}


def test_target_gets_requests_again_after_its_pause():
    registry = make_registry()
    registry.notices.record_pause(T1, 2.0, 10.0)
    assert list_names(registry, 11.9) == {'t2'}
    assert registry.compute_pause_seconds(QUERY, 11.0) is None
    registry.notices.record_pause(T2, 4.0, 10.0)
    assert not list_names(registry, 11.9)
    assert registry.compute_pause_seconds(QUERY, 11.0) == 1.0
    assert list_names(registry, 12.0) == {'t1'}
    assert not registry.loads['t1'].is_suspended(12.0)


def test_target_that_leaves_stays_so_while_its_entry_comes_and_goes():
    registry = make_registry()
    registry.notices.record_leaving(T1)
    assert list_names(registry, 1.0) == {'t2'}
    registry.replace_targets({'t2': T2}, 2.0)
    again = T1._replace(revision=9, sequence=7)
    registry.replace_targets({'t1': again, 't2': T2}, 3.0)
    assert list_names(registry, 4.0) == {'t2'}
    registry.replace_targets({'t1': T1._replace(started_at=5)}, 5.0)
    assert list_names(registry, 6.0) == {'t1'}


def test_no_target_is_left_when_all_leave():
    registry = make_registry()
    registry.notices.record_leaving(T1)
    registry.notices.record_leaving(T2)
    assert registry.compute_pause_seconds(QUERY, 1.0) == float('inf')
