"""Observations of limits: order, restarts of targets, reports of other VMs."""

import pytest

from tests.fleetdata import make_limit_report, make_limits, make_target
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.limit_observations import LimitObservations
from toucanhall.placement.owners import VmGroup
from toucanhall.placement.registry import TargetQuery, TargetRegistry
from toucanhall.placement.return_times import ReturnTimes
from toucanhall.placement.token_bucket import TokenBucket

REGIONS = {'east-a': 'east'}
QUERY = TargetQuery('guide', 'object', frozenset(), frozenset())


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now = 100.0

    def read(self):
        """Return the time."""
        return self.now


@pytest.fixture
def clock():
    return Clock()


def make_observations(clock, target=None):
    target = target or make_target()
    observations = LimitObservations(clock=clock.read)
    observations.replace_targets({target.id: target}, set())
    return observations


def record(observations, clock, limit, *, sent_at, received_at, target=None):
    clock.now = received_at
    observations.record_answer(target or make_target(), limit, sent_at)


@pytest.mark.parametrize(
    ('answers', 'expected'),
    (
        # Limit, time of the request, time of the answer.
        (((2.0, 1.0, 1.2), (3.0, 1.3, 1.5)), 3.0),
        (((2.0, 1.0, 1.2), (None, 1.3, 1.5)), None),
        (((2.0, 1.0, 1.2), (None, 1.1, 1.5)), 2.0),
        (((2.0, 1.0, 1.2), (9.0, 1.1, 1.5)), 2.0),
        (((9.0, 1.0, 1.2), (2.0, 1.1, 1.5)), 2.0),
        (((9.0, 1.0, 1.2), (2.0, 0.5, 3.5)), 9.0),
        (((2.0, 1.0, 1.2), (None, 1.3, 1.5), (2.0, 0.5, 3.5)), None),
        (((2.0, 1.0, 1.2), (None, 1.3, 1.5), (4.0, 1.6, 1.7)), 4.0),
        (((None, 1.0, 1.2),), None),
    ),
)
def test_older_answer_does_not_undo_a_newer_one(clock, answers, expected):
    observations = make_observations(clock)
    for limit, sent_at, received_at in answers:
        record(
            observations, clock, limit, sent_at=sent_at, received_at=received_at
        )
    assert observations.get_limit('t1') == expected


def test_limit_of_a_restarted_target_is_forgotten(clock):
    observations = make_observations(clock)
    record(observations, clock, 2.0, sent_at=1.0, received_at=1.2)
    restarted = make_target(started_at=2)
    observations.replace_targets({'t1': restarted}, {'t1'})
    assert observations.get_limit('t1') is None
    record(observations, clock, 2.0, sent_at=1.1, received_at=1.4)
    observations.receive(make_limit_report(started_at=1), is_local=True)
    assert observations.get_limit('t1') is None
    observations.receive(make_limit_report(started_at=2), is_local=True)
    assert observations.get_limit('t1') == 2.0


def test_limit_of_an_unknown_target_is_ignored(clock):
    observations = make_observations(clock)
    observations.receive(make_limit_report('t9'), is_local=True)
    record(
        observations, clock, 2.0, sent_at=1.0, received_at=1.2,
        target=make_target('t9'),
    )  # fmt: skip
    assert not observations.list_limited()
    assert observations.report(is_own=False) == ()


@pytest.mark.parametrize(
    ('reports', 'expected'),
    (
        # Limit, ages of request and answer.
        (((2.0, 0.2, 0.1),), 2.0),
        (((2.0, 31.0, 30.9),), None),
        (((2.0, 1.2, 1.1), (None, 0.2, 0.1)), None),
        (((2.0, 0.2, 0.1), (None, 1.2, 1.1)), 2.0),
        (((2.0, 0.2, 0.1), (9.0, 1.2, 1.1)), 2.0),
        (((None, 0.2, 0.1),), None),
    ),
)
def test_newest_report_of_other_vms_counts(clock, reports, expected):
    observations = make_observations(clock)
    for limit, sent_age, received_age in reports:
        report = make_limit_report(
            per_second=limit, sent_age=sent_age, received_age=received_age
        )
        observations.receive(report, is_local=True)
    assert observations.get_limit('t1') == expected


def test_own_observations_are_reported_for_some_seconds(clock):
    observations = make_observations(clock)
    record(observations, clock, 2.0, sent_at=1.0, received_at=1.2)
    clock.now = 2.2
    (report,) = observations.report(is_own=True)
    assert report == make_limit_report(sent_age=1.2, received_age=1.0)
    clock.now = 7.0
    assert observations.report(is_own=True) == ()


@pytest.mark.parametrize('is_local', (True, False))
def test_observations_of_the_own_zone_are_relayed_to_others(clock, is_local):
    observations = make_observations(clock)
    observations.receive(make_limit_report(), is_local=is_local)
    assert observations.report(is_own=True) == ()
    assert len(observations.report(is_own=False)) == is_local


