"""The order in which targets are preferred for an object.

Load pattern: requests for the same object repeat, and a target that handled
the object lately needs a third of the time. Every VM of a region computes
the same order, and targets that come or go move few objects.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

import xxhash

from toucanhall.fleet.model import Target

__all__ = ('Place', 'rank')

# A target of the own region is preferred for this many times as many objects
# as one of another region. VMs of both zones of a region agree on the order,
# so that an object is warm at few targets; docs/STEERING.md has the table.
_REGION_WEIGHT: Final = 6.0
_FAR_WEIGHT: Final = 1.0
_HASHES: Final = float(1 << 64)


class Place(NamedTuple):
    """The availability zone and region from which requests are sent."""

    zone: str
    region: str


def rank(
    targets: Iterable[Target],
    place: Place,
    regions: dict[str, str],
    key: str,
) -> tuple[Target, ...]:
    """Return the targets, best first, by weighted rendezvous hashing."""
    scored = [
        (_score(target, key, _weigh(target, place, regions)), target.id, target)
        for target in targets
    ]
    scored.sort(reverse=True, key=_get_score)
    return tuple(entry[2] for entry in scored)


def _get_score(entry: tuple[float, str, Target]) -> tuple[float, str]:
    return entry[0], entry[1]


def _weigh(target: Target, place: Place, regions: dict[str, str]) -> float:
    if regions.get(target.zone) == place.region:
        return _REGION_WEIGHT
    return _FAR_WEIGHT


def _score(target: Target, key: str, weight: float) -> float:
    hashed = xxhash.xxh64_intdigest(f'{key}\0{target.id}'.encode())
    return -weight / math.log((hashed + 1) / (_HASHES + 2))
