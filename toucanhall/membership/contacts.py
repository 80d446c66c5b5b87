"""Chooses, by hash, with whom a VM speaks and which VMs read the platform.

Within a zone a VM sends to the VM that is 1, 2, 4, ... places further on a
ring, one distance after the other, so that news passes through the zone in a
number of rounds that grows with the logarithm of its size. Between two zones a
few VMs of each side speak for their zone; when one is suspected, the next in
the order of hashes takes over.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

from toucanhall.membership.view import Health, Member, View, assess

__all__ = ('is_reader', 'select_contacts', 'select_near')

_BRIDGES: Final = 2
_READERS: Final = 2
_FULL_MESH_SIZE: Final = 4  # VMs of a zone, with the own one
_USABLE: Final = frozenset((Health.ALIVE, Health.UNHEARD))


def select_contacts(
    view: View,
    own_vm: str,
    zone: str,
    turn: int,
    now: float,
) -> tuple[Member, ...]:
    """Return the VMs to send to in one round, in the own zone and others."""
    near = select_near(view, own_vm, zone, turn)
    others = sorted({member.zone for member in view.members.values()} - {zone})
    far = [
        member
        for other in others
        for member in _select_far(view, own_vm, zone, other, now)
    ]
    return (*near, *far)


def select_near(
    view: View,
    own_vm: str,
    zone: str,
    turn: int,
) -> tuple[Member, ...]:
    """Return the VMs of the own zone to send to in one round.

    Suspected VMs are among them, so that they are found when they come back.
    """
    members = [
        member for member in view.members.values() if member.zone == zone
    ]
    if len(members) < _FULL_MESH_SIZE:
        return tuple(members)
    ring = sorted([own_vm, *(member.vm for member in members)], key=_hash)
    place = ring.index(own_vm)
    distances = (len(ring) - 1).bit_length()
    chosen = [
        ring[(place + 2 ** ((turn + step) % distances)) % len(ring)]
        for step in (0, distances // 2)
    ]
    return tuple(
        view.members[vm] for vm in dict.fromkeys(chosen) if vm != own_vm
    )


def is_reader(view: View, own_vm: str, zone: str, now: float) -> bool:
    """Return whether this VM reads the platform for its zone."""
    usable = _list_usable(view, zone, now)
    return own_vm in _rank((own_vm, *usable), zone)[:_READERS]


def _select_far(
    view: View,
    own_vm: str,
    zone: str,
    other: str,
    now: float,
) -> list[Member]:
    near = _list_usable(view, zone, now)
    pair = '|'.join(sorted((zone, other)))
    bridges = _rank((own_vm, *near), pair)[:_BRIDGES]
    if own_vm not in bridges:
        return []
    usable = _list_usable(view, other, now)
    if not usable:
        usable = [
            member.vm
            for member in view.members.values()
            if member.zone == other
        ]
    ranked = _rank(usable, pair)
    chosen = ranked[bridges.index(own_vm) % len(ranked)]
    return [view.members[chosen]]


def _list_usable(view: View, zone: str, now: float) -> list[str]:
    return [
        member.vm
        for member in view.members.values()
        if member.zone == zone and assess(member, now) in _USABLE
    ]


def _rank(vms: Iterable[str], salt: str) -> list[str]:
    return sorted(vms, key=lambda vm: _hash(f'{salt}/{vm}'))


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
