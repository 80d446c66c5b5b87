"""Exchanges heartbeats with the other VMs."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from toucanhall.fleet.gossip import Gossip, open_gossip
from toucanhall.fleet.knowledge import Knowledge
from toucanhall.fleet.membership import Heartbeat, Members
from toucanhall.fleet.model import Address, Environment, Introduction
from toucanhall.limits.quota import Quotas, Usage
from toucanhall.observe import events
from toucanhall.observe.journal import Journal

__all__ = ('HEARTBEAT_SECONDS', 'Fleetmate', 'Standing')

# Two of three heartbeats may be lost before others look for a new watcher.
HEARTBEAT_SECONDS: Final = 0.8
# Other regions hear each second heartbeat, unless a team nears its limit.
FAR_BEATS: Final = 2
# By then the seeds have introduced all VMs, over two times between regions.
_FIRST_BEAT_SECONDS: Final = 0.2
_PAUSE_SECONDS: Final = 1.0  # a timer that is this late: the VM stood still


class Standing(NamedTuple):
    """What a VM tells of its own state."""

    is_ready: bool
    is_leaving: bool
    lag: float


class Fleetmate:
    """This VM among the others."""

    def __init__(
        self,
        *,
        environment: Environment,
        knowledge: Knowledge,
        quotas: Quotas,
        journal: Journal,
        find_standing: Callable[[], Standing],
        on_heard: Callable[[Heartbeat], None],
        on_beat: Callable[[], None],
    ) -> None:
        """Tell others what this VM knows; call `on_beat` with each beat."""
        self._environment = environment
        self._knowledge = knowledge
        self._quotas = quotas
        self._journal = journal
        self._find_standing = find_standing
        self._on_heard = on_heard
        self._on_beat = on_beat
        self._loop = asyncio.get_running_loop()
        self._gossip: Gossip | None = None
        self._started_at = time.time_ns() // 1_000_000
        self._lost: set[str] = set()
        self._beat_at = self._loop.time()
        self._beats = 0
        self.usage: dict[str, Usage] = {}
        self.members = Members()

    async def start(self) -> None:
        """Listen for heartbeats and send the first ones."""
        environment = self._environment
        self._gossip = await open_gossip(
            Address(environment.ip, environment.gossip_port),
            hear=self._hear,
            on_bad=self._drop,
        )
        seeds = {
            seed.host
            for seed in environment.seeds
            if seed.host != environment.ip
        }
        self._send(seeds)
        self._beat_at = self._loop.time()
        self._loop.call_later(_FIRST_BEAT_SECONDS, self._beat)

    def meet(self, introductions: Iterable[Introduction]) -> None:
        """Send a heartbeat to VMs that were not known."""
        own = self._environment.vm
        self._send(
            found.ip
            for found in introductions
            if found.vm != own and self.members.introduce(found)
        )

    def tell(self, *, is_urgent: bool = False) -> None:
        """Send a heartbeat now to the own zone, or to all if it is urgent.

        Configurations and evacuations are urgent: the VM that watches the
        store for a zone may be cut off from it, or from the zone.
        """
        self._send(
            found.ip
            for found in self._list_others()
            if is_urgent or found.zone == self._environment.zone
        )

    def _hear(self, heartbeat: Heartbeat) -> None:
        if heartbeat.vm == self._environment.vm:
            return
        if self.members.hear(heartbeat, self._loop.time()):
            self._lost.discard(heartbeat.vm)
            self._journal.write(events.PEER_JOINED, peer=heartbeat.vm)
            known = tuple(self.members.introduced.values())
            self._send((heartbeat.ip,), introduced=known)
        self.meet(heartbeat.introduced)
        self._on_heard(heartbeat)

    def _beat(self) -> None:
        now = self._loop.time()
        late = now - self._beat_at - HEARTBEAT_SECONDS
        self._beat_at = now
        self._beats += 1
        if late > _PAUSE_SECONDS:
            self._journal.write(events.RESUMED, seconds=round(late, 2))
            self.members.excuse(late)
        self.usage = self._quotas.measure(now)
        regions = self._environment.regions
        is_far_beat = self._quotas.is_busy or not self._beats % FAR_BEATS
        self._send(
            found.ip
            for found in self._list_others()
            if is_far_beat
            or regions.get(found.zone) == self._environment.region
        )
        self._find_lost(now)
        self._on_beat()
        self._loop.call_later(HEARTBEAT_SECONDS, self._beat)

    def _find_lost(self, now: float) -> None:
        alive = {found.vm for found in self.members.list_alive(now)}
        for vm in self.members.peers.keys() - alive - self._lost:
            self._lost.add(vm)
            self._journal.write(
                events.PEER_LOST,
                peer=vm,
                silent=round(now - self.members.peers[vm].heard_at, 2),
            )

    def _list_others(self) -> list[Introduction]:
        own = self._environment.vm
        return [
            found
            for found in self.members.introduced.values()
            if found.vm != own
        ]

    def _send(
        self,
        ips: Iterable[str],
        introduced: tuple[Introduction, ...] = (),
    ) -> None:
        if self._gossip is None:
            return
        standing = self._find_standing()
        heartbeat = Heartbeat(
            vm=self._environment.vm,
            started_at=self._started_at,
            zone=self._environment.zone,
            ip=self._environment.ip,
            is_ready=standing.is_ready,
            is_leaving=standing.is_leaving,
            lag=standing.lag,
            revisions=self._knowledge.revisions,
            usage=self.usage,
            introduced=introduced,
        )
        port = self._environment.gossip_port
        self._gossip.send(heartbeat, [Address(ip, port) for ip in ips])

    def _drop(self, why: str) -> None:
        self._journal.write(events.MESSAGE_DROPPED, why=why)
