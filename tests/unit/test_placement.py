"""Replays of load patterns against the choice of a target."""

import pytest

from tests.fleetdata import make_target
from tests.replays import Pattern, replay
from toucanhall.fleet.model import Configuration, Service
from toucanhall.placement import choice
from toucanhall.placement.choice import Ask, Candidate, choose
from toucanhall.placement.field import Field, Need
from toucanhall.placement.load import TargetLoad
from toucanhall.placement.order import Place, rank

REGIONS = {'east-a': 'east', 'east-b': 'east', 'west-a': 'west'}
PLACE = Place('east-a', 'east')
NEED = Need('guide', 'object-1', frozenset(), frozenset())
ASK = Ask(0.25, 0.1, 1)


def burst(now):
    return 2400.0 if 2 <= now < 6 else 900.0


@pytest.mark.parametrize('seed', (1, 2, 3))
def test_burst_does_not_leave_targets_cold(seed):
    pattern = Pattern(rate=burst, seconds=14.0)
    assert replay(pattern, seed=seed, since=9.0).share_in_time > 0.9


def test_more_targets_per_object_would_leave_them_cold(monkeypatch):
    monkeypatch.setattr(choice, '_WARM_TARGETS', 20)
    pattern = Pattern(rate=burst, seconds=14.0, objects=400)
    assert replay(pattern, seed=1, since=9.0).share_in_time < 0.5


@pytest.mark.parametrize('seed', (1, 2))
def test_start_with_cold_targets_ends_soon(seed):
    pattern = Pattern(rate=lambda _now: 900.0, seconds=8.0)
    assert replay(pattern, seed=seed, since=4.0).share_in_time > 0.95


@pytest.mark.parametrize('seed', (1, 2))
def test_slow_target_gets_less(seed):
    slow = Pattern(
        rate=lambda _now: 700.0,
        seconds=10.0,
        slow=frozenset(('t3',)),
        slow_factor=5.0,
    )
    even = slow._replace(slow=frozenset())
    before = replay(even, seed=seed, since=3.0)
    after = replay(slow, seed=seed, since=3.0)
    assert after.by_target['t3'] < before.by_target['t3'] / 2
    assert after.share_in_time > 0.9


def test_vms_of_a_region_agree_on_the_order():
    targets = [
        make_target(f't{index}', zone=zone)
        for index, zone in enumerate(('east-a', 'east-b', 'west-a') * 4)
    ]
    orders = {
        rank(targets, Place(zone, 'east'), REGIONS, 'object-7')
        for zone in ('east-a', 'east-b')
    }
    assert len(orders) == 1


def test_target_that_leaves_moves_only_its_objects():
    targets = [make_target(f't{index}') for index in range(12)]
    moved = 0
    for index in range(200):
        key = f'object-{index}'
        before = rank(targets, PLACE, REGIONS, key)[0]
        after = rank(targets[1:], PLACE, REGIONS, key)[0]
        moved += before is not after
        assert before is after or before is targets[0]
    assert 0 < moved < 40


def test_full_targets_are_refused_at_once():
    full = TargetLoad(slots=9)
    full.in_flight = 40
    assert choose([Candidate(make_target(), full)], ASK, 1.0) is None
    assert choose([], ASK, 1.0) is None


def test_less_urgent_requests_leave_room():
    load = TargetLoad(slots=9)
    load.in_flight = 14
    candidates = [Candidate(make_target(), load)]
    assert choose(candidates, ASK, 1.0) is not None
    assert choose(candidates, ASK._replace(priority=2), 1.0) is None


def make_field(*targets, now=0.0):
    field = Field(place=PLACE, regions=REGIONS)
    field.take_targets({target.id: target for target in targets}, now)
    field.take_vms('vm-1', {'east-a': ['vm-1']})
    return field


def list_ids(field, need=NEED, now=10.0):
    return {found.target.id for found in field.list_candidates(need, now)}


@pytest.mark.parametrize(
    ('fields', 'need'),
    (
        ({'is_draining': True}, NEED),
        ({'service': 'feed'}, NEED),
        ({'zone': 'west-a'}, NEED._replace(homes=frozenset(('east',)))),
        ({}, NEED._replace(tried=frozenset(('t1',)))),
    ),
)
def test_target_that_may_not_serve_is_left_out(fields, need):
    field = make_field(make_target('t1', **fields))
    assert list_ids(field, need) == set()


def test_evacuated_zone_gets_nothing_and_comes_back_cold():
    field = make_field(make_target('t1'))
    configuration = Configuration(
        version=1,
        hosts={},
        services={'guide': Service('guide', '/health', 3.0, 16.0)},
        teams={},
        keys={},
        limits=None,
    )
    field.take_evacuations(frozenset(('east-a',)), configuration, 10.0)
    assert list_ids(field) == set()
    field.take_evacuations(frozenset(), configuration, 20.0)
    assert list_ids(field) == {'t1'}
    assert field.is_cold('t1', 22.0)
    assert not field.is_cold('t1', 23.5)


def test_cold_target_gets_its_rate_from_all_vms_together():
    target = make_target('t1', cold_seconds=5.0)
    vms = [f'vm-{index}' for index in range(8)]
    fields = []
    for vm in vms:
        field = make_field(target)
        field.take_vms(vm, {'east-a': vms})
        fields.append(field)
    for second in range(4):
        sent = sum(
            field.spend(target, 16.0, second + step / 100)
            for step in range(100)
            for field in fields
        )
        assert 8 <= sent <= 16.0


def test_cold_target_is_served_by_owners_only():
    target = make_target('t1', cold_seconds=5.0)
    vms = [f'vm-{index}' for index in range(8)]
    owners = 0
    for vm in vms:
        field = make_field(target)
        field.take_vms(vm, {'east-a': vms})
        owners += bool(list_ids(field, now=1.0))
        assert list_ids(field, now=6.0) == {'t1'}
    assert owners == 2


def test_failures_suspend_a_target_and_one_success_ends_it():
    load = TargetLoad(slots=9)
    assert not load.fail(1.0, is_lost=False)
    assert not load.fail(1.0, is_lost=False)
    assert load.fail(1.0, is_lost=False)
    assert load.is_suspended(1.2)
    assert not load.is_suspended(1.6)
    assert load.is_on_trial()
    assert load.succeed(None)
    assert not load.is_on_trial()


def test_lost_connection_suspends_at_once_and_longer_each_time():
    load = TargetLoad(slots=9)
    assert load.fail(1.0, is_lost=True)
    assert load.suspended_until == 1.5
    assert load.fail(2.0, is_lost=True)
    assert load.suspended_until == 3.0


def test_new_incarnation_starts_anew():
    field = make_field(make_target('t1'))
    field.loads['t1'].fail(9.0, is_lost=True)
    field.take_targets({'t1': make_target('t1', slots=5)}, 9.1)
    assert field.loads['t1'].is_on_trial()
    field.take_targets({'t1': make_target('t1', started_at=2)}, 9.2)
    assert not field.loads['t1'].is_on_trial()


def test_report_counts_less_with_age():
    load = TargetLoad(slots=9)
    load.report(8, 1.0)
    assert load.estimate(1.0) == 8
    assert load.estimate(1.25) == 4
