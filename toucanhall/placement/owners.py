"""Picks the VMs that share a rate of one target, the same ones at every VM.

A rate that holds for all VMs together is divided among a few owners: were it
divided among all VMs, the requests that each may send at once would add up to
more than the rate allows.
"""

from collections.abc import Iterable
from itertools import chain
from typing import NamedTuple

import xxhash

__all__ = ('VmGroup', 'combine_groups', 'rank_owners')


class VmGroup(NamedTuple):
    """VMs of a zone, as this VM sees them.

    `serving` names those that take requests, `alive_count` is how many are
    alive, `registered_count` how many have an entry in the store; `has_load`
    tells that requests arrive at them, `is_cut_off` that none of them reaches
    a target.
    """

    serving: tuple[str, ...] = ()
    alive_count: int = 0
    registered_count: int = 0
    has_load: bool = False
    is_cut_off: bool = False

    @property
    def alive_fraction(self) -> float:
        """The fraction of the registered VMs that this VM sees.

        The fractions that the VMs of separate partitions see add up to one.
        """
        if not self.registered_count:
            return 0.0
        return min(1.0, self.alive_count / self.registered_count)


def combine_groups(groups: Iterable[VmGroup]) -> VmGroup:
    """Return the VMs of several zones as one group."""
    combined = tuple(groups)
    return VmGroup(
        serving=tuple(chain.from_iterable(found.serving for found in combined)),
        alive_count=sum(found.alive_count for found in combined),
        registered_count=sum(found.registered_count for found in combined),
        has_load=any(found.has_load for found in combined),
    )


def rank_owners(target: str, vms: Iterable[str]) -> list[str]:
    """Return VMs in the order in which they own a target.

    The order is that of rendezvous hashing: a VM that comes or goes does not
    change the order of the others.
    """
    return sorted(
        vms,
        key=lambda vm: xxhash.xxh64_intdigest(f'{target}\0{vm}'.encode()),
    )