def test_reports_are_bounded(clock):
    targets = {f't{number}': make_target(f't{number}') for number in range(99)}
    observations = LimitObservations(clock=clock.read)
    observations.replace_targets(targets, set())
    for number, target in enumerate(targets.values()):
        sent_at = number / 100
        record(
            observations, clock, 2.0, sent_at=sent_at, received_at=sent_at,
            target=target,
        )  # fmt: skip
    reported = [found.target for found in observations.report(is_own=True)]
    assert reported == [f't{number}' for number in range(98, 34, -1)]


def make_registry(clock, *targets):
    registry = TargetRegistry(
        location=Location('east-a', 'east'),
        regions=REGIONS,
        limits=make_limits(REGIONS, clock.read),
    )
    registry.replace_targets({target.id: target for target in targets}, 0.0)
    registry.set_vm_groups(
        'vm-1', {'east-a': VmGroup(('vm-1',), 1, 1, has_load=True)}
    )
    return registry


def name_limit(registry, target, limit):
    now = registry.limits.observations.clock()
    registry.limits.observations.record_answer(target, limit, now)
    registry.limits.update_share(target)


def count_acquired(registry, clock, target, seconds, cold_rate=0.0):
    acquired = 0
    for _step in range(round(seconds * 100)):
        clock.now += 0.01
        acquired += registry.try_acquire(target, cold_rate, clock.now)
    return acquired


@pytest.mark.parametrize(
    ('limit', 'cold_rate', 'most'), ((2.0, 40.0, 18.0), (40.0, 4.0, 14.0))
)
def test_cold_target_with_a_limit_keeps_to_both(clock, limit, cold_rate, most):
    target = make_target(cold_seconds=1000.0)
    registry = make_registry(clock, target)
    name_limit(registry, target, limit)
    acquired = count_acquired(registry, clock, target, 10.0, cold_rate)
    assert 0.5 * most <= acquired <= most + 1


def test_retries_and_first_attempts_take_tokens_of_the_same_bucket(clock):
    target = make_target()
    registry = make_registry(clock, target)
    name_limit(registry, target, 2.0)
    clock.now += 10.0
    assert registry.list_candidates(QUERY, clock.now, 2)
    assert registry.try_acquire(target, 0.0, clock.now)
    assert not registry.list_candidates(QUERY, clock.now, 2)
    assert not registry.try_acquire(target, 0.0, clock.now)


def test_target_at_a_reused_address_has_no_limit(clock):
    registry = make_registry(clock, make_target())
    name_limit(registry, make_target(), 0.0)
    follower = make_target('t2')
    registry.replace_targets({'t2': follower}, clock.now)
    assert not registry.limits.observations.list_limited()
    assert registry.try_acquire(follower, 0.0, clock.now)


def test_rate_of_limited_targets_is_known_only_if_all_are_limited(clock):
    first, second = make_target('t1'), make_target('t2')
    registry = make_registry(clock, first, second)
    name_limit(registry, first, 2.0)
    assert registry.compute_limited_rate(QUERY, clock.now) is None
    name_limit(registry, second, 3.0)
    rate = registry.compute_limited_rate(QUERY, clock.now)
    assert rate == pytest.approx(4.75)
    assert registry.limits.count_serving_vms() == 1
    registry.suspend('t2', clock.now)
    rate = registry.compute_limited_rate(QUERY, clock.now)
    assert rate == pytest.approx(1.9)


def test_vm_without_share_asks_after_a_long_silence(clock):
    target = make_target()
    registry = make_registry(clock, target)
    registry.set_vm_groups(
        'vm-9', {'east-a': VmGroup(('vm-1', 'vm-2'), 2, 2, has_load=True)}
    )
    name_limit(registry, target, 2.0)
    assert count_acquired(registry, clock, target, 9.0) == 0
    assert count_acquired(registry, clock, target, 11.0) == 1
    name_limit(registry, target, None)
    assert registry.try_acquire(target, 0.0, clock.now)


def test_callers_return_one_after_the_other():
    times = ReturnTimes()
    waits = [times.schedule('guide', 4.0, 1.0, 10.0) for _caller in range(6)]
    # The last ones can't wait so long and keep no place.
    assert waits == [0.25, 0.5, 0.75, 1.0, 1.0, 1.0]
    assert times.schedule('feed', 4.0, 1.0, 10.0) == 0.25
    assert times.schedule('guide', 4.0, 1.0, 20.0) == 0.25


def test_bucket_holds_one_request_or_a_short_burst():
    bucket = TokenBucket(now=0.0, tokens=-2.0, burst_seconds=0.1)
    assert not bucket.try_acquire(1.0, 2.9)
    assert bucket.try_acquire(1.0, 3.1)
    assert not bucket.try_acquire(1.0, 3.2)
    assert sum(bucket.try_acquire(50.0, 100.0) for _request in range(9)) == 5
