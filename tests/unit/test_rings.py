"""Tests of the order of targets where regions hold unlike numbers of them."""

from collections import Counter

import pytest

from tests.fleetdata import make_target
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.region_weights import compute_region_points
from toucanhall.placement.rings import TargetRings

REGIONS = {
    'east-a': 'east',
    'east-b': 'east',
    'west-a': 'west',
    'west-b': 'west',
    'south-a': 'south',
    'south-b': 'south',
}
ZONES_BY_REGION = Counter(REGIONS.values())
UNEVEN = {'east': 4, 'west': 15, 'south': 18}
OBJECTS_PER_REGION = 600


def make_targets(counts):
    """Return as many targets as each region holds, in turn in its zones."""
    zones = {
        region: [zone for zone in REGIONS if REGIONS[zone] == region]
        for region in counts
    }
    targets = [
        make_target(f'{region}-{index}', zone=zones[region][index % 2], slots=6)
        for region, count in counts.items()
        for index in range(count)
    ]
    return {target.id: target for target in targets}


def make_rings(targets, region, is_by_capacity):
    rings = TargetRings(
        location=Location(f'{region}-a', region), regions=REGIONS
    )
    rings.set_by_capacity(is_by_capacity)
    rings.update(targets, frozenset(), targets)
    return rings


def find_first(rings, key, *homes):
    return next(rings.walk('guide', frozenset(homes), key))


def count_objects(targets, is_by_capacity):
    """Return the objects of each target; each region asks for its own."""
    counts = Counter(dict.fromkeys(targets, 0))
    for region in UNEVEN:
        rings = make_rings(targets, region, is_by_capacity)
        counts.update(
            find_first(rings, f'{region}-object-{index}').id
            for index in range(OBJECTS_PER_REGION)
        )
    return counts


def compute_region_load(counts, region):
    """Return the objects per target of a region over the mean of all."""
    found = [counts[name] for name in counts if name.startswith(region)]
    return sum(found) / len(found) * len(counts) / counts.total()


def test_region_with_few_targets_is_not_overloaded():
    counts = count_objects(make_targets(UNEVEN), is_by_capacity=True)
    for region in UNEVEN:
        assert compute_region_load(counts, region) == pytest.approx(1, abs=0.2)


def test_other_deployments_keep_their_order():
    counts = count_objects(make_targets(UNEVEN), is_by_capacity=False)
    assert compute_region_load(counts, 'east') > 1.3


def test_region_with_enough_targets_keeps_most_objects():
    rings = make_rings(make_targets(UNEVEN), 'south', is_by_capacity=True)
    kept = sum(
        find_first(rings, f'object-{index}').zone in {'south-a', 'south-b'}
        for index in range(400)
    )
    assert 0.65 < kept / 400 < 0.9


def test_added_target_moves_few_objects():
    targets = make_targets(UNEVEN)
    rings = make_rings(targets, 'east', is_by_capacity=True)
    keys = [f'object-{index}' for index in range(400)]
    before = [find_first(rings, key).id for key in keys]
    added = make_target('west-new', zone='west-a', slots=6)
    rings.update({**targets, added.id: added}, frozenset(), (added.id,))
    after = [find_first(rings, key).id for key in keys]
    moved = sum(old != new for old, new in zip(before, after, strict=True))
    assert moved < 0.15 * len(keys)


def test_updated_rings_equal_new_ones():
    targets = make_targets(UNEVEN)
    rings = make_rings(targets, 'east', is_by_capacity=True)
    find_first(rings, 'object')
    removed = {name for name in targets if name.startswith('west-1')}
    left = {name: targets[name] for name in targets.keys() - removed}
    rings.update(left, removed, ())
    fresh = make_rings(left, 'east', is_by_capacity=True)
    for index in range(100):
        key = f'object-{index}'
        assert find_first(rings, key) == find_first(fresh, key)


def test_objects_of_home_regions_stay_there():
    rings = make_rings(make_targets(UNEVEN), 'east', is_by_capacity=True)
    zones = {
        find_first(rings, f'object-{index}', 'west').zone for index in range(50)
    }
    assert zones <= {'west-a', 'west-b'}


@pytest.mark.parametrize(
    'slots',
    ({}, {'east': 12}, {'west': 12}, {'': 12}, {'east': 0, 'west': 12}),
)
def test_missing_regions_and_slots_leave_each_target_a_place(slots):
    counts = dict.fromkeys(slots, 2)
    points = compute_region_points('east', ZONES_BY_REGION, slots, counts)
    assert points.keys() == slots.keys()
    assert all(count >= 1 for count in points.values())
