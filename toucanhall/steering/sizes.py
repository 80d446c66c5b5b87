"""Computes what each service may use, from catalogue, slots and VMs."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from toucanhall.catalogue import Catalogue, Target, Zone
from toucanhall.steering import links
from toucanhall.steering.ownership import divide, select_targets
from toucanhall.steering.peers import Distance, Peer
from toucanhall.steering.records import Resize
from toucanhall.steering.targets import LocalTarget

__all__ = ('EntryVm', 'OwnedSlots', 'size_links', 'size_services')


class EntryVm(NamedTuple):
    """Another entry VM, which can forward a request to its targets."""

    vm: str
    zone: str
    address: str


class OwnedSlots(NamedTuple):
    """The zone of a VM, and the numbers of the zone slots that it holds."""

    zone: str
    held: frozenset[int]


def size_services(
    catalogue: Catalogue,
    owned: OwnedSlots,
    hops: tuple[EntryVm, ...],
    now: float,
) -> Mapping[str, Resize]:
    """Return the targets, peers and shift cap of each service."""
    own = select_targets(catalogue, owned.zone)
    sizes: dict[str, Resize] = {}
    for service, zones in _list_serving(catalogue).items():
        targets = own.get(service, ())
        local_targets = tuple(
            _list_local_targets(catalogue, owned, targets, now)
        )
        sizes[service] = Resize(
            local_targets,
            tuple(_list_peers(catalogue, owned.zone, hops, zones)),
            catalogue.shift_share
            * sum(local_target.slots for local_target in local_targets),
        )
    return sizes


def size_links(catalogue: Catalogue, owned: OwnedSlots) -> Mapping[str, float]:
    """Return this VM's share of each link of its region, in bytes/s."""
    zone = catalogue.zones.get(owned.zone)
    if zone is None:
        return {}
    share = len(owned.held) / catalogue.slots_per_zone
    return {
        region: links.compute_link_share(catalogue, owned.zone, region, share)
        for link in catalogue.links
        if zone.region in link.regions
        for region in link.regions
        if region != zone.region
    }


def _list_serving(catalogue: Catalogue) -> Mapping[str, frozenset[str]]:
    serving: dict[str, frozenset[str]] = {}
    for target in catalogue.targets.values():
        zones = serving.get(target.service, frozenset())
        if not _is_draining(catalogue, target):
            zones = zones | {target.zone}
        serving[target.service] = zones
    return serving


def _is_draining(catalogue: Catalogue, target: Target) -> bool:
    drains = catalogue.drains
    return target.name in drains.targets or target.zone in drains.zones


def _list_local_targets(
    catalogue: Catalogue,
    owned: OwnedSlots,
    targets: tuple[Target, ...],
    now: float,
) -> Iterator[LocalTarget]:
    owned_counts = divide(targets, owned.held, catalogue.slots_per_zone)
    for target in targets:
        yield LocalTarget(
            target.name,
            target.address,
            owned_counts[target.name],
            draining_at=now if _is_draining(catalogue, target) else None,
        )


def _list_peers(
    catalogue: Catalogue,
    own_zone: str,
    hops: tuple[EntryVm, ...],
    zones: frozenset[str],
) -> Iterator[Peer]:
    for hop in hops:
        zone = catalogue.zones.get(hop.zone)
        if zone is None or hop.zone not in zones:
            continue
        if hop.vm in catalogue.drains.vms:
            continue
        distance = _get_distance(catalogue.zones, own_zone, zone)
        yield Peer(hop.vm, hop.zone, zone.region, hop.address, distance)


def _get_distance(
    zones: Mapping[str, Zone],
    own_zone: str,
    zone: Zone,
) -> Distance:
    if zone.name == own_zone:
        return Distance.ZONE
    own = zones.get(own_zone)
    if own is not None and own.region == zone.region:
        return Distance.REGION
    return Distance.OTHER_REGION
