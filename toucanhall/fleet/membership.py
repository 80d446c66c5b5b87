"""The other VMs: which are alive, and what they last reported."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import chain
from typing import Final, NamedTuple

from toucanhall.fleet.model import VmContact
from toucanhall.fleet.reports import Member, ZoneReport
from toucanhall.fleet.revisions import Revisions
from toucanhall.fleet.selection import MIN_SERVING_VMS
from toucanhall.limits.quota import (
    RESERVE_VM_WEIGHT,
    Usage,
    UsageReport,
    make_missing_report,
)

__all__ = (
    'HEARTBEAT_TIMEOUT_SECONDS',
    'VM_EXPIRY_SECONDS',
    'USAGE_STALE_SECONDS',
    'REPORT_STALE_SECONDS',
    'REPORT_EXPIRY_SECONDS',
    'Heartbeat',
    'Members',
    'Peer',
)

# Two heartbeats may be lost before a VM counts as dead.
HEARTBEAT_TIMEOUT_SECONDS: Final = 2.6
# A silent VM may still admit requests of teams: its share of their limits is
# given to others only after this time.
USAGE_EXPIRY_SECONDS: Final = 20.0
# A VM that is silent for longer gets no more messages until the store or
# another VM names it again: its replacement takes some seconds.
VM_EXPIRY_SECONDS: Final = 60.0
# Heartbeats come each 0.8 s: a VM that missed one and is silent for longer may
# be cut off and admit requests of which the others get no report.
USAGE_STALE_SECONDS: Final = 1.8
# Each of the two delegates of a zone reports each 1.6 s, to the two delegates
# of another zone in turn: after this time more than one report was lost.
REPORT_STALE_SECONDS: Final = 2.6
# The VMs of a report count as alive for so long after it. Together with the
# time from its last heartbeat to the report, a dead VM is named to clients for
# less than six seconds, the strictest bound of the deployments.
REPORT_EXPIRY_SECONDS: Final = 4.0


class Heartbeat(NamedTuple):
    """What a VM sends to the others of its zone, and at a start to its seeds.

    `started_at` is the time of its start (Unix milliseconds), `usage` holds
    the requests of each team. `is_requesting_vms` asks for an answer with
    `known_vms`, the VMs that the other one knows. `store_age` is the time since
    the store answered the VM, None if it never did.
    """

    member: Member
    started_at: int
    revisions: Revisions
    usage: Mapping[str, Usage]
    is_requesting_vms: bool = False
    known_vms: tuple[VmContact, ...] = ()
    store_age: float | None = None


class Peer(NamedTuple):
    """The last heartbeat of a VM and when it was received."""

    heartbeat: Heartbeat
    received_at: float


class _ReceivedReport(NamedTuple):
    report: ZoneReport
    received_at: float


class Members:
    """The other VMs: those of the own zone by name, the others by zone."""

    def __init__(
        self,
        *,
        own: VmContact,
        zones: Iterable[str],
        now: float,
    ) -> None:
        """Start with only the own VM known."""
        self._own = own
        # Zones that should have VMs: those of the settings, until the entries
        # of all VMs were read some time after the start.
        self._zones = frozenset(zones)
        self._started_at = now
        self.peers: dict[str, Peer] = {}
        self.known_vms: dict[str, VmContact] = {}
        self._is_listing_complete = False
        # The last report of each delegate, by zone.
        self._reports: dict[str, dict[str, _ReceivedReport]] = {}

    def receive(self, heartbeat: Heartbeat, now: float) -> bool:
        """Update the state of a VM of the own zone from its heartbeat.

        Returns whether the VM is new, started again or counted as dead.
        """
        vm = heartbeat.member.vm
        known = self.peers.get(vm)
        if known and heartbeat.started_at < known.heartbeat.started_at:
            return False
        self.peers[vm] = Peer(heartbeat, now)
        self.add_known_vm(heartbeat.member.contact)
        return (
            known is None
            or known.heartbeat.started_at != heartbeat.started_at
            or now - known.received_at > HEARTBEAT_TIMEOUT_SECONDS
        )

    def receive_report(self, report: ZoneReport, now: float) -> bool:
        """Keep a report of another zone; return whether it is new."""
        reports = self._reports.setdefault(report.zone, {})
        known = reports.get(report.delegate)
        if known and known.report.stamp >= report.stamp:
            return False
        reports[report.delegate] = _ReceivedReport(report, now)
        for found in report.members:
            self.add_known_vm(found.contact)
        return True

    def add_known_vm(self, contact: VmContact) -> bool:
        """Record the zone and address of a VM; return whether they are new."""
        is_new = self.known_vms.get(contact.vm) != contact
        self.known_vms[contact.vm] = contact
        return is_new

    def mark_listing_complete(self) -> None:
        """Record that the entries of all VMs were read since the start."""
        self._is_listing_complete = True

    def count_vms_by_zone(self) -> Counter[str]:
        """Return how many VMs each zone has, this one included.

        It is empty until the entries of all VMs were read: a VM that has just
        started knows only a few others.
        """
        if not self._is_listing_complete:
            return Counter()
        zones = Counter(found.zone for found in self.known_vms.values())
        zones[self._own.zone] += 1
        return zones

    def apply_listing(self, listed: Sequence[VmContact]) -> None:
        """Drop VMs that are in no entry of the store, heartbeat or report."""
        self._zones = frozenset(found.zone for found in listed)
        names = {found.vm for found in listed}
        names.update(self.peers)
        for reports in self._reports.values():
            for received in reports.values():
                names.update(found.vm for found in received.report.members)
        self.known_vms = {
            vm: found for vm, found in self.known_vms.items() if vm in names
        }

    def discount_pause(self, seconds: float) -> None:
        """Don't count a pause of this process as silence of the others."""
        self.peers = {
            vm: peer._replace(received_at=peer.received_at + seconds)
            for vm, peer in self.peers.items()
        }
        self._reports = {
            zone: {
                vm: received._replace(
                    received_at=received.received_at + seconds
                )
                for vm, received in reports.items()
            }
            for zone, reports in self._reports.items()
        }

    def drop_expired(self, now: float) -> list[VmContact]:
        """Drop VMs and delegates that were silent for `VM_EXPIRY_SECONDS`.

        Returns those of the own zone.
        """
        self._reports = {
            zone: {
                vm: received
                for vm, received in reports.items()
                if now - received.received_at <= VM_EXPIRY_SECONDS
            }
            for zone, reports in self._reports.items()
        }
        expired = [
            self.known_vms[vm]
            for vm, peer in self.peers.items()
            if now - peer.received_at > VM_EXPIRY_SECONDS
            and vm in self.known_vms
        ]
        for found in expired:
            self.known_vms.pop(found.vm)
            self.peers.pop(found.vm)
        return expired

    def list_local(self, now: float) -> list[Member]:
        """Return the VMs of the own zone that are alive."""
        return [
            peer.heartbeat.member
            for peer in self.peers.values()
            if now - peer.received_at <= HEARTBEAT_TIMEOUT_SECONDS
        ]

    def list_store_ages(self, now: float) -> dict[str, float]:
        """Return the seconds since the store answered VMs of the own zone."""
        return {
            vm: now - peer.received_at + peer.heartbeat.store_age
            for vm, peer in self.peers.items()
            if peer.heartbeat.store_age is not None
        }

    def list_zone(self, zone: str, now: float) -> list[Member]:
        """Return the VMs of another zone that are in its recent reports."""
        found = {
            member.vm: member
            for received in self._list_recent(zone, now, REPORT_EXPIRY_SECONDS)
            for member in received.report.members
        }
        return list(found.values())

    def list_alive(self, now: float) -> list[Member]:
        """Return the VMs of all zones that are alive."""
        remote = (self.list_zone(zone, now) for zone in self._reports)
        return [*self.list_local(now), *chain.from_iterable(remote)]

    def list_zones(self) -> list[str]:
        """Return the names of the other zones with known VMs."""
        zones = {found.zone for found in self.known_vms.values()}
        return sorted(zones - {self._own.zone})

    def list_local_usage_reports(
        self, now: float, serving: set[str]
    ) -> list[UsageReport]:
        """Return the usage reports of the own zone, stale ones included.

        `serving` are the VMs that admit requests. For some time after the
        start, VMs that should take requests and sent no heartbeat count too.
        """
        usage_reports = [
            UsageReport(
                peer.heartbeat.usage,
                is_stale=now - peer.received_at > USAGE_STALE_SECONDS,
                vms=1.0 if vm in serving else RESERVE_VM_WEIGHT,
            )
            for vm, peer in self.peers.items()
            if now - peer.received_at <= USAGE_EXPIRY_SECONDS
        ]
        without_report = sum(
            found.zone == self._own.zone
            for vm, found in self.known_vms.items()
            if vm != self._own.vm and vm not in self.peers
        )
        missing = min(without_report, MIN_SERVING_VMS - len(serving))
        if missing > 0 and self._has_just_started(now):
            usage_reports.append(make_missing_report(missing))
        return usage_reports

    def list_remote_usage_reports(self, now: float) -> list[UsageReport]:
        """Return the usage reports of the other zones.

        For some time after the start, zones that sent none yet count too.
        """
        usage_reports = [
            found
            for zone in self._reports
            for found in self._get_zone_usage(zone, now)
        ]
        missing = self._zones - self._reports.keys() - {self._own.zone}
        if self._has_just_started(now):
            known = self.count_vms_by_zone()
            usage_reports += [
                make_missing_report(
                    min(MIN_SERVING_VMS, known[zone] or MIN_SERVING_VMS)
                )
                for zone in missing
            ]
        return usage_reports

    def _has_just_started(self, now: float) -> bool:
        return now - self._started_at < USAGE_EXPIRY_SECONDS

    def _get_zone_usage(self, zone: str, now: float) -> Sequence[UsageReport]:
        recent = self._list_recent(zone, now, REPORT_STALE_SECONDS)
        if recent:
            # A delegate that has just started knows few VMs of its zone.
            return max(recent, key=_get_size).report.usage_reports
        stale = self._list_recent(zone, now, USAGE_EXPIRY_SECONDS)
        if not stale:
            return ()
        newest = max(stale, key=_get_receipt_time).report.usage_reports
        return [found._replace(is_stale=True) for found in newest]

    def _list_recent(
        self,
        zone: str,
        now: float,
        seconds: float,
    ) -> list[_ReceivedReport]:
        return [
            received
            for received in self._reports.get(zone, {}).values()
            if now - received.received_at <= seconds
        ]


def _get_size(received: _ReceivedReport) -> tuple[int, float]:
    return len(received.report.members), received.received_at


def _get_receipt_time(received: _ReceivedReport) -> float:
    return received.received_at
