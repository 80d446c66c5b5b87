"""The order in which targets are preferred for an object.

Load pattern: requests for the same object repeat, and a target that served the
object lately needs a third of the time. So the order is by consistent hashing:
each target has points on a ring, and an object belongs to the targets whose
points follow its own hash. Every VM of a region computes the same order,
targets that come or go move only their own objects, and the cost of a request
does not grow with the number of targets.
"""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from hashlib import shake_128
from itertools import chain
from typing import Final, NamedTuple

import xxhash

__all__ = (
    'MAX_EXAMINED_TARGETS',
    'REGION_POINTS_RATIO',
    'HashRing',
    'Location',
    'count_points',
)

# A target of the own region has this many times as many points as one of
# another region. VMs of all zones of a region agree on the order, so that an
# object is cached at few targets; docs/STEERING.md has the table.
REGION_POINTS_RATIO: Final = 6
# The objects per target of the own region differ by a tenth with 96 points.
_POINTS_COUNT: Final = 16
_HASH_BYTES: Final = 8
# Targets of the order that are examined for a request: more than a zone that
# has just failed holds, at the sizes of zones of other regions in deployments.
MAX_EXAMINED_TARGETS: Final = 64


class Location(NamedTuple):
    """The availability zone and region from which requests are sent."""

    zone: str
    region: str


def count_points(zone: str, place: Location, regions: Mapping[str, str]) -> int:
    """Return how many points a target of a zone has on the ring."""
    if regions.get(zone) == place.region:
        return _POINTS_COUNT * REGION_POINTS_RATIO
    return _POINTS_COUNT


class HashRing:
    """Ids of targets at the points of their hashes."""

    def __init__(self) -> None:
        """Start without targets."""
        self._points = array('Q')
        self._owners = array('I')
        self._names: dict[int, str] = {}
        self._nodes: dict[str, _Node] = {}
        self._next_number = 0

    def update(self, removed: Iterable[str], added: Mapping[str, int]) -> None:
        """Remove some targets and add others with their numbers of points."""
        for name in removed:
            self._remove(name)
        is_empty = not self._nodes
        for added_name, point_count in added.items():
            node = _Node(self._next_number, point_count)
            self._next_number += 1
            self._names[node.number] = added_name
            self._nodes[added_name] = node
            if not is_empty:
                self._insert(added_name, node)
        if is_empty:
            self._build()

    def __iter__(self) -> Iterator[str]:
        """Return the ids of all targets."""
        return iter(self._nodes)

    def walk(self, key: str) -> Iterator[str]:
        """Yield the ids of the first targets of an object, best first."""
        owners = self._owners
        start = bisect_left(self._points, xxhash.xxh64_intdigest(key.encode()))
        seen: set[int] = set()
        max_count = min(MAX_EXAMINED_TARGETS, len(self._names))
        for index in chain(range(start, len(owners)), range(start)):
            if len(seen) == max_count:
                return
            owner = owners[index]
            if owner not in seen:
                seen.add(owner)
                yield self._names[owner]

    def _build(self) -> None:
        """Build the ring from all targets."""
        numbered_points = sorted(
            (point, node.number)
            for name, node in self._nodes.items()
            for point in _hash(name, node.point_count)
        )
        self._points = array('Q', (point for point, _number in numbered_points))
        self._owners = array(
            'I',
            (number for _point, number in numbered_points),
        )

    def _insert(self, name: str, node: '_Node') -> None:
        for point in _hash(name, node.point_count):
            index = bisect_left(self._points, point)
            self._points.insert(index, point)
            self._owners.insert(index, node.number)

    def _remove(self, name: str) -> None:
        node = self._nodes.pop(name, None)
        if node is None:
            return
        self._names.pop(node.number)
        for point in _hash(name, node.point_count):
            index = bisect_left(self._points, point)
            while self._owners[index] != node.number:
                index += 1
            self._points.pop(index)
            self._owners.pop(index)


class _Node(NamedTuple):
    """A target on the ring: its number in `_owners`, and its points."""

    number: int
    point_count: int


def _hash(name: str, count: int) -> 'array[int]':
    return array('Q', shake_128(name.encode()).digest(count * _HASH_BYTES))
