"""Which VMs may send to a cold target, and how fast.

Load patterns: a target starts, or its zone comes back, and every VM prefers it
for some objects at the same moment; all VMs start again at once, and each one
knows only itself; a zone is cut into parts, and VMs disagree on who is there.
A few VMs own each cold target, and each sends its part of what it bears.

The parts add up to less than the target bears, whatever VMs know of each other:
an owner that hears a part of its group spends that part of its rate, so that
the owners of all parts spend as much as those of the whole. Twice as many VMs
as are picked may take themselves for owners while news of a change is on its
way, and the bound still holds. docs/PLACEMENT.md has the sum.
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

COLD_OWNER_COUNT: Final = 2
# Four owners and their bursts stay below 1.5 times what the target bears and a
# slack of five requests, the least that deployments allow.
_SAFE_SHARE: Final = 0.7
_BURST: Final = 1.0


class VmGroup(NamedTuple):
    """VMs of one or more zones, as this VM sees them.

    `serving` are those that take requests, `alive_count` counts the VMs that are
    alive, `registered_count` those that have an entry in the store.
    """

    serving: tuple[str, ...] = ()
    alive_count: int = 0
    registered_count: int = 0


def compute_rate_fraction(
    own: str, target: str, groups: Iterable[VmGroup]
) -> float:
    """Return this VM's part of what a cold target bears; 0 for no owner.

    `groups` are those of the target's zone, or where none is known there, of
    the zones of its region or of all.
    """
    serving: list[str] = []
    heard = 0
    known = 0
    for group in groups:
        serving.extend(group.serving)
        heard += group.alive_count
        known += group.registered_count
    if not known or own not in _pick_owners(target, serving):
        return 0.0
    return _SAFE_SHARE / COLD_OWNER_COUNT * min(1.0, heard / known)


def find_owner_groups(
    zone: str,
    groups: Mapping[str, VmGroup],
    regions: Mapping[str, str],
) -> Iterable[VmGroup]:
    """Return the groups that own the cold targets of a zone."""
    own = groups.get(zone)
    if own and own.registered_count:
        return (own,)
    region = regions.get(zone)
    near = [
        group
        for found, group in groups.items()
        if regions.get(found) == region and group.registered_count
    ]
    return near or groups.values()


def _pick_owners(target: str, vms: Iterable[str]) -> set[str]:
    ranked = sorted(
        vms,
        key=lambda vm: xxhash.xxh64_intdigest(f'{target}\0{vm}'.encode()),
    )
    return set(ranked[:COLD_OWNER_COUNT])


class ColdTargetBucket:
    """Tokens of one VM for one cold target."""

    def __init__(self, *, now: float) -> None:
        """Start without a token: what was sent before a start is not known."""
        self._tokens = 0.0
        self._updated_at = now

    def try_acquire(self, rate: float, now: float) -> bool:
        """Take the token of a request; tell whether there was one.

        `rate` is how many requests a second this VM may send.
        """
        elapsed = now - self._updated_at
        self._tokens = min(_BURST, self._tokens + elapsed * rate)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
