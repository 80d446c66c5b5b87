"""Selects, by hash, the VMs to send to and the VMs that read the platform.

Within a zone a VM sends to the VMs that are 1, 2, 4, ... positions further on
a hash ring, cycling through the distances, so that an update reaches the whole
zone in a number of rounds that is logarithmic in its size. Between two zones,
a few delegates of each side report the state of their zone; when a delegate is
suspected, the next VM in hash order replaces it.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

from toucanhall.membership.view import Health, Member, View, assess

__all__ = ('is_reader', 'select_contacts', 'select_local')

_DELEGATE_COUNT: Final = 2
_READER_COUNT: Final = 2
_MAX_FULL_MESH_VMS: Final = 4  # includes this VM
_USABLE_HEALTH: Final = frozenset((Health.ALIVE, Health.NO_HEARTBEAT))


def select_contacts(
    view: View,
    own_vm: str,
    zone: str,
    turn: int,
    now: float,
) -> tuple[Member, ...]:
    """Return the local and remote VMs to send to in one round."""
    local = select_local(view, own_vm, zone, turn)
    others = sorted({member.zone for member in view.members.values()} - {zone})
    remote = [
        member
        for other in others
        for member in _select_remote(view, own_vm, zone, other, now)
    ]
    return (*local, *remote)


def select_local(
    view: View,
    own_vm: str,
    zone: str,
    turn: int,
) -> tuple[Member, ...]:
    """Return the local VMs to send to in one round.

    Suspected VMs are included, so that their recovery is detected.
    """
    members = [
        member for member in view.members.values() if member.zone == zone
    ]
    if len(members) < _MAX_FULL_MESH_VMS:
        return tuple(members)
    ring = sorted([own_vm, *(member.vm for member in members)], key=_hash)
    position = ring.index(own_vm)
    distances = (len(ring) - 1).bit_length()
    chosen = [
        ring[(position + 2 ** ((turn + step) % distances)) % len(ring)]
        for step in (0, distances // 2)
    ]
    return tuple(
        view.members[vm] for vm in dict.fromkeys(chosen) if vm != own_vm
    )


def is_reader(view: View, own_vm: str, zone: str, now: float) -> bool:
    """Return whether this VM reads the platform's list for its zone."""
    usable = _list_usable(view, zone, now)
    return own_vm in _rank((own_vm, *usable), zone)[:_READER_COUNT]


def _select_remote(
    view: View,
    own_vm: str,
    zone: str,
    other: str,
    now: float,
) -> list[Member]:
    local = _list_usable(view, zone, now)
    pair = '|'.join(sorted((zone, other)))
    delegates = _rank((own_vm, *local), pair)[:_DELEGATE_COUNT]
    if own_vm not in delegates:
        return []
    usable = _list_usable(view, other, now)
    if not usable:
        usable = [
            member.vm
            for member in view.members.values()
            if member.zone == other
        ]
    ranked = _rank(usable, pair)
    chosen = ranked[delegates.index(own_vm) % len(ranked)]
    return [view.members[chosen]]


def _list_usable(view: View, zone: str, now: float) -> list[str]:
    return [
        member.vm
        for member in view.members.values()
        if member.zone == zone and assess(member, now) in _USABLE_HEALTH
    ]


def _rank(vms: Iterable[str], salt: str) -> list[str]:
    return sorted(vms, key=lambda vm: _hash(f'{salt}/{vm}'))


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
