"""Exchanges heartbeats with the VMs of the zone, and reports with others."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from toucanhall.edge.zone_reporter import ZoneReporter
from toucanhall.fleet.gossip import Gossip, Message, open_gossip
from toucanhall.fleet.tables import FleetTables, Revisions
from toucanhall.fleet.membership import Heartbeat, Members
from toucanhall.fleet.model import Address, Environment, VmContact
from toucanhall.fleet.reports import Member, ZoneReport
from toucanhall.limits.quota import Quotas, Usage
from toucanhall.observe import events
from toucanhall.observe.journal import Journal

__all__ = (
    'FIRST_HEARTBEAT_DELAY_SECONDS',
    'HEARTBEAT_INTERVAL_SECONDS',
    'PeerExchange',
    'RevisionSource',
    'get_heartbeat_interval_seconds',
)

# Two of three heartbeats may be lost before others look for a new watcher.
HEARTBEAT_INTERVAL_SECONDS: Final = 0.8
# By then the seeds have introduced all VMs, over two times between regions.
FIRST_HEARTBEAT_DELAY_SECONDS: Final = 0.2
# A VM that has just started knows little of what others spent: it tells and
# hears more often until the first window's reports have gone round twice.
_EARLY_BEAT_SECONDS: Final = 0.2
_EARLY_SECONDS: Final = 2.0
_PAUSE_SECONDS: Final = 1.0  # a timer that is this late: the VM stood still


def get_heartbeat_interval_seconds(age: float) -> float:
    """Return the time to the next beat of a VM that started so long ago."""
    return (
        _EARLY_BEAT_SECONDS
        if age < _EARLY_SECONDS
        else HEARTBEAT_INTERVAL_SECONDS
    )


class RevisionSource(NamedTuple):
    """A VM that told which tables it has, maybe through one of the zone."""

    vm: str
    zone: str
    ip: str
    is_relayed: bool


class PeerExchange:
    """This VM among the others."""

    def __init__(
        self,
        *,
        environment: Environment,
        fleet_tables: FleetTables,
        quotas: Quotas,
        journal: Journal,
        find_self: Callable[[], Member],
        on_heard: Callable[[RevisionSource, Revisions], None],
        on_beat: Callable[[], None],
    ) -> None:
        """Tell others what this VM knows; call `on_beat` with each beat."""
        self._environment = environment
        self._fleet_tables = fleet_tables
        self._quotas = quotas
        self._journal = journal
        self._find_self = find_self
        self._on_heard = on_heard
        self._on_beat = on_beat
        self._loop = asyncio.get_running_loop()
        self._gossip: Gossip | None = None
        self._started_at = time.time_ns() // 1_000_000
        self._lost: set[str] = set()
        self._began_at = self._loop.time()
        self._beat_at = self._began_at
        self._beat_seconds = FIRST_HEARTBEAT_DELAY_SECONDS
        self.usage: dict[str, Usage] = {}
        self.members = Members(
            own=VmContact(environment.vm, environment.zone, environment.ip),
            zones=environment.regions,
            now=self._loop.time(),
        )
        self._speaker = ZoneReporter(
            members=self.members,
            send=self._send,
            clock=self._loop.time,
        )

    async def start(self) -> None:
        """Listen to the other VMs and ask the seeds for them."""
        environment = self._environment
        self._gossip = await open_gossip(
            Address(environment.ip, environment.gossip_port),
            receive=self._hear,
            on_error=self._drop,
        )
        seeds = {
            seed.host
            for seed in environment.seeds
            if seed.host != environment.ip
        }
        asking = self._make_heartbeat()._replace(is_requesting_vms=True)
        self._send(Message(heartbeat=asking), seeds)
        self._beat_at = self._loop.time()
        self._loop.call_later(FIRST_HEARTBEAT_DELAY_SECONDS, self._beat)

    def add_vms(self, introductions: Iterable[VmContact]) -> None:
        """Greet VMs of the own zone that were not known."""
        own = self._environment.vm
        new = [
            found
            for found in introductions
            if found.vm != own and self.members.add_known_vm(found)
        ]
        self._greet(
            found.ip for found in new if found.zone == self._environment.zone
        )

    def broadcast_revisions(self, *, is_for_all_zones: bool) -> None:
        """Tell the own zone which tables this VM has.

        The first one of a zone to know of them tells the other zones too:
        the VM that watches the store for one may be cut off.
        """
        self._greet(self._list_near_ips())
        if is_for_all_zones:
            self._speaker.broadcast_revisions(self._make_heartbeat())

    def list_zone(self) -> list[Member]:
        """Return the VMs of the own zone that are alive, this one first."""
        now = self._loop.time()
        return [self._find_self(), *self.members.list_local(now)]

    def _hear(self, message: Message) -> None:
        if message.report is not None:
            self._hear_report(message.report, is_relayed=message.is_relayed)
        heartbeat = message.heartbeat
        if heartbeat is None or heartbeat.member.vm == self._environment.vm:
            return
        if heartbeat.member.zone == self._environment.zone:
            self._hear_near(heartbeat)
        if heartbeat.is_requesting_vms:
            self._introduce_all(heartbeat)
        self.add_vms(heartbeat.known_vms)
        source = RevisionSource(*heartbeat.member.contact, is_relayed=False)
        self._on_heard(source, heartbeat.revisions)

    def _hear_near(self, heartbeat: Heartbeat) -> None:
        if not self.members.receive(heartbeat, self._loop.time()):
            return
        vm = heartbeat.member.vm
        self._lost.discard(vm)
        self._journal.write(events.PEER_JOINED, peer=vm)
        self._greet((heartbeat.member.ip,))

    def _hear_report(self, report: ZoneReport, *, is_relayed: bool) -> None:
        if report.zone == self._environment.zone:
            return
        if not self.members.receive_report(report, self._loop.time()):
            return
        if not is_relayed:
            self._send(
                Message(report=report, is_relayed=True),
                self._list_near_ips(),
            )
        source = RevisionSource(
            report.delegate, report.zone, report.ip, is_relayed
        )
        self._on_heard(source, report.revisions)

    def _introduce_all(self, asking: Heartbeat) -> None:
        known = tuple(self.members.known_vms.values())
        answer = self._make_heartbeat()._replace(known_vms=known)
        self._send(Message(heartbeat=answer), (asking.member.ip,))
        self.add_vms((asking.member.contact,))

    def _beat(self) -> None:
        now = self._loop.time()
        late = now - self._beat_at - self._beat_seconds
        self._beat_at = now
        # An error in what follows must not end the heartbeats.
        self._beat_seconds = get_heartbeat_interval_seconds(
            now - self._began_at
        )
        self._loop.call_later(self._beat_seconds, self._beat)
        if late > _PAUSE_SECONDS:
            self._journal.write(events.RESUMED, seconds=round(late, 2))
            self.members.discount_pause(late)
        self.usage = self._quotas.collect_usage(now)
        heartbeat = self._make_heartbeat()
        self._send(Message(heartbeat=heartbeat), self._list_near_ips())
        self._speaker.beat(heartbeat)
        self._find_lost(now)
        self._on_beat()

    def _find_lost(self, now: float) -> None:
        alive = {found.vm for found in self.members.list_local(now)}
        for vm in self.members.peers.keys() - alive - self._lost:
            self._lost.add(vm)
            self._journal.write(
                events.PEER_LOST,
                peer=vm,
                silent=round(now - self.members.peers[vm].received_at, 2),
            )

    def _list_near_ips(self) -> list[str]:
        environment = self._environment
        return [
            found.ip
            for found in self.members.known_vms.values()
            if found.zone == environment.zone and found.vm != environment.vm
        ]

    def _greet(self, ips: Iterable[str]) -> None:
        self._send(Message(heartbeat=self._make_heartbeat()), ips)

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            member=self._find_self(),
            started_at=self._started_at,
            revisions=self._fleet_tables.revisions,
            usage=self.usage,
        )

    def _send(self, message: Message, ips: Iterable[str]) -> None:
        port = self._environment.gossip_port
        if self._gossip is not None:
            self._gossip.send(message, [Address(ip, port) for ip in ips])

    def _drop(self, why: str) -> None:
        self._journal.write(events.MESSAGE_DROPPED, why=why)
