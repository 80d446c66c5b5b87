"""The order in which targets are preferred for an object.

Load pattern: requests for the same object repeat, and a target that handled
the object lately needs a third of the time. Every VM of a region computes
the same order, targets that come or go move only their own objects, and what
a request costs does not grow with the targets: they stand on a ring at points
of their hash, and an object belongs to those that follow its own hash.
"""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from hashlib import shake_128
from itertools import chain
from typing import Final, NamedTuple

import xxhash

__all__ = ('MAX_EXAMINED_TARGETS', 'Location', 'HashRing', 'count_points')

# Targets of the own region stand on the ring at six times as many points as
# those of another region. VMs of both zones of a region agree on the order,
# so that an object is warm at few targets; docs/STEERING.md has the table.
_REGION_WEIGHT: Final = 6
# Shares of the targets of the own region differ by a tenth with 96 points.
_POINTS: Final = 16
_HASH_BYTES: Final = 8
# Targets of the order that are looked at for a request: more than a zone has
# that was just lost, of the deployments' sizes in other regions.
MAX_EXAMINED_TARGETS: Final = 64


class Location(NamedTuple):
    """The availability zone and region from which requests are sent."""

    zone: str
    region: str


def count_points(zone: str, place: Location, regions: Mapping[str, str]) -> int:
    """Return at how many points of the ring a target of a zone stands."""
    if regions.get(zone) == place.region:
        return _POINTS * _REGION_WEIGHT
    return _POINTS


class HashRing:
    """Targets at the points of their hashes, by their ids."""

    def __init__(self) -> None:
        """Start without targets."""
        self._points = array('Q')
        self._owners = array('I')
        self._names: dict[int, str] = {}
        self._placed: dict[str, _Placed] = {}
        self._next_number = 0

    def update(self, gone: Iterable[str], added: Mapping[str, int]) -> None:
        """Drop some targets and add others with their numbers of points."""
        for name in gone:
            self._drop(name)
        is_new = not self._placed
        for added_name, count in added.items():
            placed = _Placed(self._next_number, count)
            self._next_number += 1
            self._names[placed.number] = added_name
            self._placed[added_name] = placed
            if not is_new:
                self._insert(added_name, placed)
        if is_new:
            self._fill()

    def __iter__(self) -> Iterator[str]:
        """Return the ids of all targets."""
        return iter(self._placed)

    def walk(self, key: str) -> Iterator[str]:
        """Yield the ids of the first targets of an object, best first."""
        owners = self._owners
        start = bisect_left(self._points, xxhash.xxh64_intdigest(key.encode()))
        seen: set[int] = set()
        most = min(MAX_EXAMINED_TARGETS, len(self._names))
        for index in chain(range(start, len(owners)), range(start)):
            if len(seen) == most:
                return
            owner = owners[index]
            if owner not in seen:
                seen.add(owner)
                yield self._names[owner]

    def _fill(self) -> None:
        found = sorted(
            (point, placed.number)
            for name, placed in self._placed.items()
            for point in _hash(name, placed.points)
        )
        self._points = array('Q', (point for point, _number in found))
        self._owners = array('I', (number for _point, number in found))

    def _insert(self, name: str, placed: '_Placed') -> None:
        for point in _hash(name, placed.points):
            index = bisect_left(self._points, point)
            self._points.insert(index, point)
            self._owners.insert(index, placed.number)

    def _drop(self, name: str) -> None:
        placed = self._placed.pop(name, None)
        if placed is None:
            return
        self._names.pop(placed.number)
        for point in _hash(name, placed.points):
            index = bisect_left(self._points, point)
            while self._owners[index] != placed.number:
                index += 1
            self._points.pop(index)
            self._owners.pop(index)


class _Placed(NamedTuple):
    number: int
    points: int


def _hash(name: str, count: int) -> 'array[int]':
    return array('Q', shake_128(name.encode()).digest(count * _HASH_BYTES))
