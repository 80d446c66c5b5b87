"""Which entry VMs a caller should use, in order."""

from collections.abc import Mapping
from typing import Final, NamedTuple

import xxhash

from toucanhall.catalogue import Catalogue, Zone
from toucanhall.shares.parts import find_zone_part

__all__ = ('Advice', 'AdvisedVm', 'advise')

_MAX_ADVISED_VMS: Final = 4
_NO_VMS: Final[frozenset[str]] = frozenset()


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
    holders: frozenset[str] = _NO_VMS,
) -> Advice:
    """Order the usable VMs: own zone, then own region, then the others.

    Zones that hold no part of the team's limit come after those that do, and
    in a zone the VMs that are known to hold it come first. Within each of
    these the team's hash spreads teams over VMs, and keeps one team at the
    same VMs.
    """
    team_limit = catalogue.teams.get(team)
    fractions = {
        zone: find_zone_part(catalogue, zone, team_limit) if team_limit else 1.0
        for zone in catalogue.zones
    }
    usable = [
        entry
        for entry in vms
        if entry.vm not in catalogue.drains.vms
        and entry.zone not in catalogue.drains.zones
    ]
    ordered = sorted(
        usable,
        key=lambda entry: (
            fractions.get(entry.zone, 0.0) <= 0,
            _get_distance(catalogue.zones, own_zone, entry.zone),
            entry.vm not in holders,
            xxhash.xxh64_intdigest(f'{team}/{entry.vm}'.encode()),
        ),
    )
    return Advice(tuple(ordered[:_MAX_ADVISED_VMS]), catalogue.hold_seconds)


def _get_distance(zones: Mapping[str, Zone], own: str, other: str) -> int:
    if own == other:
        return 0
    own_zone = zones.get(own)
    other_zone = zones.get(other)
    if own_zone and other_zone and own_zone.region == other_zone.region:
        return 1
    return 2
