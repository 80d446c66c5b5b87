"""Which VMs a client should use."""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from toucanhall.fleet.knowledge import Knowledge
from toucanhall.fleet.membership import Members
from toucanhall.fleet.model import Address, Environment
from toucanhall.platform.entrance import read_question, write_directory
from toucanhall.web.lag import LoopLag
from toucanhall.web.messages import Answer, Request, make_answer

__all__ = ('LAGGING_SECONDS', 'Choice', 'Directory', 'pick_vms')

_MOST_VMS: Final = 64
# A fifth of the shortest objective.
LAGGING_SECONDS: Final = 0.05


class Choice(NamedTuple):
    """A VM that takes requests."""

    vm: str
    zone: str
    region: str
    ip: str
    lag: float = 0.0


def pick_vms(
    vms: Sequence[Choice],
    zone: str,
    region: str,
    homes: frozenset[str],
) -> list[Choice]:
    """Return the nearest VMs: of the zone, else of the region, else any.

    Far ones in a home region of the host go before other far ones. A zone
    whose VMs do not keep up shares its clients with the rest of the region.
    """
    near = [found for found in vms if found.zone == zone]
    around = [found for found in vms if found.region == region]
    if any(found.lag > LAGGING_SECONDS for found in near):
        near = [
            found for found in around if found.lag <= LAGGING_SECONDS
        ] or around
    rings = (
        near,
        around,
        [found for found in vms if found.region in homes],
        list(vms),
    )
    return next((ring[:_MOST_VMS] for ring in rings if ring), [])


class Directory:
    """Answers clients by the VMs that are alive."""

    def __init__(
        self,
        *,
        environment: Environment,
        knowledge: Knowledge,
        members: Members,
        lag: LoopLag,
        is_ready: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        """Name this VM while it is ready, and the others by heartbeat."""
        self._environment = environment
        self._knowledge = knowledge
        self._members = members
        self._lag = lag
        self._is_ready = is_ready
        self._clock = clock

    def answer(self, request: Request) -> Answer:
        """Return the addresses of VMs for the client that asks."""
        question = read_question(request)
        if question is None:
            return make_answer(404, 'no such path')
        picked = pick_vms(
            self._list_choices(),
            question.zone,
            question.region,
            self._find_homes(question.host),
        )
        listener = self._environment.listeners.requests
        port = listener.port if listener else 0
        return write_directory(
            [Address(found.ip, port) for found in picked],
            self._environment.bounds.directory_ttl,
        )

    def _list_choices(self) -> list[Choice]:
        environment = self._environment
        choices = [
            Choice(
                found.vm,
                found.zone,
                environment.regions.get(found.zone, ''),
                found.ip,
                found.lag,
            )
            for found in self._members.list_alive(self._clock())
            if found.is_ready
        ]
        if self._is_ready() or not choices:
            own = Choice(
                environment.vm,
                environment.zone,
                environment.region,
                environment.ip,
                self._lag.seconds,
            )
            choices.append(own)
        return choices

    def _find_homes(self, host: str) -> frozenset[str]:
        configuration = self._knowledge.configuration
        if configuration is None:
            return frozenset()
        homes = [route.homes for route in configuration.hosts.get(host, ())]
        return frozenset().union(*homes)
