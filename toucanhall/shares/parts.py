"""Computes the share of each team's limit that a slot holds.

This includes the time between two revisions of the limits.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

import xxhash

from toucanhall.catalogue import Catalogue, Team

__all__ = (
    'Limit',
    'find_zone_part',
    'compute_min_limit',
    'list_slots',
)

# A smaller burst per slot is divided over fewer slots.
_MIN_SLOT_TOKENS: Final = 2.0


class Limit(NamedTuple):
    """A rate in tokens/s and a burst in tokens."""

    rate: float
    burst: float


def find_zone_part(catalogue: Catalogue, zone: str, team: Team) -> float:
    """Return the fraction (0 to 1) of a team's limit that a zone holds.

    A burst that is too small to be divided among all zones is held by a few.
    """
    holding_zones = _rank(team.name, catalogue.zones)
    while len(holding_zones) > 1:
        total = sum(catalogue.zones[name].fraction for name in holding_zones)
        min_fraction = min(
            catalogue.zones[name].fraction for name in holding_zones
        )
        if total and team.burst * min_fraction / total >= 1:
            break
        holding_zones.pop()
    if zone not in holding_zones:
        return 0.0
    if len(holding_zones) == len(catalogue.zones):
        return catalogue.zones[zone].fraction
    total = sum(catalogue.zones[name].fraction for name in holding_zones)
    return catalogue.zones[zone].fraction / total if total else 0.0


def list_slots(catalogue: Catalogue, zone: str, team: Team) -> tuple[int, ...]:
    """Return the slots of a zone that hold a team's limit."""
    size = catalogue.slots_per_zone
    tokens = team.burst * find_zone_part(catalogue, zone, team)
    count = min(size, max(1, int(tokens / _MIN_SLOT_TOKENS)))
    ranked = _rank(team.name, (str(slot) for slot in range(size)))
    return tuple(int(slot) for slot in ranked[:count])


def compute_slot_limits(
    catalogue: Catalogue,
    zone: str,
    team: str,
) -> Mapping[int, Limit]:
    """Return the share of a team's limit for each slot of a zone."""
    found = catalogue.teams.get(team)
    if found is None or zone not in catalogue.zones:
        return {}
    slots = list_slots(catalogue, zone, found)
    fraction_per_slot = find_zone_part(catalogue, zone, found) / len(slots)
    return dict.fromkeys(
        slots,
        Limit(found.rate * fraction_per_slot, found.burst * fraction_per_slot),
    )


def compute_min_limit(
    catalogues: Iterable[Catalogue],
    zone: str,
    team: str,
    slots: frozenset[int],
) -> Limit:
    """Return the sum over slots of the minimum limit in some catalogues."""
    found = [
        compute_slot_limits(catalogue, zone, team) for catalogue in catalogues
    ]
    nothing = Limit(0, 0)
    rate = sum(
        min((limits.get(slot, nothing).rate for limits in found), default=0)
        for slot in slots
    )
    burst = sum(
        min((limits.get(slot, nothing).burst for limits in found), default=0)
        for slot in slots
    )
    return Limit(rate, burst)


def _rank(team: str, names: Iterable[str]) -> list[str]:
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{team}/{name}'.encode()),
    )
