"""Picks the VMs of a zone that take requests, and its delegates.

Load pattern: a zone has a few large VMs and a dozen small ones. If its clients
were spread over all of them, each VM would see a few requests a second: too
few to measure how full targets are, to keep connections open, and to divide
the limit of a team into shares of a request or more. So the directory names
the VMs of the largest capacity, as many as the load needs; the others are
spare.

Load pattern: some requests have bodies of half a megabyte, which take the link
of a small VM for a second while all its other requests wait. So VMs that are
much smaller than the largest one stand by while the large ones bear the load;
the large VMs of the whole region then serve the clients of each of its zones.
"""

from collections.abc import Container, Iterable, Sequence
from itertools import accumulate
from typing import Final

from toucanhall.fleet.reports import Member

__all__ = (
    'MAX_LOOP_LAG_SECONDS',
    'MIN_SERVING_VMS',
    'compute_spare_capacity',
    'pick_admitting',
    'pick_delegates',
    'pick_helpers',
    'pick_serving',
    'rank_staying',
)

# A client leaves out addresses that failed it and needs others: one of three
# VMs may be cut off (as in the network cuts of the deployments) while another
# one is being stopped.
MIN_SERVING_VMS: Final = 4
# Capacity of the VMs that take requests, over the load of their zone: bursts
# of 1.7 times the load, one VM of three lost, and a reserve against queues.
_CAPACITY_PER_LOAD_RATIO: Final = 4.0
# VMs below this fraction of the largest capacity stand by. Sizes of machines
# rise in powers of two, and a VM of half the size serves as well.
_LARGE_CAPACITY_FRACTION: Final = 0.25
# One large VM of a zone may be stopped while another one takes requests.
_MIN_LARGE_VMS: Final = 2
# Capacity over load from which on VMs bear the requests of others.
_MIN_HELPER_RATIO: Final = 1.5
# Of a VM whose load is over its capacity, as far as others know.
_MIN_SPARE_FRACTION: Final = 0.05
# One reports while the death of the other is not detected yet.
_DELEGATE_COUNT: Final = 2
MAX_LOOP_LAG_SECONDS: Final = 0.05  # a fifth of the shortest objective


def pick_serving(members: Iterable[Member]) -> list[Member]:
    """Return the VMs of a zone that clients should use.

    Fewer than `MIN_SERVING_VMS` are picked, although others are ready, where
    two or three large ones bear the load. All that are ready are picked if the
    loop of one picked by capacity lags. VMs that reach no target are picked
    only if all of them are cut off.
    """
    ranked = _rank(members)
    ready = [found for found in ranked if found.is_ready]
    ready = [found for found in ready if found.reaches_targets] or ready
    wanted = _CAPACITY_PER_LOAD_RATIO * sum(found.load for found in ranked)
    picked = _pick_large(ready, wanted) or _pick_enough(ready, wanted)
    if any(found.lag > MAX_LOOP_LAG_SECONDS for found in picked):
        return ready
    return list(picked)


def pick_admitting(members: Iterable[Member]) -> list[Member]:
    """Return the VMs of a zone that admit requests of teams.

    Those that reach no target do, too: callers use answers of the directory
    for some seconds, and other VMs serve what these admit.
    """
    zone = list(members)
    usual = pick_serving(found._replace(reaches_targets=True) for found in zone)
    names = {found.vm for found in (*usual, *pick_serving(zone))}
    return [found for found in zone if found.vm in names]


def pick_helpers(
    members: Iterable[Member], zones: Container[str]
) -> list[Member]:
    """Return the VMs that may serve requests of a VM without targets.

    They are those of `zones` if these can bear it, or else all.
    """
    fit = [
        found
        for found in members
        if found.is_ready
        and found.reaches_targets
        and not found.is_leaving
        and found.lag <= MAX_LOOP_LAG_SECONDS
    ]
    near = [found for found in fit if found.zone in zones]
    capacity = sum(found.capacity for found in near)
    load = sum(found.load for found in near)
    return near if near and capacity > _MIN_HELPER_RATIO * load else fit


def compute_spare_capacity(member: Member) -> float:
    """Return the requests a second that a VM can serve besides its load."""
    return max(
        member.capacity - member.load, _MIN_SPARE_FRACTION * member.capacity
    )


def pick_delegates(members: Iterable[Member]) -> Sequence[Member]:
    """Return the delegates of a zone, which report to the other zones."""
    return rank_staying(members)[:_DELEGATE_COUNT]


def rank_staying(members: Iterable[Member]) -> Sequence[Member]:
    """Return the VMs from the largest capacity, without those that leave.

    All of them are returned if all leave.
    """
    ranked = _rank(members)
    return [found for found in ranked if not found.is_leaving] or ranked


def _pick_large(ready: Sequence[Member], wanted: float) -> Sequence[Member]:
    """Return the few large VMs, none if they can't serve `wanted` requests.

    `ready` is ranked by capacity, `wanted` in requests a second.
    """
    large = [
        found
        for found in ready
        if found.capacity >= _LARGE_CAPACITY_FRACTION * ready[0].capacity
    ]
    is_few = _MIN_LARGE_VMS <= len(large) < MIN_SERVING_VMS
    if is_few and sum(found.capacity for found in large) >= wanted:
        return large
    return ()


def _pick_enough(ready: Sequence[Member], wanted: float) -> Sequence[Member]:
    """Return the largest VMs that serve `wanted` requests a second."""
    capacities = accumulate(found.capacity for found in ready)
    count = 1 + sum(capacity < wanted for capacity in capacities)
    return ready[: max(MIN_SERVING_VMS, count)]


def _rank(members: Iterable[Member]) -> list[Member]:
    """Return the VMs from the largest capacity."""
    return sorted(members, key=_get_rank)


def _get_rank(member: Member) -> tuple[float, str]:
    return -member.capacity, member.vm
