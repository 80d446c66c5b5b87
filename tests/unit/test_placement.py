"""The choice of a target, by itself and under replayed load patterns."""

import pytest

from tests.fleetdata import make_limits, make_target
from tests.placement_replay import Pattern, replay
from toucanhall.fleet.model import Configuration, Service
from toucanhall.placement import choice
from toucanhall.placement.choice import (
    CAPACITY_POLICY,
    Candidate,
    PlacementPolicy,
    RequestUrgency,
    choose_target,
)
from toucanhall.placement.hash_ring import (
    MAX_EXAMINED_TARGETS,
    HashRing,
    Location,
    count_points,
)
from toucanhall.placement.load import TargetLoad
from toucanhall.placement.owners import VmGroup
from toucanhall.placement.registry import TargetQuery, TargetRegistry

REGIONS = {'east-a': 'east', 'east-b': 'east', 'west-a': 'west'}
LOCATION = Location('east-a', 'east')
QUERY = TargetQuery('guide', 'object-1', frozenset(), frozenset())
URGENCY = RequestUrgency(0.25, 0.1, 1)


def burst(now):
    return 2400.0 if 2 <= now < 6 else 900.0


@pytest.mark.parametrize('seed', (1, 2, 3))
def test_burst_does_not_leave_targets_cold(seed):
    pattern = Pattern(rate=burst, seconds=14.0)
    assert replay(pattern, seed=seed, since=9.0).fraction_in_time > 0.9


def test_more_targets_per_object_would_leave_them_cold(monkeypatch):
    monkeypatch.setattr(choice, 'TARGETS_PER_OBJECT', 20)
    pattern = Pattern(rate=burst, seconds=14.0, objects=400)
    assert replay(pattern, seed=1, since=9.0).fraction_in_time < 0.5


@pytest.mark.parametrize('seed', (1, 2))
def test_objects_keep_their_target_where_targets_hold_no_second_copy(seed):
    balanced = Pattern(
        rate=lambda now: 414.0 if 2 <= now < 5 else 230.0,
        seconds=14.0,
        objects=330,
        slots=6,
        cached_objects=36,
        cold_seconds=0.54,
        objective_seconds=0.5,
    )
    keeping = balanced._replace(policy=CAPACITY_POLICY)
    before = replay(balanced, seed=seed, since=7.0).fraction_in_time
    after = replay(keeping, seed=seed, since=7.0).fraction_in_time
    assert after > 0.9
    assert before < after - 0.08


@pytest.mark.parametrize('spill_penalty', (0, 1))
def test_spill_penalty_only_matters_between_full_targets(spill_penalty):
    urgency = RequestUrgency(1.0, 0.1, 1, PlacementPolicy(spill_penalty))
    free, half, full = (
        Candidate(make_target(f't{count}'), make_load(count))
        for count in (2, 5, 13)
    )
    assert choose_target([half, free], urgency, 0.0) is half
    chosen = choose_target([full, half], urgency, 0.0)
    assert chosen is (half, full)[spill_penalty]


@pytest.mark.parametrize(
    ('percent', 'keeps_objects'), ((100, True), (250, True), (600, False))
)
def test_idle_target_gives_up_objects_only_if_it_is_very_slow(
    percent, keeps_objects
):
    urgency = RequestUrgency(9.0, 0.1, 1, CAPACITY_POLICY)
    first, second = (
        Candidate(make_target(name), make_load(1)) for name in ('t1', 't2')
    )
    first.load.record_reported_load(1, 5.0, percent)
    chosen = choose_target([first, second], urgency, 5.0)
    assert (chosen is first) is keeps_objects


@pytest.mark.parametrize('seed', (1, 2))
def test_cold_targets_serve_in_time_after_four_seconds(seed):
    pattern = Pattern(rate=lambda _now: 900.0, seconds=8.0)
    assert replay(pattern, seed=seed, since=4.0).fraction_in_time > 0.95


@pytest.mark.parametrize('seed', (1, 2))
def test_slow_target_gets_fewer_requests(seed):
    slow = Pattern(
        rate=lambda _now: 700.0,
        seconds=10.0,
        slow=frozenset(('t3',)),
        slow_factor=5.0,
    )
    without_slow = slow._replace(slow=frozenset())
    before = replay(without_slow, seed=seed, since=3.0)
    after = replay(slow, seed=seed, since=3.0)
    assert after.by_target['t3'] < before.by_target['t3'] / 2
    assert after.fraction_in_time > 0.9


