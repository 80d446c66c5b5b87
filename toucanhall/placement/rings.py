"""The order of the targets of each service, by service and home regions."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Set
from typing import Final, NamedTuple

from toucanhall.fleet.model import Target
from toucanhall.placement.hash_ring import HashRing, Location, count_points
from toucanhall.placement.region_weights import compute_region_points

__all__ = ('TargetRings',)

# Rings that are cached: twenty services with a few sets of home regions each.
_MAX_RINGS_COUNT: Final = 100

RingKey = tuple[str, frozenset[str]]


class _Room(NamedTuple):
    """The targets of a service in a region, and their slots."""

    slots: int
    targets: int


_NO_ROOM: Final = _Room(0, 0)


class TargetRings:
    """Rings of the targets that may serve requests, made when first used."""

    def __init__(
        self, *, location: Location, regions: Mapping[str, str]
    ) -> None:
        """Start without targets; `regions` names the region of each zone."""
        self._location = location
        self._regions = dict(regions)
        self._zones_by_region = Counter(self._regions.values())
        self._targets: Mapping[str, Target] = {}
        self._is_by_capacity = False
        self._rooms: Mapping[tuple[str, str], _Room] = {}
        self._rings: dict[RingKey, HashRing] = {}
        self._weights: dict[RingKey, Mapping[str, int]] = {}

    def set_by_capacity(self, is_by_capacity: bool) -> None:
        """Set whether regions get objects by the capacity of their targets."""
        if is_by_capacity != self._is_by_capacity:
            self._is_by_capacity = is_by_capacity
            self._rooms = self._count_rooms() if is_by_capacity else {}
            self._rings.clear()

    def update(
        self,
        targets: Mapping[str, Target],
        removed: Set[str],
        added: Iterable[str],
    ) -> None:
        """Replace the targets, of which some were removed and some added.

        A target that has started again is among both.
        """
        self._targets = targets
        self._rooms = self._count_rooms() if self._is_by_capacity else {}
        added = frozenset(added)
        for key, ring in self._rings.items():
            self._update_ring(key, ring, removed, added)

    def walk(
        self, service: str, homes: frozenset[str], object_key: str
    ) -> Iterator[Target]:
        """Yield the first targets of an object, best first.

        `homes` are the regions that may serve it, empty for all.
        """
        for name in self._get_ring((service, homes)).walk(object_key):
            yield self._targets[name]

    def _get_ring(self, key: RingKey) -> HashRing:
        ring = self._rings.get(key)
        if ring is None:
            if len(self._rings) >= _MAX_RINGS_COUNT:
                self._rings.clear()
            ring = HashRing()
            self._weights.pop(key, None)
            self._update_ring(key, ring, frozenset(), self._targets)
            self._rings[key] = ring
        return ring

    def _update_ring(
        self,
        key: RingKey,
        ring: HashRing,
        removed: Set[str],
        added: Iterable[str],
    ) -> None:
        if self._is_by_capacity:
            changed = self._replace_weights(key, ring) - removed
        else:
            changed = frozenset()
        points = {
            name: self._count_points(key, self._targets[name].zone)
            for name in (*added, *changed)
            if self._may_serve(self._targets[name], key)
        }
        outdated = removed | changed
        if points or not outdated.isdisjoint(ring):
            ring.update(outdated, points)

    def _replace_weights(self, key: RingKey, ring: HashRing) -> Set[str]:
        """Weigh the regions anew; return the targets of those that changed.

        Targets that were removed may be among them.
        """
        before = self._weights.get(key, {})
        weights = self._weigh_regions(key)
        self._weights[key] = weights
        changed = {
            region
            for region in weights.keys() | before.keys()
            if weights.get(region) != before.get(region)
        }
        if not changed:
            return frozenset()
        return {
            name
            for name in ring
            if name not in self._targets
            or self._find_region(self._targets[name]) in changed
        }

    def _count_points(self, key: RingKey, zone: str) -> int:
        """Return the points of a target of a zone on a ring."""
        if self._is_by_capacity:
            return self._weights[key][self._regions.get(zone, '')]
        return count_points(zone, self._location, self._regions)

    def _weigh_regions(self, key: RingKey) -> Mapping[str, int]:
        """Return the points of a target on a ring, by its region."""
        service, homes = key
        rooms = {
            region: room
            for (name, region), room in self._rooms.items()
            if name == service and (not homes or region in homes)
        }
        return compute_region_points(
            self._location.region,
            self._zones_by_region,
            {region: room.slots for region, room in rooms.items()},
            {region: room.targets for region, room in rooms.items()},
        )

    def _count_rooms(self) -> Mapping[tuple[str, str], '_Room']:
        """Return the room of each service and region.

        All rings share it: with 3,000 targets and twenty rings, a count for
        each ring took more time than all requests.
        """
        rooms: dict[tuple[str, str], _Room] = {}
        for target in self._targets.values():
            key = (target.service, self._find_region(target))
            slots, targets = rooms.get(key, _NO_ROOM)
            rooms[key] = _Room(slots + target.slots, targets + 1)
        return rooms

    def _find_region(self, target: Target) -> str:
        return self._regions.get(target.zone, '')

    def _may_serve(self, target: Target, key: RingKey) -> bool:
        service, homes = key
        return target.service == service and (
            not homes or self._regions.get(target.zone) in homes
        )
