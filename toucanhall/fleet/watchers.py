"""Chooses the VM of a zone that watches the store, and when others step in.

Load pattern: the store turns some VMs away while it serves others, or the VM
that watches is paused, killed or cut off. A change that the store confirms in
that time has to be in force within 2.5 s, so a zone can't wait until the VM
counts as dead.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from toucanhall.fleet.reports import Member
from toucanhall.fleet.selection import rank_staying

__all__ = ('ANSWER_EXPIRY_SECONDS', 'get_check_delay_seconds', 'pick_watcher')

# A watcher asks the store each 0.5 s and tells its zone each 0.8 s.
ANSWER_EXPIRY_SECONDS: Final = 1.4
# The VMs of a zone ask one after the other: the first that is answered tells
# the others before they ask.
_CHECK_SPACING_SECONDS: Final = 0.05
_MAX_CHECK_DELAY_SECONDS: Final = 0.4


def pick_watcher(
    zone: Iterable[Member], answer_ages: Mapping[str, float]
) -> Member:
    """Return the VM that should watch the store for its zone.

    `answer_ages` maps VMs to the seconds since the store answered them. The
    VMs that it answers come first, then those of the largest capacity.
    """
    ranked = rank_staying(zone)
    answered = (
        found
        for found in ranked
        if answer_ages.get(found.vm, ANSWER_EXPIRY_SECONDS)
        < ANSWER_EXPIRY_SECONDS
    )
    return next(answered, ranked[0])


def get_check_delay_seconds(zone: Iterable[Member], own: str) -> float:
    """Return how long a VM waits before it asks the store in its turn."""
    names = [found.vm for found in rank_staying(zone)]
    position = names.index(own) if own in names else len(names)
    return min(_MAX_CHECK_DELAY_SECONDS, position * _CHECK_SPACING_SECONDS)
