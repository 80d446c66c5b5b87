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
from typing import Final, NamedTuple

import xxhash

__all__ = (
    'COLD_OWNER_COUNT',
    'ColdTargetBucket',
    'VmGroup',
    'compute_rate_fraction',
    'find_owner_groups',
)

# VMs that may send to a cold target.
COLD_OWNER_COUNT: Final = 2
# Four owners and their bursts stay below 1.5 times what the target bears and a
# slack of five requests, the least that deployments allow.
_OWNERS_RATE_FRACTION: Final = 0.7
_MAX_TOKENS: Final = 1.0


class VmGroup(NamedTuple):
    """VMs of a zone, as this VM sees them.

    `serving` names those that take requests, `alive_count` is how many are
    alive, `registered_count` how many have an entry in the store.
    """

    serving: tuple[str, ...] = ()
    alive_count: int = 0
    registered_count: int = 0


def compute_rate_fraction(
    own: str, target: str, groups: Iterable[VmGroup]
) -> float:
    """Return this VM's fraction of what a cold target bears; 0 for no owner.

    `groups` are those that own the cold targets of the target's zone.
    """
    serving: list[str] = []
    alive_count = 0
    registered_count = 0
    for group in groups:
        serving.extend(group.serving)
        alive_count += group.alive_count
        registered_count += group.registered_count
    if not registered_count or own not in _pick_owners(target, serving):
        return 0.0
    return (
        _OWNERS_RATE_FRACTION
        / COLD_OWNER_COUNT
        * min(1.0, alive_count / registered_count)
    )


def find_owner_groups(
    zone: str,
    groups: Mapping[str, VmGroup],
    regions: Mapping[str, str],
) -> Iterable[VmGroup]:
    """Return the groups of VMs that own the cold targets of a zone.

    This is the group of the zone. If no VM is registered there, it is those of
    the zones of its region, or else those of all zones.
    """
    own = groups.get(zone)
    if own and own.registered_count:
        return (own,)
    region = regions.get(zone)
    groups_of_region = [
        group
        for other_zone, group in groups.items()
        if regions.get(other_zone) == region and group.registered_count
    ]
    return groups_of_region or groups.values()


def _pick_owners(target: str, vms: Iterable[str]) -> set[str]:
    """Pick VMs by rendezvous hashing, so that all VMs pick the same ones."""
    ranked = sorted(
        vms,
        key=lambda vm: xxhash.xxh64_intdigest(f'{target}\0{vm}'.encode()),
    )
    return set(ranked[:COLD_OWNER_COUNT])


class ColdTargetBucket:
    """Token bucket of this VM for one cold target."""

    def __init__(self, *, now: float) -> None:
        """Start without a token: what was sent before a start is not known."""
        self._tokens = 0.0
        self._updated_at = now

    def try_acquire(self, rate: float, now: float) -> bool:
        """Take the token of a request; return whether there was one.

        `rate` is how many requests per second this VM may send.
        """
        elapsed_seconds = now - self._updated_at
        self._tokens = min(_MAX_TOKENS, self._tokens + elapsed_seconds * rate)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
