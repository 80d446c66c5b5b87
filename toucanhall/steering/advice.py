"""Orders the entry VMs that a caller should use."""

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
    """Entry VMs in order of preference, and how long the answer is valid."""

    vms: tuple[AdvisedVm, ...]
    hold_seconds: float


def advise(
    catalogue: Catalogue,
    team: str,
    own_zone: str,
    vms: tuple[AdvisedVm, ...],
    holders: frozenset[str] = _NO_VMS,
) -> Advice:
    """Order the usable VMs: own zone, then own region, then other regions.

    Zones without a share of the team's limit come last, whatever their
    distance. Within a zone, the VMs known to hold the limit (`holders`) come
    first. VMs that are still equal are ordered by a hash of team and VM, which
    spreads the teams over the VMs and always sends a team to the same VMs.
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