def make_ring(targets, location=LOCATION):
    ring = HashRing()
    ring.update(
        (),
        {
            target.id: count_points(target.zone, location, REGIONS)
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


def test_removed_target_moves_only_its_objects():
    targets = [make_target(f't{index}') for index in range(12)]
    rings = make_ring(targets), make_ring(targets[1:])
    moved = 0
    for index in range(200):
        before, after = (next(ring.walk(f'object-{index}')) for ring in rings)
        moved += before != after
        assert before == after or before == 't0'
    assert 0 < moved < 40


def test_updated_ring_equals_a_rebuilt_one():
    targets = [make_target(f't{index}') for index in range(12)]
    ring = make_ring(targets[:6])
    ring.update(('t0', 't3', 'unknown'), {f't{index}': 96 for index in (9, 11)})
    remaining = [targets[index] for index in (1, 2, 4, 5, 9, 11)]
    for index in range(50):
        key = f'object-{index}'
        assert list(ring.walk(key)) == list(make_ring(remaining).walk(key))


def test_targets_of_the_own_region_get_six_times_the_objects_of_others():
    targets = [
        make_target(f't{index}', zone='east-a' if index < 10 else 'west-a')
        for index in range(20)
    ]
    ring = make_ring(targets)
    firsts = [next(ring.walk(f'object-{index}')) for index in range(4000)]
    of_region = sum(int(name[1:]) < 10 for name in firsts)
    assert 0.8 < of_region / len(firsts) < 0.91
    fractions = [firsts.count(f't{index}') / of_region for index in range(10)]
    assert 0.06 < min(fractions) and max(fractions) < 0.15


def test_order_of_an_object_names_a_limited_number_of_targets():
    ring = make_ring([make_target(f't{index}') for index in range(400)])
    assert len(list(ring.walk('object-1'))) == MAX_EXAMINED_TARGETS
    assert not list(make_ring([]).walk('object-1'))


def test_request_is_refused_at_once_when_its_targets_are_full():
    full = TargetLoad(slots=9)
    full.in_flight = 40
    assert choose_target([Candidate(make_target(), full)], URGENCY, 1.0) is None
    assert choose_target([], URGENCY, 1.0) is None


def test_less_urgent_requests_wait_in_a_shorter_queue():
    load = TargetLoad(slots=9)
    load.in_flight = 14
    candidates = [Candidate(make_target(), load)]
    assert choose_target(candidates, URGENCY, 1.0) is not None
    assert choose_target(candidates, URGENCY._replace(priority=2), 1.0) is None


def make_registry(*targets, now=0.0):
    registry = TargetRegistry(
        location=LOCATION, regions=REGIONS, limits=make_limits(REGIONS)
    )
    registry.replace_targets({target.id: target for target in targets}, now)
    registry.set_vm_groups('vm-1', {'east-a': VmGroup(('vm-1',), 1, 1)})
    return registry


def list_ids(registry, query=QUERY, now=10.0):
    found = registry.list_candidates(query, now, 2)
    return {candidate.target.id for candidate in found}


@pytest.mark.parametrize(
    ('fields', 'query'),
    (
        ({'is_draining': True}, QUERY),
        ({'service': 'feed'}, QUERY),
        ({'zone': 'west-a'}, QUERY._replace(homes=frozenset(('east',)))),
        ({}, QUERY._replace(tried=frozenset(('t1',)))),
    ),
)
def test_target_that_may_not_serve_is_left_out(fields, query):
    registry = make_registry(make_target('t1', **fields))
    assert list_ids(registry, query) == set()


def test_evacuated_zone_gets_nothing_and_returns_cold():
    registry = make_registry(make_target('t1'))
    configuration = Configuration(
        version=1,
        hosts={},
        services={'guide': Service('guide', '/health', 3.0, 16.0)},
        teams={},
        keys={},
        limits=None,
    )
    registry.set_evacuated_zones(frozenset(('east-a',)), configuration, 10.0)
    assert list_ids(registry) == set()
    registry.set_evacuated_zones(frozenset(), configuration, 20.0)
    assert list_ids(registry) == {'t1'}
    assert registry.is_cold('t1', 22.0)
    assert not registry.is_cold('t1', 23.5)


COLD_RATE_PER_SECOND = 13.0
MAX_COLD_REQUESTS = 1.5 * COLD_RATE_PER_SECOND + 5


def make_views(sizes, registered_count):
    """Return how each VM sees its zone when it is partitioned."""
    views = []
    first = 0
    for size in sizes:
        vms = tuple(f'vm-{first + index}' for index in range(size))
        first += size
        views.extend((vm, VmGroup(vms, size, registered_count)) for vm in vms)
    return views


def make_cold_registries(views, now=0.0):
    registries = []
    for vm, group in views:
        registry = make_registry(make_target('t1', cold_seconds=8.0), now=now)
        registry.set_vm_groups(
            vm, {'east-a': group, 'east-b': VmGroup((), 0, 4)}
        )
        registries.append(registry)
    return registries


def list_sent_at(registries, since, until):
    steps = range(round(since * 100), round(until * 100))
    return [
        step / 100
        for step in steps
        for registry in registries
        if list_ids(registry, now=step / 100)
        and registry.try_acquire(
            make_target('t1'), COLD_RATE_PER_SECOND, step / 100
        )
    ]


def compute_max_per_second(sent_at):
    return max(sum(at <= other < at + 1 for other in sent_at) for at in sent_at)


def test_cold_target_gets_its_rate_from_all_vms_together():
    registries = make_cold_registries(make_views((8,), registered_count=8))
    sent_at = list_sent_at(registries, 0.0, 6.0)
    assert compute_max_per_second(sent_at) <= COLD_RATE_PER_SECOND
    assert len(sent_at) > 0.6 * COLD_RATE_PER_SECOND * 6


def test_cold_target_is_served_by_owners_only():
    registries = make_cold_registries(make_views((8,), registered_count=8))
    assert (
        sum(bool(list_ids(registry, now=1.0)) for registry in registries) == 2
    )
    assert all(list_ids(registry, now=9.0) == {'t1'} for registry in registries)


@pytest.mark.parametrize('vms', (2, 4, 16, 48))
def test_vms_that_restart_at_once_keep_the_bound_of_a_cold_target(vms):
    alone = [(f'vm-{index}', VmGroup((f'vm-{index}',), 1, vms))
             for index in range(vms)]  # fmt: skip
    before = list_sent_at(
        make_cold_registries(make_views((vms,), registered_count=vms)),
        0.0,
        0.95,
    )
    after = list_sent_at(make_cold_registries(alone, now=0.95), 0.95, 2.95)
    assert compute_max_per_second(before + after) <= MAX_COLD_REQUESTS


def test_vm_without_entries_from_the_store_sends_nothing_to_a_cold_target():
    registries = make_cold_registries((('vm-1', VmGroup(('vm-1',), 1, 0)),))
    assert not list_sent_at(registries, 0.0, 2.0)


@pytest.mark.parametrize(
    'sizes',
    ((2, 6), (4, 4), (3, 3, 2), (1, 1, 6), (1, 1, 1, 1, 4), (1,) * 8),
)
def test_partitions_of_a_zone_keep_the_bound_of_a_cold_target(sizes):
    registries = make_cold_registries(make_views(sizes, registered_count=8))
    sent_at = list_sent_at(registries, 0.0, 8.0)
    assert compute_max_per_second(sent_at) <= MAX_COLD_REQUESTS


@pytest.mark.parametrize('rate', (1.0, 4.0, 13.0, 40.0, 100.0))
def test_twice_as_many_owners_keep_the_bound_of_a_cold_target(rate):
    target = make_target('t1', cold_seconds=8.0)
    registries = make_cold_registries(
        (f'vm-{index}', VmGroup((f'vm-{index}',), 8, 8)) for index in range(4)
    )
    sent_at = [
        step / 500
        for step in range(4000)
        for registry in registries
        if registry.try_acquire(target, rate, step / 500)
    ]
    assert compute_max_per_second(sent_at) <= 1.5 * rate + 5


def test_region_owns_cold_targets_of_a_zone_without_vms():
    registry = make_registry(make_target('t1', zone='east-b', cold_seconds=8.0))
    group = VmGroup(('vm-1',), 1, 1)
    registry.set_vm_groups('vm-1', {'east-a': group, 'east-b': VmGroup()})
    assert list_ids(registry, now=1.0) == {'t1'}
    registry.set_vm_groups(
        'vm-1', {'east-a': group, 'east-b': VmGroup((), 0, 2)}
    )
    assert list_ids(registry, now=1.0) == set()


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


def test_restarted_target_starts_without_failures():
    registry = make_registry(make_target('t1'))
    registry.loads['t1'].record_failure(9.0, is_lost=True)
    registry.replace_targets({'t1': make_target('t1', slots=5)}, 9.1)
    assert registry.loads['t1'].is_on_trial()
    registry.replace_targets({'t1': make_target('t1', started_at=2)}, 9.2)
    assert not registry.loads['t1'].is_on_trial()


def test_reported_load_halves_every_quarter_second():
    load = TargetLoad(slots=9)
    load.record_reported_load(8, 1.0)
    assert load.estimate_requests(1.0) == 8
    assert load.estimate_requests(1.25) == 4


def make_load(pending):
    """Return the load of a target of nine slots with some requests."""
    load = TargetLoad(slots=9)
    load.in_flight = pending
    return load
