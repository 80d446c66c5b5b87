"""Decides which VMs may send to a cold target, and how fast.

Load patterns: a target starts, or its zone returns, and every VM prefers it for
some objects at the same moment; all VMs restart at once, and each one knows
only itself; a zone is partitioned, and its VMs disagree on which are alive. A
few VMs own each cold target, and each sends its share of the rate it bears.

The shares add up to less than the target bears, whatever VMs know of each
other. An owner that sees only a fraction of its group spends that fraction of
its rate, so that the owners of all partitions together spend as much as those
of the whole group. Up to twice as many VMs as are picked may consider
themselves owners while a change spreads, and the bound still holds.
docs/PLACEMENT.md has the sum.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from toucanhall.placement.owners import VmGroup, combine_groups, rank_owners

__all__ = ('COLD_OWNER_COUNT', 'compute_rate_fraction', 'find_owner_groups')

# VMs that may send to a cold target.
COLD_OWNER_COUNT: Final = 2
# Four owners and their bursts stay below 1.5 times what the target bears and a
# slack of five requests, the least that deployments allow.
_OWNERS_RATE_FRACTION: Final = 0.7


def compute_rate_fraction(
    own: str, target: str, groups: Iterable[VmGroup]
) -> float:
    """Return this VM's fraction of what a cold target bears; 0 for no owner.

    `groups` are those that own the cold targets of the target's zone.
    """
    group = combine_groups(groups)
    owners = rank_owners(target, group.serving)[:COLD_OWNER_COUNT]
    if own not in owners:
        return 0.0
    return _OWNERS_RATE_FRACTION / COLD_OWNER_COUNT * group.alive_fraction


def find_owner_groups(
    zone: str,
    groups: Mapping[str, VmGroup],
    regions: Mapping[str, str],
) -> Iterable[VmGroup]:
    """Return the groups of VMs that own the cold targets of a zone.

    This is the group of the zone. If no VM is registered there, or none reaches
    targets, it is those of the zones of its region, or else those of all zones.
    """
    own = groups.get(zone)
    if own and own.registered_count and not own.is_cut_off:
        return (own,)
    region = regions.get(zone)
    groups_of_region = [
        group
        for other_zone, group in groups.items()
        if regions.get(other_zone) == region
        and group.registered_count
        and not group.is_cut_off
    ]
    return groups_of_region or groups.values()
