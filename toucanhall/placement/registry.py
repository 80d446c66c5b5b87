"""The targets of all services as this VM sees them."""

import math
from collections.abc import Collection, Iterator, Mapping
from itertools import islice
from typing import Final, NamedTuple

from toucanhall.fleet.model import Configuration, Target
from toucanhall.placement.choice import (
    BALANCED_POLICY,
    CAPACITY_POLICY,
    Candidate,
    PlacementPolicy,
)
from toucanhall.placement.cold_targets import (
    compute_rate_fraction,
    find_owner_groups,
)
from toucanhall.placement.cold_times import ColdTimes, is_same_start
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.load import TargetLoad
from toucanhall.placement.owners import VmGroup
from toucanhall.placement.rings import TargetRings
from toucanhall.placement.target_limits import TargetLimits
from toucanhall.placement.target_notices import TargetNotices
from toucanhall.placement.token_bucket import TokenBucket

__all__ = ('TargetQuery', 'TargetRegistry')

# For this time, a target gets no requests after another target answered at its
# address.
_MISDIRECTED_SECONDS: Final = 3.0


class TargetQuery(NamedTuple):
    """Selects and orders the targets that may serve a request.

    `key` names the object, `homes` the regions that may serve it (empty for
    all), `tried` the targets that have been tried, `releases` those of the
    targets that may serve it (None for all).
    """

    service: str
    key: str
    homes: frozenset[str]
    tried: frozenset[str]
    releases: frozenset[str] | None = None


