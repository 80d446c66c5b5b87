"""Speaks to the other VMs: heartbeats, and tables for those behind."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

import msgspec

from toucanhall.fleet.gossip import Gossip, open_gossip
from toucanhall.fleet.knowledge import Knowledge, Revisions
from toucanhall.fleet.membership import Heartbeat, Members
from toucanhall.fleet.model import (
    Address,
    Environment,
    Introduction,
    Snapshot,
)
from toucanhall.limits.quota import Quotas, Usage
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.web.client import open_connection
from toucanhall.web.messages import Answer, Request, make_answer, write_request

__all__ = ('HEARTBEAT_SECONDS', 'Fleetmate')

HEARTBEAT_SECONDS: Final = 0.8
# Other regions hear each second heartbeat, unless a team nears its limit.
FAR_BEATS: Final = 2
SNAPSHOT_PATH: Final = b'/fleet/tables'
# A VM of the own zone that watches the store is a few milliseconds ahead of
# the others: those of other zones are asked only when it does not answer.
_FAR_PULL_SECONDS: Final = 0.15
_PULL_SECONDS: Final = 1.0
_PAUSE_SECONDS: Final = 1.0  # a timer that is this late: the VM stood still


class Fleetmate:
    """This VM among the others."""

    def __init__(
        self,
        *,
        environment: Environment,
        knowledge: Knowledge,
        quotas: Quotas,
        journal: Journal,
        is_ready: Callable[[], bool],
        is_watching: Callable[[], bool],
        on_beat: Callable[[], None],
    ) -> None:
        """Tell others what this VM knows; call `on_beat` with each beat."""
        self._environment = environment
        self._knowledge = knowledge
        self._quotas = quotas
        self._journal = journal
        self._is_ready = is_ready
        self._is_watching = is_watching
        self._on_beat = on_beat
        self._loop = asyncio.get_running_loop()
        self._gossip: Gossip | None = None
        self._started_at = time.time_ns() // 1_000_000
        self._pulling: set[str] = set()
        self._lost: set[str] = set()
        self._beat_at = self._loop.time()
        self._tasks: set[asyncio.Task[None]] = set()
        self._usage: dict[str, Usage] = {}
        self._beats = 0
        self.members = Members()

    async def start(self) -> None:
        """Listen for heartbeats and send the first ones."""
        environment = self._environment
        self._gossip = await open_gossip(
            Address(environment.ip, environment.gossip_port),
            hear=self._hear,
            on_bad=self._drop,
        )
        seeds = [
            Address(seed.host, environment.gossip_port)
            for seed in environment.seeds
            if seed.host != environment.ip
        ]
        self._gossip.send(self._make_heartbeat(), seeds)
        self._loop.call_later(HEARTBEAT_SECONDS, self._beat)

    def meet(self, introductions: list[Introduction]) -> None:
        """Send a heartbeat to VMs that were not known."""
        own = self._environment.vm
        fresh = [
            Address(found.ip, self._environment.gossip_port)
            for found in introductions
            if found.vm != own and self.members.introduce(found)
        ]
        if self._gossip is not None:
            self._gossip.send(self._make_heartbeat(), fresh)

    def tell(self, *, is_urgent: bool = False) -> None:
        """Send a heartbeat now to the own zone, or to all if it is urgent.

        Configurations and evacuations are urgent: the VM that watches the
        store for a zone may be cut off from it, or from the zone.
        """
        if self._gossip is None:
            return
        addresses = [
            Address(found.ip, self._environment.gossip_port)
            for found in self.members.introduced.values()
            if found.vm != self._environment.vm
            and (is_urgent or found.zone == self._environment.zone)
        ]
        self._gossip.send(self._make_heartbeat(), addresses)

    def answer(self, request: Request) -> Answer:
        """Answer a VM that asks for the tables."""
        if request.path != SNAPSHOT_PATH:
            return make_answer(404, 'no such path')
        snapshot = self._knowledge.make_snapshot(self._loop.time())
        return Answer(200, (), msgspec.msgpack.encode(snapshot))

    async def pull(self, address: Address) -> None:
        """Take the tables of a VM that knows newer ones."""
        host = f'{address.host}:{address.port}'.encode()
        request = Request(b'GET', SNAPSHOT_PATH, ((b'host', host),), b'')
        try:
            async with asyncio.timeout(_PULL_SECONDS):
                connection = await open_connection(
                    address,
                    seconds=_PULL_SECONDS,
                )
                reply = await connection.exchange(write_request(request))
            connection.close()
            snapshot = msgspec.msgpack.decode(reply.body, type=Snapshot)
        except (OSError, msgspec.MsgspecError) as error:
            self._journal.write(
                events.SNAPSHOT_FAILED,
                peer=address.host,
                why=str(error) or type(error).__name__,
            )
            return
        self._knowledge.take_snapshot(snapshot, self._loop.time())
        self._journal.write(
            events.SNAPSHOT_TAKEN,
            peer=address.host,
            revisions=self._knowledge.revisions,
        )

    def _hear(self, heartbeat: Heartbeat) -> None:
        if heartbeat.vm == self._environment.vm:
            return
        now = self._loop.time()
        if self.members.hear(heartbeat, now):
            self._lost.discard(heartbeat.vm)
            self._journal.write(events.PEER_JOINED, peer=heartbeat.vm)
            self._introduce(heartbeat)
        self.meet(list(heartbeat.introduced))
        self._compare(heartbeat)

    def _introduce(self, heartbeat: Heartbeat) -> None:
        if self._gossip is None:
            return
        known = tuple(self.members.introduced.values())
        self._gossip.send(
            self._make_heartbeat()._replace(introduced=known),
            [Address(heartbeat.ip, self._environment.gossip_port)],
        )

    def _compare(self, heartbeat: Heartbeat) -> None:
        own = self._knowledge.revisions
        if not _is_ahead(heartbeat.revisions, own):
            return
        control = self._environment.listeners.control
        if heartbeat.vm in self._pulling or control is None:
            return
        is_near = heartbeat.zone == self._environment.zone
        wait = 0.0 if is_near or not own.configuration else _FAR_PULL_SECONDS
        self._pulling.add(heartbeat.vm)
        task = self._loop.create_task(
            self._pull_from(
                heartbeat, Address(heartbeat.ip, control.port), wait
            ),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pull_from(
        self,
        heartbeat: Heartbeat,
        address: Address,
        wait: float,
    ) -> None:
        try:
            await asyncio.sleep(wait)
            if _is_ahead(heartbeat.revisions, self._knowledge.revisions):
                await self.pull(address)
        finally:
            self._pulling.discard(heartbeat.vm)

    def _beat(self) -> None:
        now = self._loop.time()
        late = now - self._beat_at - HEARTBEAT_SECONDS
        self._beat_at = now
        if late > _PAUSE_SECONDS:
            self._journal.write(events.RESUMED, seconds=round(late, 2))
            self.members.excuse(late)
        self._usage = self._quotas.measure(now)
        if self._gossip is not None:
            self._gossip.send(self._make_heartbeat(), self._list_addresses())
        alive = {found.vm for found in self.members.list_alive(now)}
        for vm in self.members.peers.keys() - alive - self._lost:
            self._lost.add(vm)
            self._journal.write(events.PEER_LOST, peer=vm)
        self._on_beat()
        self._loop.call_later(HEARTBEAT_SECONDS, self._beat)

    def _list_addresses(self) -> list[Address]:
        self._beats += 1
        environment = self._environment
        is_far_beat = self._quotas.is_busy or not self._beats % FAR_BEATS
        return [
            Address(found.ip, environment.gossip_port)
            for found in self.members.introduced.values()
            if found.vm != environment.vm
            and (
                is_far_beat
                or environment.regions.get(found.zone) == environment.region
            )
        ]

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            vm=self._environment.vm,
            started_at=self._started_at,
            zone=self._environment.zone,
            ip=self._environment.ip,
            is_ready=self._is_ready(),
            is_watching=self._is_watching(),
            revisions=self._knowledge.revisions,
            usage=self._usage,
        )

    @property
    def own_usage(self) -> dict[str, Usage]:
        """What was told last of the requests of each team."""
        return self._usage

    def _drop(self, why: str) -> None:
        self._journal.write(events.MESSAGE_DROPPED, why=why)


def _is_ahead(found: Revisions, own: Revisions) -> bool:
    return any(theirs > ours for theirs, ours in zip(found, own, strict=True))
