"""Which entry VMs a caller should use, in order."""

from collections.abc import Mapping
from typing import Final, NamedTuple

import xxhash

from toucanhall.catalogue import Catalogue, Zone

__all__ = ('Advice', 'AdvisedVm', 'advise')

_VMS_PER_ANSWER: Final = 4


class AdvisedVm(NamedTuple):
    """An entry VM and the URL at which callers reach it."""

    vm: str
    zone: str
    url: str


class Advice(NamedTuple):
    """Entry VMs in order of preference, and how long the answer holds."""

    vms: tuple[AdvisedVm, ...]
    hold_seconds: float


def advise(
    catalogue: Catalogue,
    team: str,
    own_zone: str,
    vms: tuple[AdvisedVm, ...],
) -> Advice:
    """Order the usable VMs: own zone, then own region, then the others.

    Within each of these the team's hash spreads teams over VMs, and keeps
    one team at the same VMs.
    """
    usable = [
        entry
        for entry in vms
        if entry.vm not in catalogue.drains.vms
        and entry.zone not in catalogue.drains.zones
    ]
    ordered = sorted(
        usable,
        key=lambda entry: (
            _distance(catalogue.zones, own_zone, entry.zone),
            xxhash.xxh64_intdigest(f'{team}/{entry.vm}'.encode()),
        ),
    )
    return Advice(tuple(ordered[:_VMS_PER_ANSWER]), catalogue.hold_seconds)


def _distance(zones: Mapping[str, Zone], own: str, other: str) -> int:
    if own == other:
        return 0
    own_zone = zones.get(own)
    other_zone = zones.get(other)
    if own_zone and other_zone and own_zone.region == other_zone.region:
        return 1
    return 2