class TargetRegistry:
    """Load and health of each target, which are cold, and their order."""

    def __init__(
        self,
        *,
        location: Location,
        regions: Mapping[str, str],
        limits: TargetLimits,
    ) -> None:
        """Start without targets; `regions` names the region of each zone."""
        self._location = location
        self._regions = dict(regions)
        self._targets: dict[str, Target] = {}
        self._rings = TargetRings(location=location, regions=regions)
        self._evacuated: frozenset[str] = frozenset()
        self._cold_times = ColdTimes()
        self._cold_buckets: dict[str, TokenBucket] = {}
        self._rate_fractions: dict[str, float] = {}
        self._vm = ''
        self._groups: Mapping[str, VmGroup] = {}
        self.loads: dict[str, TargetLoad] = {}
        self.has_large_bodies = False
        self.limits = limits
        self.notices = TargetNotices()

    def replace_targets(
        self, targets: Mapping[str, Target], now: float
    ) -> None:
        """Replace the list of targets.

        A target that has restarted begins without load and failures, and is
        cold from now on.
        """
        removed = self._targets.keys() - targets.keys()
        written = {
            name: target
            for name, target in targets.items()
            if self._targets.get(name) is not target
        }
        started = {
            name
            for name, target in written.items()
            if not is_same_start(self._targets.get(name), target)
        }
        for name in removed | started:
            self._cold_buckets.pop(name, None)
            self._rate_fractions.pop(name, None)
        for name in removed:
            self.loads.pop(name, None)
        for name in started:
            self.loads[name] = TargetLoad(slots=targets[name].slots)
        self._cold_times.remove(removed)
        self._cold_times.record(written.values(), now)
        self._targets = dict(targets)
        self.limits.replace_targets(self._targets, removed | started)
        self._rings.update(self._targets, removed | started, started)

    def set_configuration(self, configuration: Configuration) -> None:
        """Place objects as a configuration asks.

        Where bodies are large, links between regions and a second copy of an
        object cost most.
        """
        self.has_large_bodies = configuration.has_large_bodies
        self._rings.set_by_capacity(self.has_large_bodies)

    def set_evacuated_zones(
        self,
        zones: frozenset[str],
        configuration: Configuration | None,
        now: float,
    ) -> None:
        """Replace the evacuated zones; targets of returned zones are cold."""
        returned = self._evacuated - zones
        self._evacuated = zones
        for name, target in self._targets.items():
            service = configuration and configuration.services.get(
                target.service,
            )
            if target.zone in returned and service:
                self._cold_times.extend(name, now + service.cold_seconds)
                self._cold_buckets.pop(name, None)

    def set_vm_groups(self, own: str, groups: Mapping[str, VmGroup]) -> None:
        """Replace the VMs of each zone as this VM, `own`, sees them."""
        if (own, groups) != (self._vm, self._groups):
            self._vm = own
            self._groups = groups
            self._rate_fractions = {}
            self.limits.set_vm_groups(own, groups)

    @property
    def policy(self) -> PlacementPolicy:
        """How the targets of a request are compared."""
        return CAPACITY_POLICY if self.has_large_bodies else BALANCED_POLICY

    def list_candidates(
        self,
        query: TargetQuery,
        now: float,
        max_count: int,
    ) -> list[Candidate]:
        """Return the first targets that may serve a request, best first."""
        return list(islice(self._iterate_candidates(query, now), max_count))

    def list_releases(self, service: str) -> frozenset[str]:
        """Return the releases of the targets of a service."""
        return frozenset(
            target.release
            for target in self._targets.values()
            if target.service == service and not target.is_draining
        )

    def is_leaving(self, target: Target) -> bool:
        """Whether a target is draining or says that it leaves."""
        known = self._targets.get(target.id, target)
        return known.is_draining or self.notices.is_leaving(target)

    def list_targets(self) -> Collection[Target]:
        """Return the targets of all services."""
        return self._targets.values()

    def is_in_own_region(self, target: Target) -> bool:
        """Whether a target is in the region of this VM."""
        return self._regions.get(target.zone) == self._location.region

    def is_cold(self, target: str, now: float) -> bool:
        """Whether a target is still cold and bears only a low rate."""
        return self._cold_times.is_cold(target, now)

    def try_acquire(
        self, target: Target, per_second: float, now: float
    ) -> bool:
        """Return whether a request may be sent to a target now; count it.

        `per_second` is what a cold target bears from all VMs; 0 for any rate.
        """
        if not self.limits.may_send(target.id):
            return False
        if not self._try_acquire_cold(target, per_second, now):
            return False
        self.limits.record_request(target.id)
        return True

    def compute_limited_rate(
        self, query: TargetQuery, now: float
    ) -> float | None:
        """Return what all VMs may send to the targets of a request per second.

        None if there is none, or if one of them names no limit.
        """
        rate = 0.0
        for target in self._iterate_targets(query):
            if self._is_available(target, query, now):
                if not self.limits.is_limited(target.id):
                    return None
                rate += self.limits.compute_fleet_rate(target.id)
        return rate or None

    def compute_pause_seconds(
        self, query: TargetQuery, now: float
    ) -> float | None:
        """Return after how long a target of a request ends its pause.

        None if one wants no pause, infinite if all that are left leave.
        """
        if self.notices.is_empty:
            return None
        pauses = [
            self.notices.compute_pause_seconds(target, now)
            for target in self._iterate_targets(query)
            if not self._is_excluded(target, query)
            and not self.notices.is_leaving(target)
        ]
        return min(pauses, default=math.inf) or None

    def resume_all(self) -> None:
        """Forget failures: the targets may be well, the links were not."""
        for load in self.loads.values():
            load.resume()

    def suspend(self, target: str, now: float) -> None:
        """Suspend a target since another one answered at its address."""
        load = self.loads.get(target)
        if load is not None:
            load.suspended_until = now + _MISDIRECTED_SECONDS

    def _try_acquire_cold(
        self, target: Target, per_second: float, now: float
    ) -> bool:
        if not per_second or not self.is_cold(target.id, now):
            return True
        bucket = self._cold_buckets.get(target.id)
        if bucket is None:
            bucket = TokenBucket(now=now)
            self._cold_buckets[target.id] = bucket
        return bucket.try_acquire(
            per_second * self._get_rate_fraction(target), now
        )

    def _may_serve(
        self, target: Target, query: TargetQuery, now: float
    ) -> bool:
        return (
            self._is_available(target, query, now)
            and self.limits.may_send(target.id)
            and (
                not self.is_cold(target.id, now)
                or self._get_rate_fraction(target) > 0
            )
        )

    def _is_available(
        self, target: Target, query: TargetQuery, now: float
    ) -> bool:
        """Whether a target serves requests, except for its rates."""
        if self._is_excluded(target, query):
            return False
        if self.notices.compute_pause_seconds(target, now):
            return False
        load = self.loads[target.id]
        return not load.is_suspended(now) and not (
            load.is_on_trial() and load.in_flight
        )

    def _is_excluded(self, target: Target, query: TargetQuery) -> bool:
        return (
            target.is_draining
            or target.zone in self._evacuated
            or target.id in query.tried
            or (
                query.releases is not None
                and target.release not in query.releases
            )
        )

    def _iterate_candidates(
        self,
        query: TargetQuery,
        now: float,
    ) -> Iterator[Candidate]:
        for target in self._iterate_targets(query):
            if self._may_serve(target, query, now):
                yield Candidate(target, self.loads[target.id])

    def _iterate_targets(self, query: TargetQuery) -> Iterator[Target]:
        return self._rings.walk(query.service, query.homes, query.key)

    def _get_rate_fraction(self, target: Target) -> float:
        fraction = self._rate_fractions.get(target.id)
        if fraction is None:
            groups = find_owner_groups(target.zone, self._groups, self._regions)
            fraction = compute_rate_fraction(self._vm, target.id, groups)
            self._rate_fractions[target.id] = fraction
        return fraction
