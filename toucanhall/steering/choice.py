"""Ranks the ways in which a request can reach a target."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from toucanhall.catalogue import Catalogue, Target
from toucanhall.steering.loads import Load

__all__ = ('Choice', 'Hop', 'Terrain', 'rank')


class Hop(NamedTuple):
    """Another zone's entry VM that carries a request to its targets."""

    vm: str
    zone: str
    address: str


class Choice(NamedTuple):
    """A target of the own zone, or an entry VM of another zone."""

    name: str
    address: str
    is_hop: bool


class Terrain(NamedTuple):
    """What a decision looks at: places, loads by target name, and peers."""

    catalogue: Catalogue
    own_zone: str
    loads: Mapping[str, Load]
    hops: tuple[Hop, ...]


def rank(
    terrain: Terrain,
    service: str,
    now: float,
    *,
    may_hop: bool,
) -> tuple[Choice, ...]:
    """Return the ways to try: own targets by load, then other zones.

    Other zones come only when no target of the own zone has a free slot, those
    of the own region first.
    """
    own = sorted(_list_free(terrain, service, now))
    choices = [
        Choice(target.name, target.address, is_hop=False) for _, target in own
    ]
    if may_hop:
        choices.extend(_list_hops(terrain, service))
    return tuple(choices)


def _list_free(
    terrain: Terrain,
    service: str,
    now: float,
) -> Iterator[tuple[float, Target]]:
    for target in terrain.catalogue.targets.values():
        if target.zone != terrain.own_zone or target.service != service:
            continue
        load = terrain.loads.get(target.name, Load())
        if _takes_work(terrain.catalogue, target, load, now):
            yield load.in_flight / target.slots, target


def _takes_work(
    catalogue: Catalogue,
    target: Target,
    load: Load,
    now: float,
) -> bool:
    drains = catalogue.drains
    if target.name in drains.targets or target.zone in drains.zones:
        return False
    return load.in_flight < target.slots and load.open_until <= now


def _list_hops(terrain: Terrain, service: str) -> Iterator[Choice]:
    zones = terrain.catalogue.zones
    own = zones.get(terrain.own_zone)
    serving = {
        target.zone
        for target in terrain.catalogue.targets.values()
        if target.service == service
    } - terrain.catalogue.drains.zones
    hops = [hop for hop in terrain.hops if hop.zone in serving]
    hops.sort(
        key=lambda hop: (
            not (own and zones[hop.zone].region == own.region),
            hop.vm,
        ),
    )
    for hop in hops:
        yield Choice(hop.vm, hop.address, is_hop=True)
