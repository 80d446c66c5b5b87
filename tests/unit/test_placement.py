"""Replays of load patterns against the choice of a target."""

import pytest

from tests.fleetdata import make_target
from tests.placement_replay import Pattern, replay
from toucanhall.fleet.model import Configuration, Service
from toucanhall.placement import choice
from toucanhall.placement.choice import RequestUrgency, Candidate, choose_target
from toucanhall.placement.registry import TargetRegistry, TargetQuery
from toucanhall.placement.load import TargetLoad
from toucanhall.placement.cold_targets import VmGroup
from toucanhall.placement.hash_ring import (
    MAX_EXAMINED_TARGETS,
    Location,
    HashRing,
    count_points,
)

REGIONS = {'east-a': 'east', 'east-b': 'east', 'west-a': 'west'}
PLACE = Location('east-a', 'east')
NEED = TargetQuery('guide', 'object-1', frozenset(), frozenset())
ASK = RequestUrgency(0.25, 0.1, 1)


def burst(now):
    return 2400.0 if 2 <= now < 6 else 900.0


@pytest.mark.parametrize('seed', (1, 2, 3))
def test_burst_does_not_leave_targets_cold(seed):
    pattern = Pattern(rate=burst, seconds=14.0)
    assert replay(pattern, seed=seed, since=9.0).fraction_in_time > 0.9


def test_more_targets_per_object_would_leave_them_cold(monkeypatch):
    monkeypatch.setattr(choice, 'WARM_TARGETS', 20)
    pattern = Pattern(rate=burst, seconds=14.0, objects=400)
    assert replay(pattern, seed=1, since=9.0).fraction_in_time < 0.5


@pytest.mark.parametrize('seed', (1, 2))
def test_start_with_cold_targets_ends_soon(seed):
    pattern = Pattern(rate=lambda _now: 900.0, seconds=8.0)
    assert replay(pattern, seed=seed, since=4.0).fraction_in_time > 0.95


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
    assert after.fraction_in_time > 0.9


def make_ring(targets, place=PLACE):
    ring = HashRing()
    ring.update(
        (),
        {
            target.id: count_points(target.zone, place, REGIONS)
            for target in targets
        },
    )
    return ring


def test_vms_of_a_region_agree_on_the_order():
    targets = [
        make_target(f't{index}', zone=zone)
        for index, zone in enumerate(('east-a', 'east-b', 'west-a') * 4)
    ]
    orders = {
        tuple(make_ring(targets, Location(zone, 'east')).walk('object-7'))
        for zone in ('east-a', 'east-b')
    }
    assert len(orders) == 1
    assert {len(order) for order in orders} == {12}


def test_target_that_leaves_moves_only_its_objects():
    targets = [make_target(f't{index}') for index in range(12)]
    rings = make_ring(targets), make_ring(targets[1:])
    moved = 0
    for index in range(200):
        before, after = (next(ring.walk(f'object-{index}')) for ring in rings)
        moved += before != after
        assert before == after or before == 't0'
    assert 0 < moved < 40


def test_changed_ring_is_the_one_made_anew():
    targets = [make_target(f't{index}') for index in range(12)]
    ring = make_ring(targets[:6])
    ring.update(('t0', 't3', 'unknown'), {f't{index}': 96 for index in (9, 11)})
    kept = [targets[index] for index in (1, 2, 4, 5, 9, 11)]
    for index in range(50):
        key = f'object-{index}'
        assert list(ring.walk(key)) == list(make_ring(kept).walk(key))


def test_near_targets_get_six_times_the_objects_of_far_ones():
    targets = [
        make_target(f't{index}', zone='east-a' if index < 10 else 'west-a')
        for index in range(20)
    ]
    ring = make_ring(targets)
    firsts = [next(ring.walk(f'object-{index}')) for index in range(4000)]
    near = sum(int(name[1:]) < 10 for name in firsts)
    assert 0.8 < near / len(firsts) < 0.91
    shares = [firsts.count(f't{index}') / near for index in range(10)]
    assert 0.06 < min(shares) and max(shares) < 0.15


def test_order_ends_where_most_targets_may_not_serve():
    ring = make_ring([make_target(f't{index}') for index in range(400)])
    assert len(list(ring.walk('object-1'))) == MAX_EXAMINED_TARGETS
    assert not list(make_ring([]).walk('object-1'))


def test_full_targets_are_refused_at_once():
    full = TargetLoad(slots=9)
    full.in_flight = 40
    assert choose_target([Candidate(make_target(), full)], ASK, 1.0) is None
    assert choose_target([], ASK, 1.0) is None


def test_less_urgent_requests_leave_room():
    load = TargetLoad(slots=9)
    load.in_flight = 14
    candidates = [Candidate(make_target(), load)]
    assert choose_target(candidates, ASK, 1.0) is not None
    assert choose_target(candidates, ASK._replace(priority=2), 1.0) is None


def make_field(*targets, now=0.0):
    field = TargetRegistry(location=PLACE, regions=REGIONS)
    field.replace_targets({target.id: target for target in targets}, now)
    field.set_vm_groups('vm-1', {'east-a': VmGroup(('vm-1',), 1, 1)})
    return field


def list_ids(field, need=NEED, now=10.0):
    found = field.list_candidates(need, now, 2)
    return {candidate.target.id for candidate in found}


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
    field.set_evacuated_zones(frozenset(('east-a',)), configuration, 10.0)
    assert list_ids(field) == set()
    field.set_evacuated_zones(frozenset(), configuration, 20.0)
    assert list_ids(field) == {'t1'}
    assert field.is_cold('t1', 22.0)
    assert not field.is_cold('t1', 23.5)


