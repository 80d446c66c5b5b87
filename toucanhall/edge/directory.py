"""Tells clients which VMs to send their requests to."""

from collections.abc import Callable, Iterable, Sequence
from itertools import chain
from typing import Final

from toucanhall.fleet.membership import Members
from toucanhall.fleet.model import Address, Environment
from toucanhall.fleet.reports import Member
from toucanhall.fleet.selection import (
    MAX_LOOP_LAG_SECONDS,
    MIN_SERVING_VMS,
    pick_serving,
)
from toucanhall.fleet.tables import FleetTables
from toucanhall.platform.endpoints import (
    make_directory_answer,
    read_directory_query,
)
from toucanhall.web.messages import Answer, Request, make_answer

__all__ = ('Directory', 'pick_nearest_vms')

_MAX_VM_COUNT: Final = 64


def pick_nearest_vms(
    vms: Sequence[Member],
    zone: str,
    region_zones: frozenset[str],
    home_zones: frozenset[str],
) -> list[Member]:
    """Return the nearest VMs: of the zone, else of its region, else any.

    `region_zones` are the zones of the region, `home_zones` those of the home
    regions of the host, which precede other remote zones. A zone whose VMs lag
    shares its clients with the rest of the region, as do zones whose small VMs
    stand by.
    """
    zones: dict[str, list[Member]] = {}
    for member in vms:
        zones.setdefault(member.zone, []).append(member)

    def list_serving(names: Iterable[str]) -> list[Member]:
        return [
            member
            for name in names
            for member in pick_serving(zones.get(name, ()))
        ]

    nearest = list_serving((zone,))
    if len(nearest) < min(MIN_SERVING_VMS, len(zones.get(zone, ()))):
        nearest = list_serving(region_zones) or nearest
    if any(member.lag > MAX_LOOP_LAG_SECONDS for member in nearest):
        region = list_serving(region_zones)
        nearest = [
            member for member in region if member.lag <= MAX_LOOP_LAG_SECONDS
        ] or region
    # Built lazily: the first group answers most queries.
    groups = chain(
        (nearest,),
        map(list_serving, (region_zones, home_zones, zones)),
    )
    return next((group[:_MAX_VM_COUNT] for group in groups if group), [])


class Directory:
    """Answers the queries of clients with VMs that are alive."""

    def __init__(
        self,
        *,
        environment: Environment,
        fleet_tables: FleetTables,
        members: Members,
        list_local_vms: Callable[[], list[Member]],
        clock: Callable[[], float],
    ) -> None:
        """List local VMs by `list_local_vms`, remote ones from `members`."""
        self._environment = environment
        self._fleet_tables = fleet_tables
        self._members = members
        self._list_local_vms = list_local_vms
        self._clock = clock

    def answer(self, request: Request) -> Answer:
        """Return the addresses of VMs for the client that asks."""
        query = read_directory_query(request)
        if query is None:
            return make_answer(404, 'no such path')
        own, *local = self._list_local_vms()
        vms = [member for member in local if member.is_ready]
        vms += self._list_remote_vms()
        if own.is_ready or not vms:
            vms.append(own._replace(is_ready=True))
        vms = [member for member in vms if member.reaches_targets] or vms
        picked = pick_nearest_vms(
            vms,
            query.zone,
            self._list_region_zones({query.region}),
            self._list_region_zones(self._find_regions_of_host(query.host)),
        )
        listener = self._environment.listeners.requests
        port = listener.port if listener else 0
        return make_directory_answer(
            [Address(member.ip, port) for member in picked],
            self._environment.bounds.directory_ttl_seconds,
        )

    def _list_remote_vms(self) -> list[Member]:
        now = self._clock()
        return [
            member
            for zone in self._members.list_zones()
            for member in self._members.list_zone(zone, now)
            if member.is_ready
        ]

    def _list_region_zones(self, regions: Iterable[str]) -> frozenset[str]:
        wanted = frozenset(regions)
        return frozenset(
            zone
            for zone, region in self._environment.regions.items()
            if region in wanted
        )

    def _find_regions_of_host(self, host: str) -> frozenset[str]:
        configuration = self._fleet_tables.configuration
        if configuration is None:
            return frozenset()
        regions = [route.homes for route in configuration.hosts.get(host, ())]
        return frozenset().union(*regions)
