"""The targets of all services as this VM sees them."""

from collections.abc import Iterable, Iterator, Mapping, Set
from itertools import islice
from typing import Final, NamedTuple

from toucanhall.fleet.model import Configuration, Target
from toucanhall.placement.choice import Candidate
from toucanhall.placement.cold_targets import (
    ColdTargetBucket,
    VmGroup,
    compute_rate_fraction,
    find_owner_groups,
)
from toucanhall.placement.load import TargetLoad
from toucanhall.placement.hash_ring import Location, HashRing, count_points

__all__ = ('TargetRegistry', 'TargetQuery')

# Time for which a target that was named by its address alone is left alone.
_GONE_SECONDS: Final = 3.0
# Rings that are kept: twenty services with a few sets of home regions each.
_MOST_RINGS: Final = 100


class TargetQuery(NamedTuple):
    """What limits the targets of a request."""

    service: str
    key: str
    homes: frozenset[str]
    tried: frozenset[str]


class TargetRegistry:
    """Load, health and coldness of each target, and the order for objects."""

    def __init__(
        self, *, location: Location, regions: Mapping[str, str]
    ) -> None:
        """Start without targets."""
        self._place = location
        self._regions = dict(regions)
        self._targets: dict[str, Target] = {}
        self._rings: dict[tuple[str, frozenset[str]], HashRing] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._cold_until: dict[str, float] = {}
        self._cold_parts: dict[str, ColdTargetBucket] = {}
        self._parts: dict[str, float] = {}
        self._vm = ''
        self._groups: Mapping[str, VmGroup] = {}
        self.loads: dict[str, TargetLoad] = {}

    def replace_targets(
        self, targets: Mapping[str, Target], now: float
    ) -> None:
        """Take the list of targets; new incarnations start anew."""
        gone = self._targets.keys() - targets.keys()
        written = {
            name: target
            for name, target in targets.items()
            if self._targets.get(name) is not target
        }
        started = {
            name
            for name, target in written.items()
            if not _is_same(self._targets.get(name), target)
        }
        for name in gone | started:
            self._cold_parts.pop(name, None)
            self._parts.pop(name, None)
        for name in gone:
            self.loads.pop(name, None)
            self._cold_until.pop(name, None)
        for name in started:
            self.loads[name] = TargetLoad(slots=targets[name].slots)
        for name, target in written.items():
            known = self._targets.get(name)
            if known is None or known.cold_seconds != target.cold_seconds:
                self._cold_until[name] = now + target.cold_seconds
        self._targets = dict(targets)
        for (service, homes), ring in self._rings.items():
            self._change_ring(ring, gone | started, started, service, homes)

    def set_evacuated_zones(
        self,
        zones: frozenset[str],
        configuration: Configuration | None,
        now: float,
    ) -> None:
        """Take the evacuated zones; those taken back count as cold."""
        returned = self._evacuated - zones
        self._evacuated = zones
        for name, target in self._targets.items():
            service = configuration and configuration.services.get(
                target.service,
            )
            if target.zone in returned and service:
                self._cold_until[name] = now + service.cold_seconds
                self._cold_parts.pop(name, None)

    def set_vm_groups(self, own: str, groups: Mapping[str, VmGroup]) -> None:
        """Take the VMs of each zone as this VM sees them."""
        if (own, groups) != (self._vm, self._groups):
            self._vm = own
            self._groups = groups
            self._parts = {}

    def list_candidates(
        self,
        need: TargetQuery,
        now: float,
        most: int,
    ) -> list[Candidate]:
        """Return the first targets that may serve a request, best first."""
        return list(islice(self._list_able(need, now), most))

    def is_in_own_region(self, target: Target) -> bool:
        """Whether a target is in the region of this VM."""
        return self._regions.get(target.zone) == self._place.region

    def is_cold(self, target: str, now: float) -> bool:
        """Whether a target is still cold."""
        return now < self._cold_until.get(target, 0.0)

    def try_acquire(
        self, target: Target, per_second: float, now: float
    ) -> bool:
        """Take a token of a cold target; tell whether there was one."""
        if not per_second or not self.is_cold(target.id, now):
            return True
        part = self._cold_parts.get(target.id)
        if part is None:
            part = ColdTargetBucket(now=now)
            self._cold_parts[target.id] = part
        return part.try_acquire(per_second * self._find_part(target), now)

    def suspend(self, target: str, now: float) -> None:
        """Leave a target alone whose address another target has."""
        load = self.loads.get(target)
        if load is not None:
            load.suspended_until = now + _GONE_SECONDS

    def _may_serve(self, target: Target, need: TargetQuery, now: float) -> bool:
        if target.is_draining or target.zone in self._evacuated:
            return False
        if target.id in need.tried:
            return False
        load = self.loads[target.id]
        if load.is_suspended(now) or (load.is_on_trial() and load.in_flight):
            return False
        return not self.is_cold(target.id, now) or self._find_part(target) > 0

    def _list_able(self, need: TargetQuery, now: float) -> Iterator[Candidate]:
        ring = self._find_ring(need.service, need.homes)
        for name in ring.walk(need.key):
            target = self._targets[name]
            if self._may_serve(target, need, now):
                yield Candidate(target, self.loads[name])

    def _find_part(self, target: Target) -> float:
        found = self._parts.get(target.id)
        if found is None:
            groups = find_owner_groups(target.zone, self._groups, self._regions)
            found = compute_rate_fraction(self._vm, target.id, groups)
            self._parts[target.id] = found
        return found

    def _find_ring(self, service: str, homes: frozenset[str]) -> HashRing:
        ring = self._rings.get((service, homes))
        if ring is None:
            if len(self._rings) >= _MOST_RINGS:
                self._rings.clear()
            ring = HashRing()
            self._change_ring(ring, set(), self._targets, service, homes)
            self._rings[service, homes] = ring
        return ring

    def _change_ring(
        self,
        ring: HashRing,
        gone: Set[str],
        added: Iterable[str],
        service: str,
        homes: frozenset[str],
    ) -> None:
        found = [self._targets[name] for name in added]
        points = {
            target.id: count_points(target.zone, self._place, self._regions)
            for target in found
            if target.service == service
            and (not homes or self._regions.get(target.zone) in homes)
        }
        if points or not gone.isdisjoint(ring):
            ring.update(gone, points)


def _is_same(known: Target | None, target: Target) -> bool:
    return (
        known is not None
        and known.started_at == target.started_at
        and known.address == target.address
        and known.service == target.service
        and known.zone == target.zone
    )