COLD_RATE = 13.0
COLD_BOUND = 1.5 * COLD_RATE + 5


def make_views(sizes, known):
    """Return how each VM sees its zone when it is cut into parts."""
    views = []
    first = 0
    for size in sizes:
        vms = tuple(f'vm-{first + index}' for index in range(size))
        first += size
        views.extend((vm, VmGroup(vms, size, known)) for vm in vms)
    return views


def make_cold_fields(views, now=0.0):
    fields = []
    for vm, group in views:
        field = make_field(make_target('t1', cold_seconds=8.0), now=now)
        field.set_vm_groups(vm, {'east-a': group, 'east-b': VmGroup((), 0, 4)})
        fields.append(field)
    return fields


def count_sent(fields, since, until):
    steps = range(round(since * 100), round(until * 100))
    return [
        step / 100
        for step in steps
        for field in fields
        if list_ids(field, now=step / 100)
        and field.try_acquire(make_target('t1'), COLD_RATE, step / 100)
    ]


def find_most_in_a_second(sent):
    return max(sum(at <= other < at + 1 for other in sent) for at in sent)


def test_cold_target_gets_its_rate_from_all_vms_together():
    fields = make_cold_fields(make_views((8,), known=8))
    sent = count_sent(fields, 0.0, 6.0)
    assert find_most_in_a_second(sent) <= COLD_RATE
    assert len(sent) > 0.6 * COLD_RATE * 6


def test_cold_target_is_served_by_owners_only():
    fields = make_cold_fields(make_views((8,), known=8))
    assert sum(bool(list_ids(field, now=1.0)) for field in fields) == 2
    assert all(list_ids(field, now=9.0) == {'t1'} for field in fields)


@pytest.mark.parametrize('vms', (2, 4, 16, 48))
def test_vms_that_start_at_once_keep_the_bound_of_a_cold_target(vms):
    alone = [(f'vm-{index}', VmGroup((f'vm-{index}',), 1, vms))
             for index in range(vms)]  # fmt: skip
    before = count_sent(
        make_cold_fields(make_views((vms,), known=vms)), 0.0, 0.95
    )
    after = count_sent(make_cold_fields(alone, now=0.95), 0.95, 2.95)
    assert find_most_in_a_second(before + after) <= COLD_BOUND


def test_vm_that_knows_no_entries_sends_nothing_to_a_cold_target():
    fields = make_cold_fields((('vm-1', VmGroup(('vm-1',), 1, 0)),))
    assert not count_sent(fields, 0.0, 2.0)


@pytest.mark.parametrize(
    'sizes',
    ((2, 6), (4, 4), (3, 3, 2), (1, 1, 6), (1, 1, 1, 1, 4), (1,) * 8),
)
def test_parts_of_a_zone_keep_the_bound_of_a_cold_target(sizes):
    fields = make_cold_fields(make_views(sizes, known=8))
    sent = count_sent(fields, 0.0, 8.0)
    assert find_most_in_a_second(sent) <= COLD_BOUND


@pytest.mark.parametrize('rate', (1.0, 4.0, 13.0, 40.0, 100.0))
def test_twice_as_many_owners_as_picked_keep_the_bound(rate):
    target = make_target('t1', cold_seconds=8.0)
    fields = make_cold_fields(
        (f'vm-{index}', VmGroup((f'vm-{index}',), 8, 8)) for index in range(4)
    )
    sent = [
        step / 500
        for step in range(4000)
        for field in fields
        if field.try_acquire(target, rate, step / 500)
    ]
    assert find_most_in_a_second(sent) <= 1.5 * rate + 5


def test_zone_without_vms_is_left_to_its_region():
    field = make_field(make_target('t1', zone='east-b', cold_seconds=8.0))
    group = VmGroup(('vm-1',), 1, 1)
    field.set_vm_groups('vm-1', {'east-a': group, 'east-b': VmGroup()})
    assert list_ids(field, now=1.0) == {'t1'}
    field.set_vm_groups('vm-1', {'east-a': group, 'east-b': VmGroup((), 0, 2)})
    assert list_ids(field, now=1.0) == set()


def test_failures_suspend_a_target_and_one_success_ends_it():
    load = TargetLoad(slots=9)
    assert not load.record_failure(1.0, is_lost=False)
    assert not load.record_failure(1.0, is_lost=False)
    assert load.record_failure(1.0, is_lost=False)
    assert load.is_suspended(1.2)
    assert not load.is_suspended(1.6)
    assert load.is_on_trial()
    assert load.record_success(None)
    assert not load.is_on_trial()


def test_lost_connection_suspends_at_once_and_longer_each_time():
    load = TargetLoad(slots=9)
    assert load.record_failure(1.0, is_lost=True)
    assert load.suspended_until == 1.5
    assert load.record_failure(2.0, is_lost=True)
    assert load.suspended_until == 3.0


def test_new_incarnation_starts_anew():
    field = make_field(make_target('t1'))
    field.loads['t1'].record_failure(9.0, is_lost=True)
    field.replace_targets({'t1': make_target('t1', slots=5)}, 9.1)
    assert field.loads['t1'].is_on_trial()
    field.replace_targets({'t1': make_target('t1', started_at=2)}, 9.2)
    assert not field.loads['t1'].is_on_trial()


def test_report_counts_less_with_age():
    load = TargetLoad(slots=9)
    load.record_reported_load(8, 1.0)
    assert load.estimate_requests(1.0) == 8
    assert load.estimate_requests(1.25) == 4
