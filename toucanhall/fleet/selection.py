"""Picks the VMs of a zone that take requests, speak for it and hear for it.

Load pattern: a zone has a few large VMs and a dozen small ones. Were its
clients spread over all of them, each VM would see a few requests a second:
too few to know how full targets are, to keep connections open, and to divide
the limit of a team into parts of a request or more. So the directory names the
VMs that bear most, as many as the load asks for; the rest stands by.
"""

from collections.abc import Iterable, Sequence
from itertools import accumulate
from typing import Final

from toucanhall.fleet.reports import Member

__all__ = (
    'MAX_LOOP_LAG_SECONDS',
    'MIN_SERVING_VMS',
    'pick_serving',
    'pick_delegates',
)

# A client leaves out addresses that failed it and needs others to turn to: one
# of three VMs may be cut off (share of the deployments' cuts) together with
# another one that is being stopped.
MIN_SERVING_VMS: Final = 4
# What the VMs that take requests bear, over what their zone takes: bursts of
# 1.7 times the load, one VM of three lost, and room so that none queue.
_HEADROOM: Final = 4.0
# One speaks while the death of the other is not noticed.
_SPEAKERS: Final = 2
MAX_LOOP_LAG_SECONDS: Final = 0.05  # a fifth of the shortest objective


def pick_serving(members: Iterable[Member]) -> list[Member]:
    """Return the VMs of a zone that its clients should use.

    All that are ready take part once one of those picked does not keep up.
    """
    ranked = _rank(members)
    ready = [found for found in ranked if found.is_ready]
    wanted = _HEADROOM * sum(found.load for found in ranked)
    borne = accumulate(found.capacity for found in ready)
    count = 1 + sum(capacity < wanted for capacity in borne)
    picked = ready[: max(MIN_SERVING_VMS, count)]
    if any(found.lag > MAX_LOOP_LAG_SECONDS for found in picked):
        return ready
    return picked


def pick_delegates(members: Iterable[Member]) -> Sequence[Member]:
    """Return the VMs that watch the store and speak for their zone.

    The first one watches; both report to other zones.
    """
    ranked = _rank(members)
    staying = [found for found in ranked if not found.is_leaving]
    return (staying or ranked)[:_SPEAKERS]


def _rank(members: Iterable[Member]) -> list[Member]:
    return sorted(members, key=_get_rank)


def _get_rank(member: Member) -> tuple[float, str]:
    return -member.capacity, member.vm
