"""Divides the limit that a target names among the VMs that own the target."""

from collections.abc import Mapping
from typing import Final

import xxhash

from toucanhall.fleet.model import Target
from toucanhall.placement.hash_ring import REGION_POINTS_RATIO
from toucanhall.placement.owners import VmGroup, combine_groups, rank_owners

__all__ = ('LimitShares', 'compute_fleet_rate')

# Fraction of a limit that its owners send; the rest covers single requests.
_USED_FRACTION: Final = 0.95
# The same for owners of all regions, while this VM sees none in the target's
# region that gets requests. Those that do send their shares at the same time.
_REMOTE_USED_FRACTION: Final = 0.3
# An owner may hold a request of a time without demand, so their number grows
# with the limit only.
_MIN_OWNERS_COUNT: Final = 2
_LIMIT_PER_ADDED_OWNER: Final = 1.0
# A target that names less, or 0, is asked at this rate: only its answers tell
# that the limit rose or ended.
_MIN_LIMIT_PER_SECOND: Final = 0.1
_MIN_SILENCE_SECONDS: Final = 10.0
# Fraction of a limit that single requests of all VMs without share may take.
_SINGLE_REQUESTS_FRACTION: Final = 0.1
# VMs of the fleet, as long as their entries were not read.
_ASSUMED_VMS_COUNT: Final = 100
_HASH_RANGE: Final = float(1 << 64)


def compute_fleet_rate(limit: float) -> float:
    """Return the requests per second that all owners together send."""
    return _USED_FRACTION * max(limit, _MIN_LIMIT_PER_SECOND)


class LimitShares:
    """Divides limits by the VMs of each zone as this VM sees them."""

    def __init__(self, *, regions: Mapping[str, str]) -> None:
        """Start without VMs; `regions` names the region of each zone."""
        self._regions = dict(regions)
        self._vm = ''
        self._fleet = VmGroup()
        self._group_by_region: dict[str, VmGroup] = {}

    def set_vm_groups(self, own: str, groups: Mapping[str, VmGroup]) -> None:
        """Replace the VMs of each zone as this VM, `own`, sees them."""
        groups_by_region: dict[str, list[VmGroup]] = {}
        for zone, group in groups.items():
            region = self._regions.get(zone, '')
            groups_by_region.setdefault(region, []).append(group)
        self._vm = own
        self._fleet = combine_groups(groups.values())
        self._group_by_region = {
            region: combine_groups(found)
            for region, found in groups_by_region.items()
        }

    def count_serving_vms(self) -> int:
        """Return how many VMs take requests, at least one."""
        return max(1, len(self._fleet.serving))

    def compute_share(self, target: Target, limit: float) -> float:
        """Return the requests per second that this VM may send; 0 for none.

        `limit` is what the target takes from all VMs per second.
        """
        region = self._regions.get(target.zone, '')
        near = self._group_by_region.get(region, VmGroup())
        used_fraction = _USED_FRACTION
        if not (near.serving and near.has_load):
            near = self._fleet
            used_fraction = _REMOTE_USED_FRACTION
        names_near = set(near.serving)
        weights = {
            vm: REGION_POINTS_RATIO if vm in names_near else 1
            for vm in _list_owners(target.id, limit, near, self._fleet)
        }
        if self._vm not in weights:
            return 0.0
        # The others of a partition see the same part of the VMs as this one.
        seen = near if self._vm in names_near else self._fleet
        return (
            max(limit, _MIN_LIMIT_PER_SECOND)
            * used_fraction
            * seen.alive_fraction
            * weights[self._vm]
            / sum(weights.values())
        )

    def compute_silence_seconds(self, target: str, limit: float) -> float:
        """Return after how long without news a VM without share asks itself.

        VMs that lost touch with the owners at the same time ask at different
        ones.
        """
        vms = self._fleet.registered_count or _ASSUMED_VMS_COUNT
        rate = _SINGLE_REQUESTS_FRACTION * max(limit, _MIN_LIMIT_PER_SECOND)
        name = f'{self._vm}\0{target}'.encode()
        spread = xxhash.xxh64_intdigest(name) / _HASH_RANGE
        return max(_MIN_SILENCE_SECONDS, vms / rate) * (1 + spread)


def _list_owners(
    target: str, limit: float, near: VmGroup, fleet: VmGroup
) -> list[str]:
    """Return the VMs that share a limit, those near the target first."""
    count = _MIN_OWNERS_COUNT + int(limit / _LIMIT_PER_ADDED_OWNER)
    owners = rank_owners(target, near.serving)
    if len(owners) < count:
        owners += rank_owners(target, set(fleet.serving) - set(near.serving))
    return owners[:count]
