"""Exchanges heartbeats with local VMs and zone reports with other zones."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from toucanhall.edge.limit_exchange import LimitExchange
from toucanhall.edge.unknown_parts import UnknownParts
from toucanhall.edge.zone_reporter import ZoneReporter
from toucanhall.fleet.gossip import Gossip, Message, open_gossip
from toucanhall.fleet.membership import Heartbeat, Members
from toucanhall.fleet.model import Address, Environment, VmContact
from toucanhall.fleet.reports import LimitReports, Member, ZoneReport
from toucanhall.fleet.revisions import Revisions
from toucanhall.fleet.tables import FleetTables
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

# Two of three heartbeats may be lost before others choose a new watcher.
HEARTBEAT_INTERVAL_SECONDS: Final = 0.8
# By then the seeds have sent the VMs that they know, over twice the one-way
# delay between regions.
FIRST_HEARTBEAT_DELAY_SECONDS: Final = 0.2
# A VM that has just started knows little of the usage of others: it sends and
# receives more often until the first window's reports have gone round twice.
_EARLY_HEARTBEAT_INTERVAL_SECONDS: Final = 0.2
_EARLY_PERIOD_SECONDS: Final = 2.0
_MIN_PAUSE_SECONDS: Final = 1.0  # a timer this late: the process was paused


def get_heartbeat_interval_seconds(age_seconds: float) -> float:
    """Return the time to the next heartbeat of a VM of some age."""
    return (
        _EARLY_HEARTBEAT_INTERVAL_SECONDS
        if age_seconds < _EARLY_PERIOD_SECONDS
        else HEARTBEAT_INTERVAL_SECONDS
    )


class RevisionSource(NamedTuple):
    """A VM whose table revisions were received.

    `is_relayed` tells that another VM of the own zone passed them on.
    """

    vm: str
    zone: str
    ip: str
    is_relayed: bool


class PeerExchange:
    """Sends this VM's state to the other VMs and receives theirs."""

    def __init__(
        self,
        *,
        environment: Environment,
        fleet_tables: FleetTables,
        quotas: Quotas,
        journal: Journal,
        limits: LimitExchange,
        get_own_member: Callable[[], Member],
        get_store_age: Callable[[], float | None],
        on_revisions: Callable[[RevisionSource, Revisions], None],
        on_heartbeat: Callable[[], None],
    ) -> None:
        """Call `on_heartbeat` after each heartbeat that is sent."""
        self._environment = environment
        self._fleet_tables = fleet_tables
        self._quotas = quotas
        self._journal = journal
        self._limits = limits
        self._get_own_member = get_own_member
        self._get_store_age = get_store_age
        self._on_revisions = on_revisions
        self._on_heartbeat = on_heartbeat
        self._loop = asyncio.get_running_loop()
        self._gossip: Gossip | None = None
        self.unknown_parts = UnknownParts(journal=journal)
        self._started_at_ms = time.time_ns() // 1_000_000
        self._silent_vms: set[str] = set()
        self._started_loop_time = self._loop.time()
        self._last_heartbeat_at = self._started_loop_time
        self._interval_seconds = FIRST_HEARTBEAT_DELAY_SECONDS
        self.usage: dict[str, Usage] = {}
        self.members = Members(
            own=VmContact(environment.vm, environment.zone, environment.ip),
            zones=environment.regions,
            now=self._loop.time(),
        )
        self._zone_reporter = ZoneReporter(
            members=self.members,
            send=self._send,
            clock=self._loop.time,
        )

    async def start(self) -> None:
        """Open the gossip socket and ask the seeds for the other VMs."""
        environment = self._environment
        self._gossip = await open_gossip(
            Address(environment.ip, environment.gossip_port),
            receive=self._receive,
            on_error=self._log_dropped,
            on_unknown=self.unknown_parts.record,
        )
        seeds = {
            seed.host
            for seed in environment.seeds
            if seed.host != environment.ip
        }
        heartbeat = self._make_heartbeat()._replace(is_requesting_vms=True)
        self._send(Message(heartbeat=heartbeat), seeds)
        self._last_heartbeat_at = self._loop.time()
        self._loop.call_later(
            FIRST_HEARTBEAT_DELAY_SECONDS, self._send_heartbeats
        )

    def add_vms(self, contacts: Iterable[VmContact]) -> None:
        """Add VMs; send a heartbeat to those of the own zone that are new."""
        own = self._environment.vm
        new = [
            contact
            for contact in contacts
            if contact.vm != own and self.members.add_known_vm(contact)
        ]
        self._send_heartbeat(
            contact.ip
            for contact in new
            if contact.zone == self._environment.zone
        )

    def broadcast_revisions(self, *, is_for_all_zones: bool) -> None:
        """Send the own zone the revisions of this VM's tables.

        The first VM of a zone that has them sends them to the other zones
        too, whose watchers may be cut off from the store.
        """
        self._send_heartbeat(self._list_local_ips())
        if is_for_all_zones:
            self._zone_reporter.broadcast_revisions(self._make_heartbeat())

    def list_store_ages(self) -> dict[str, float]:
        """Return the seconds since the store answered VMs of the own zone."""
        ages = self.members.list_store_ages(self._loop.time())
        own_age = self._get_store_age()
        if own_age is not None:
            ages[self._environment.vm] = own_age
        return ages

    def list_local_vms(self) -> list[Member]:
        """Return the VMs of the own zone that are alive, this one first."""
        now = self._loop.time()
        return [self._get_own_member(), *self.members.list_local(now)]

    def list_watch_candidates(self) -> list[Member]:
        """Return the VMs of the own zone that may watch the store for it.

        VMs of builds that don't watch for suspects watch for themselves only.
        """
        own, *others = self.list_local_vms()
        gossip = self._gossip
        if gossip is None:
            return [own, *others]
        kept = (
            found for found in others if not gossip.forms.is_first(found.ip)
        )
        return [own, *kept]

    def count_earlier_vms(self) -> int:
        """Return how many VMs of earlier forms of records were heard lately."""
        return self._gossip.forms.count_earlier() if self._gossip else 0

    def _receive(self, message: Message) -> None:
        if message.report is not None:
            self._receive_report(message.report, is_relayed=message.is_relayed)
        if message.limits is not None:
            self._receive_limits(message.limits, message.is_relayed)
        heartbeat = message.heartbeat
        if heartbeat is None or heartbeat.member.vm == self._environment.vm:
            return
        if heartbeat.member.zone == self._environment.zone:
            self._receive_local_heartbeat(heartbeat)
        if heartbeat.is_requesting_vms:
            self._send_known_vms(heartbeat)
        self.add_vms(heartbeat.known_vms)
        source = RevisionSource(*heartbeat.member.contact, is_relayed=False)
        self._on_revisions(source, heartbeat.revisions)

    def _receive_local_heartbeat(self, heartbeat: Heartbeat) -> None:
        if not self.members.receive(heartbeat, self._loop.time()):
            return
        vm = heartbeat.member.vm
        self._silent_vms.discard(vm)
        self._journal.write(events.PEER_JOINED, peer=vm)
        self._send_heartbeat((heartbeat.member.ip,))

    def _receive_report(self, report: ZoneReport, *, is_relayed: bool) -> None:
        if report.zone == self._environment.zone:
            return
        if not self.members.receive_report(report, self._loop.time()):
            return
        if not is_relayed:
            self._send(
                Message(report=report, is_relayed=True),
                self._list_local_ips(),
            )
        source = RevisionSource(
            report.delegate, report.zone, report.ip, is_relayed
        )
        self._on_revisions(source, report.revisions)

    def _receive_limits(self, limits: LimitReports, is_relayed: bool) -> None:
        self._limits.receive(limits)
        if limits.zone != self._environment.zone and not is_relayed:
            self._send(
                Message(limits=limits, is_relayed=True),
                self._list_local_ips(),
            )

    def _send_known_vms(self, request: Heartbeat) -> None:
        known = tuple(self.members.known_vms.values())
        answer = self._make_heartbeat()._replace(known_vms=known)
        self._send(Message(heartbeat=answer), (request.member.ip,))
        self._send_limits((request.member.ip,))
        self.add_vms((request.member.contact,))

    def _send_heartbeats(self) -> None:
        now = self._loop.time()
        delay_seconds = now - self._last_heartbeat_at - self._interval_seconds
        self._last_heartbeat_at = now
        # Scheduled first: an error in what follows must not end the heartbeats.
        self._interval_seconds = get_heartbeat_interval_seconds(
            now - self._started_loop_time
        )
        self._loop.call_later(self._interval_seconds, self._send_heartbeats)
        if delay_seconds > _MIN_PAUSE_SECONDS:
            self._journal.write(
                events.RESUMED,
                seconds=round(delay_seconds, 2),
            )
            self.members.discount_pause(delay_seconds)
        self.usage = self._quotas.collect_usage(now)
        heartbeat = self._make_heartbeat()
        self._send(Message(heartbeat=heartbeat), self._list_local_ips())
        self._send_limits(self._list_local_ips())
        self._zone_reporter.beat(heartbeat, self._limits.report_local())
        self._log_silent_vms(now)
        self._on_heartbeat()

    def _log_silent_vms(self, now: float) -> None:
        alive = {member.vm for member in self.members.list_local(now)}
        for vm in self.members.peers.keys() - alive - self._silent_vms:
            self._silent_vms.add(vm)
            self._journal.write(
                events.PEER_LOST,
                peer=vm,
                silent=round(now - self.members.peers[vm].received_at, 2),
            )

    def _list_local_ips(self) -> list[str]:
        environment = self._environment
        return [
            other.ip
            for other in self.members.known_vms.values()
            if other.zone == environment.zone and other.vm != environment.vm
        ]

    def _send_heartbeat(self, ips: Iterable[str]) -> None:
        self._send(Message(heartbeat=self._make_heartbeat()), ips)

    def _send_limits(self, ips: Iterable[str]) -> None:
        limits = self._limits.report_own()
        if limits is not None:
            self._send(Message(limits=limits), ips)

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            member=self._get_own_member(),
            started_at=self._started_at_ms,
            revisions=self._fleet_tables.revisions,
            usage=self.usage,
            store_age=_round_age(self._get_store_age()),
        )

    def _send(self, message: Message, ips: Iterable[str]) -> None:
        port = self._environment.gossip_port
        if self._gossip is not None:
            self._gossip.send(message, [Address(ip, port) for ip in ips])

    def _log_dropped(self, why: str) -> None:
        self._journal.write(events.MESSAGE_DROPPED, why=why)


def _round_age(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)
