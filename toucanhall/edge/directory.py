"""Which VMs a client should use."""

from collections.abc import Callable, Iterable, Sequence
from itertools import chain
from typing import Final

from toucanhall.fleet.tables import FleetTables
from toucanhall.fleet.membership import Members
from toucanhall.fleet.model import Address, Environment
from toucanhall.fleet.reports import Member
from toucanhall.fleet.selection import MAX_LOOP_LAG_SECONDS, pick_serving
from toucanhall.platform.endpoints import (
    read_directory_query,
    make_directory_answer,
)
from toucanhall.web.messages import Answer, Request, make_answer

__all__ = ('Directory', 'pick_nearest_vms')

_MOST_VMS: Final = 64


def pick_nearest_vms(
    vms: Sequence[Member],
    zone: str,
    around: frozenset[str],
    homes: frozenset[str],
) -> list[Member]:
    """Return the nearest VMs: of the zone, else of zones around it, else any.

    `around` are the zones of its region, `homes` those of the home regions of
    the host, which go before other far ones. A zone whose VMs do not keep up
    shares its clients with the rest of the region.
    """
    zones: dict[str, list[Member]] = {}
    for found in vms:
        zones.setdefault(found.zone, []).append(found)

    def list_serving(names: Iterable[str]) -> list[Member]:
        return [
            found
            for name in names
            for found in pick_serving(zones.get(name, ()))
        ]

    near = list_serving((zone,))
    if any(found.lag > MAX_LOOP_LAG_SECONDS for found in near):
        region = list_serving(around)
        near = [
            found for found in region if found.lag <= MAX_LOOP_LAG_SECONDS
        ] or region
    # Most questions are answered by the first ring: the others are not built.
    rings = chain((near,), map(list_serving, (around, homes, zones)))
    return next((ring[:_MOST_VMS] for ring in rings if ring), [])


class Directory:
    """Answers clients by the VMs that are alive."""

    def __init__(
        self,
        *,
        environment: Environment,
        fleet_tables: FleetTables,
        members: Members,
        list_zone: Callable[[], list[Member]],
        clock: Callable[[], float],
    ) -> None:
        """Name VMs of the own zone by `list_zone`, the others by report."""
        self._environment = environment
        self._fleet_tables = fleet_tables
        self._members = members
        self._list_zone = list_zone
        self._clock = clock

    def answer(self, request: Request) -> Answer:
        """Return the addresses of VMs for the client that asks."""
        question = read_directory_query(request)
        if question is None:
            return make_answer(404, 'no such path')
        own, *near = self._list_zone()
        vms = [found for found in near if found.is_ready]
        vms += self._list_far()
        if own.is_ready or not vms:
            vms.append(own._replace(is_ready=True))
        picked = pick_nearest_vms(
            vms,
            question.zone,
            self._list_zones({question.region}),
            self._list_zones(self._find_homes(question.host)),
        )
        listener = self._environment.listeners.requests
        port = listener.port if listener else 0
        return make_directory_answer(
            [Address(found.ip, port) for found in picked],
            self._environment.bounds.directory_ttl_seconds,
        )

    def _list_far(self) -> list[Member]:
        now = self._clock()
        return [
            found
            for zone in self._members.list_zones()
            for found in self._members.list_zone(zone, now)
            if found.is_ready
        ]

    def _list_zones(self, regions: Iterable[str]) -> frozenset[str]:
        wanted = frozenset(regions)
        return frozenset(
            zone
            for zone, region in self._environment.regions.items()
            if region in wanted
        )

    def _find_homes(self, host: str) -> frozenset[str]:
        configuration = self._fleet_tables.configuration
        if configuration is None:
            return frozenset()
        homes = [route.homes for route in configuration.hosts.get(host, ())]
        return frozenset().union(*homes)
