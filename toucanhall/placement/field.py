"""The targets of all services as this VM sees them."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from toucanhall.fleet.model import Configuration, Target
from toucanhall.placement.choice import Candidate
from toucanhall.placement.cold import ColdPart, pick_owners
from toucanhall.placement.load import TargetLoad
from toucanhall.placement.order import Place, rank

__all__ = ('Field', 'Need')

_ORDERS_KEPT: Final = 4096  # objects whose order is remembered
# Time for which a target that was named by its address alone is left alone.
_GONE_SECONDS: Final = 3.0


class Need(NamedTuple):
    """What limits the targets of a request."""

    service: str
    key: str
    homes: frozenset[str]
    tried: frozenset[str]


class Field:
    """Load, health and coldness of each target, and the order for objects."""

    def __init__(self, *, place: Place, regions: Mapping[str, str]) -> None:
        """Start without targets."""
        self._place = place
        self._regions = dict(regions)
        self._services: dict[str, tuple[Target, ...]] = {}
        self._targets: dict[str, Target] = {}
        self._orders: dict[tuple[str, str], tuple[Target, ...]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._cold_until: dict[str, float] = {}
        self._cold_parts: dict[str, ColdPart] = {}
        self._owned: dict[str, bool] = {}
        self._vms: tuple[str, Mapping[str, list[str]]] = ('', {})
        self.loads: dict[str, TargetLoad] = {}

    def take_targets(self, targets: Mapping[str, Target], now: float) -> None:
        """Take the list of targets; new incarnations start anew."""
        for name, target in targets.items():
            known = self._targets.get(name)
            if known is None or not _is_same(known, target):
                self.loads[name] = TargetLoad(slots=target.slots)
                self._cold_parts.pop(name, None)
            if known is None or known.cold_seconds != target.cold_seconds:
                self._cold_until[name] = now + target.cold_seconds
        for name in self._targets.keys() - targets.keys():
            self.loads.pop(name, None)
            self._cold_until.pop(name, None)
            self._cold_parts.pop(name, None)
            self._owned.pop(name, None)
        self._targets = dict(targets)
        services: dict[str, list[Target]] = {}
        for target in targets.values():
            services.setdefault(target.service, []).append(target)
        self._services = {
            name: tuple(found) for name, found in services.items()
        }
        self._orders = {}

    def take_evacuations(
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

    def take_vms(self, own: str, vms: Mapping[str, list[str]]) -> None:
        """Take the names of the live VMs of each zone."""
        if (own, vms) != self._vms:
            self._vms = (own, vms)
            self._owned = {}

    def list_candidates(
        self,
        need: Need,
        now: float,
    ) -> list[Candidate]:
        """Return the targets that may serve a request, best first."""
        return [
            Candidate(target, self.loads[target.id])
            for target in self._order(need.service, need.key)
            if self._may_serve(target, need, now)
        ]

    def is_near(self, target: Target) -> bool:
        """Whether a target is in the region of this VM."""
        return self._regions.get(target.zone) == self._place.region

    def is_cold(self, target: str, now: float) -> bool:
        """Whether a target is still cold."""
        return now < self._cold_until.get(target, 0.0)

    def spend(self, target: Target, per_second: float, now: float) -> bool:
        """Take a token of a cold target; tell whether there was one."""
        if not per_second or not self.is_cold(target.id, now):
            return True
        part = self._cold_parts.get(target.id)
        if part is None:
            part = ColdPart(per_second=per_second, now=now)
            self._cold_parts[target.id] = part
        if not self._is_owner(target) or not part.has_room(now):
            return False
        part.spend()
        return True

    def lose(self, target: str, now: float) -> None:
        """Leave a target alone whose address another target has."""
        load = self.loads.get(target)
        if load is not None:
            load.suspended_until = now + _GONE_SECONDS

    def _may_serve(self, target: Target, need: Need, now: float) -> bool:
        if target.is_draining or target.zone in self._evacuated:
            return False
        if target.id in need.tried:
            return False
        if need.homes and self._regions.get(target.zone) not in need.homes:
            return False
        load = self.loads[target.id]
        if load.is_suspended(now) or (load.is_on_trial() and load.in_flight):
            return False
        return not self.is_cold(target.id, now) or self._is_owner(target)

    def _is_owner(self, target: Target) -> bool:
        found = self._owned.get(target.id)
        if found is None:
            own, vms = self._vms
            near = vms.get(target.zone) or self._list_region(target.zone, vms)
            found = own in pick_owners(target.id, near)
            self._owned[target.id] = found
        return found

    def _list_region(
        self,
        zone: str,
        vms: Mapping[str, list[str]],
    ) -> Iterable[str]:
        region = self._regions.get(zone)
        near = [
            vm
            for found, names in vms.items()
            if self._regions.get(found) == region
            for vm in names
        ]
        return near or [vm for names in vms.values() for vm in names]

    def _order(self, service: str, key: str) -> tuple[Target, ...]:
        order = self._orders.get((service, key))
        if order is None:
            if len(self._orders) >= _ORDERS_KEPT:
                self._orders.clear()
            order = rank(
                self._services.get(service, ()),
                self._place,
                self._regions,
                key,
            )
            self._orders[service, key] = order
        return order


def _is_same(known: Target, target: Target) -> bool:
    return (
        known.started_at == target.started_at
        and known.address == target.address
        and known.service == target.service
    )
