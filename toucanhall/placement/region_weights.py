"""Divides the objects of a region among the targets of all regions.

Load pattern: regions send about as many requests each, but hold one, four and
five parts of the targets, and their peaks are not in step. With the same weight
for each target of the own region, those of the smallest region get half as much
again as they can serve, run requests without their objects and fail the callers
of their zones, while targets of other regions have room. So a region keeps a
part of what its own targets can serve of its share, and gives the rest to the
targets that have room then, in proportion to it: a peak of one region is spread
over all.

All VMs of a region compute the same weights from the list of targets: they do
not depend on the load of the moment, which would move objects from targets that
hold them.
"""

from collections.abc import Mapping
from typing import Final

__all__ = ('compute_region_points',)

# Part of its requests that a region keeps if its targets can serve them. All of
# them would leave its peaks to its own targets, none would send two thirds of
# all bodies over the links between regions.
_KEPT_FRACTION: Final = 0.5
# Points of a target on the ring at the full weight, as in `hash_ring`.
_MAX_POINTS: Final = 96
# A target without any weight still has a place in the order, after all others.
_MIN_POINTS: Final = 1
# Weights change in steps, so that a target that joins moves its own objects and
# no others.
_POINTS_STEP: Final = 8


def compute_region_points(
    own: str,
    zones_by_region: Mapping[str, int],
    slots_by_region: Mapping[str, int],
    targets_by_region: Mapping[str, int],
) -> dict[str, int]:
    """Return the points of each target on the ring, by its region.

    `own` is the region whose requests are divided. The demand of a region is
    taken as its share of the zones, its capacity as its share of the slots.
    """
    shares = _compute_shares(own, zones_by_region, slots_by_region)
    weights = {
        region: share / targets_by_region[region]
        for region, share in shares.items()
    }
    largest = max(weights.values(), default=0.0)
    return {
        region: _round_points(weight / largest) if largest else _MIN_POINTS
        for region, weight in weights.items()
    }


def _compute_shares(
    own: str,
    zones_by_region: Mapping[str, int],
    slots_by_region: Mapping[str, int],
) -> dict[str, float]:
    """Return which fraction of all requests each region serves for `own`."""
    demand = _normalize(zones_by_region)
    capacity = _normalize(slots_by_region)
    kept = {
        region: _KEPT_FRACTION * min(demand.get(region, 0.0), share)
        for region, share in capacity.items()
    }
    spare = {region: capacity[region] - kept[region] for region in capacity}
    given = _distribute(demand.get(own, 0.0) - kept.get(own, 0.0), spare)
    return {
        region: share + kept[own] if region == own else share
        for region, share in given.items()
    }


def _normalize(counts: Mapping[str, int]) -> dict[str, float]:
    """Return the fraction of the total that each count is."""
    total = max(1, sum(counts.values()))
    return {name: count / total for name, count in counts.items()}


def _distribute(
    amount: float, proportions: Mapping[str, float]
) -> dict[str, float]:
    """Return an amount divided in the given proportions."""
    total = sum(proportions.values())
    return {
        name: amount * proportion / total if total else 0.0
        for name, proportion in proportions.items()
    }


def _round_points(weight: float) -> int:
    steps = round(weight * _MAX_POINTS / _POINTS_STEP)
    return max(_MIN_POINTS, steps * _POINTS_STEP)
