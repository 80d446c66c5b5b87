"""Which VMs a client should use."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final

from toucanhall.fleet.knowledge import Knowledge
from toucanhall.fleet.membership import Members
from toucanhall.fleet.model import Address, Environment
from toucanhall.fleet.reports import Member
from toucanhall.fleet.selection import LAGGING_SECONDS, pick_serving
from toucanhall.platform.entrance import read_question, write_directory
from toucanhall.web.messages import Answer, Request, make_answer

__all__ = ('Directory', 'pick_vms')

_MOST_VMS: Final = 64


def pick_vms(
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
    serving = {name: pick_serving(members) for name, members in zones.items()}
    near = serving.get(zone, [])
    region = _join(serving, around)
    if any(found.lag > LAGGING_SECONDS for found in near):
        near = [
            found for found in region if found.lag <= LAGGING_SECONDS
        ] or region
    rings = (near, region, _join(serving, homes), _join(serving, serving))
    return next((ring[:_MOST_VMS] for ring in rings if ring), [])


def _join(
    serving: Mapping[str, list[Member]],
    zones: Iterable[str],
) -> list[Member]:
    return [found for zone in zones for found in serving.get(zone, ())]


class Directory:
    """Answers clients by the VMs that are alive."""

    def __init__(
        self,
        *,
        environment: Environment,
        knowledge: Knowledge,
        members: Members,
        list_zone: Callable[[], list[Member]],
        clock: Callable[[], float],
    ) -> None:
        """Name VMs of the own zone by `list_zone`, the others by report."""
        self._environment = environment
        self._knowledge = knowledge
        self._members = members
        self._list_zone = list_zone
        self._clock = clock

    def answer(self, request: Request) -> Answer:
        """Return the addresses of VMs for the client that asks."""
        question = read_question(request)
        if question is None:
            return make_answer(404, 'no such path')
        own, *near = self._list_zone()
        vms = [found for found in near if found.is_ready]
        vms += self._list_far()
        if own.is_ready or not vms:
            vms.append(own._replace(is_ready=True))
        picked = pick_vms(
            vms,
            question.zone,
            self._list_zones({question.region}),
            self._list_zones(self._find_homes(question.host)),
        )
        listener = self._environment.listeners.requests
        port = listener.port if listener else 0
        return write_directory(
            [Address(found.ip, port) for found in picked],
            self._environment.bounds.directory_ttl,
        )

    def _list_far(self) -> list[Member]:
        now = self._clock()
        return [
            found
            for zone in self._members.list_zones()
            if zone != self._environment.zone
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
        configuration = self._knowledge.configuration
        if configuration is None:
            return frozenset()
        homes = [route.homes for route in configuration.hosts.get(host, ())]
        return frozenset().union(*homes)
