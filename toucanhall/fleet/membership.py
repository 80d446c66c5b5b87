"""Which VMs are alive, and what they last told."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import chain
from typing import Final, NamedTuple

from toucanhall.fleet.tables import Revisions
from toucanhall.fleet.model import VmContact
from toucanhall.fleet.reports import Member, ZoneReport
from toucanhall.fleet.selection import MIN_SERVING_VMS
from toucanhall.limits.quota import (
    RESERVE_VM_WEIGHT,
    UsageReport,
    Usage,
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
# A VM that fell silent may still admit requests of teams: its part of their
# limits is given to others only after this time.
USAGE_EXPIRY_SECONDS: Final = 20.0
# A VM that is silent for so long is greeted no more, until the store or another
# VM tells of it again: replacements take some seconds.
VM_EXPIRY_SECONDS: Final = 60.0
# Heartbeats come each 0.8 s: a VM that missed one and told nothing for longer
# may be cut off and admit requests that nobody hears of.
USAGE_STALE_SECONDS: Final = 1.8
# Two speakers of a zone report each 1.6 s, each to one of two listeners in
# turn: after this time more than one report was lost.
REPORT_STALE_SECONDS: Final = 2.6
# The VMs of a zone are named for so long after its last report: with the
# heartbeats before it a dead VM is named for less than six seconds, the least
# that deployments allow.
REPORT_EXPIRY_SECONDS: Final = 4.0


class Heartbeat(NamedTuple):
    """What a VM tells the others of its zone, and its seeds at a start.

    `started_at` tells its starts apart (Unix milliseconds), `usage` holds the
    requests of each team. `is_requesting_vms` asks for `known_vms`, the VMs that the
    other one knows.
    """

    member: Member
    started_at: int
    revisions: Revisions
    usage: Mapping[str, Usage]
    is_requesting_vms: bool = False
    known_vms: tuple[VmContact, ...] = ()


class Peer(NamedTuple):
    """The last heartbeat of a VM and when it was heard."""

    heartbeat: Heartbeat
    received_at: float


class _Heard(NamedTuple):
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
        """Start without knowing any VM but the own one."""
        self._own = own
        # Zones in which there should be VMs: those of the settings, until the
        # entries of all VMs were read some time after a start.
        self._zones = frozenset(zones)
        self._started_at = now
        self.peers: dict[str, Peer] = {}
        self.known_vms: dict[str, VmContact] = {}
        self._is_listed = False
        # The last report of each speaker, by zone.
        self._reports: dict[str, dict[str, _Heard]] = {}

    def receive(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat of the own zone.

        Returns whether its VM is new, started again or was taken as dead.
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
        """Take a report of another zone; tell whether it was not heard yet."""
        speakers = self._reports.setdefault(report.zone, {})
        known = speakers.get(report.delegate)
        if known and known.report.stamp >= report.stamp:
            return False
        speakers[report.delegate] = _Heard(report, now)
        for found in report.members:
            self.add_known_vm(found.contact)
        return True

    def add_known_vm(self, introduction: VmContact) -> bool:
        """Note where a VM may be found; tell whether it was unknown."""
        is_new = self.known_vms.get(introduction.vm) != introduction
        self.known_vms[introduction.vm] = introduction
        return is_new

    def mark_listing_complete(self) -> None:
        """Note that the entries of all VMs were read since the start."""
        self._is_listed = True

    def count_vms_by_zone(self) -> Counter[str]:
        """Return how many VMs each zone has, this one included.

        There are none until the entries of all VMs were read: who has just
        started knows only a few of them.
        """
        if not self._is_listed:
            return Counter()
        zones = Counter(found.zone for found in self.known_vms.values())
        zones[self._own.zone] += 1
        return zones

    def apply_listing(self, listed: Sequence[VmContact]) -> None:
        """Drop VMs of other zones that have no entry and are not heard of."""
        self._zones = frozenset(found.zone for found in listed)
        names = {found.vm for found in listed}
        names.update(self.peers)
        for speakers in self._reports.values():
            for heard in speakers.values():
                names.update(found.vm for found in heard.report.members)
        self.known_vms = {
            vm: found for vm, found in self.known_vms.items() if vm in names
        }

    def discount_pause(self, seconds: float) -> None:
        """Forgive silence for the time in which this VM did not run."""
        self.peers = {
            vm: peer._replace(received_at=peer.received_at + seconds)
            for vm, peer in self.peers.items()
        }
        self._reports = {
            zone: {
                speaker: heard._replace(received_at=heard.received_at + seconds)
                for speaker, heard in speakers.items()
            }
            for zone, speakers in self._reports.items()
        }

    def drop_expired(self, now: float) -> list[VmContact]:
        """Drop what was silent for a minute; return VMs of the own zone."""
        self._reports = {
            zone: {
                speaker: heard
                for speaker, heard in speakers.items()
                if now - heard.received_at <= VM_EXPIRY_SECONDS
            }
            for zone, speakers in self._reports.items()
        }
        gone = [
            self.known_vms[vm]
            for vm, peer in self.peers.items()
            if now - peer.received_at > VM_EXPIRY_SECONDS
            and vm in self.known_vms
        ]
        for found in gone:
            self.known_vms.pop(found.vm)
            self.peers.pop(found.vm)
        return gone

    def list_local(self, now: float) -> list[Member]:
        """Return the VMs of the own zone that are alive."""
        return [
            peer.heartbeat.member
            for peer in self.peers.values()
            if now - peer.received_at <= HEARTBEAT_TIMEOUT_SECONDS
        ]

    def list_zone(self, zone: str, now: float) -> list[Member]:
        """Return the VMs of another zone that its reports name."""
        found = {
            member.vm: member
            for heard in self._list_heard(zone, now, REPORT_EXPIRY_SECONDS)
            for member in heard.report.members
        }
        return list(found.values())

    def list_alive(self, now: float) -> list[Member]:
        """Return the VMs of all zones that are alive."""
        far = (self.list_zone(zone, now) for zone in self._reports)
        return [*self.list_local(now), *chain.from_iterable(far)]

    def list_zones(self) -> list[str]:
        """Return the names of the other zones in which VMs are known."""
        zones = {found.zone for found in self.known_vms.values()}
        return sorted(zones - {self._own.zone})

    def list_local_usage_reports(
        self, now: float, serving: set[str]
    ) -> list[UsageReport]:
        """Return what VMs of the own zone told, also those now silent.

        After a start, VMs that should take requests and told nothing count.
        """
        told = [
            UsageReport(
                peer.heartbeat.usage,
                is_stale=now - peer.received_at > USAGE_STALE_SECONDS,
                vms=1.0 if vm in serving else RESERVE_VM_WEIGHT,
            )
            for vm, peer in self.peers.items()
            if now - peer.received_at <= USAGE_EXPIRY_SECONDS
        ]
        unheard = sum(
            found.zone == self._own.zone
            for vm, found in self.known_vms.items()
            if vm != self._own.vm and vm not in self.peers
        )
        missing = min(unheard, MIN_SERVING_VMS - len(serving))
        if missing > 0 and self._is_new(now):
            told.append(make_missing_report(missing))
        return told

    def list_remote_usage_reports(self, now: float) -> list[UsageReport]:
        """Return what the other zones told; after a start, also what is due."""
        told = [
            found
            for zone in self._reports
            for found in self._find_zone_told(zone, now)
        ]
        unheard = self._zones - self._reports.keys() - {self._own.zone}
        if self._is_new(now):
            known = self.count_vms_by_zone()
            told += [
                make_missing_report(
                    min(MIN_SERVING_VMS, known[zone] or MIN_SERVING_VMS)
                )
                for zone in unheard
            ]
        return told

    def _is_new(self, now: float) -> bool:
        return now - self._started_at < USAGE_EXPIRY_SECONDS

    def _find_zone_told(self, zone: str, now: float) -> Sequence[UsageReport]:
        recent = self._list_heard(zone, now, REPORT_STALE_SECONDS)
        if recent:
            # A speaker that has just started knows few VMs of its zone.
            return max(recent, key=_get_size).report.usage_reports
        last = self._list_heard(zone, now, USAGE_EXPIRY_SECONDS)
        if not last:
            return ()
        found = max(last, key=_get_heard_at).report.usage_reports
        return [told._replace(is_stale=True) for told in found]

    def _list_heard(
        self,
        zone: str,
        now: float,
        seconds: float,
    ) -> list[_Heard]:
        return [
            heard
            for heard in self._reports.get(zone, {}).values()
            if now - heard.received_at <= seconds
        ]


def _get_size(heard: _Heard) -> tuple[int, float]:
    return len(heard.report.members), heard.received_at


def _get_heard_at(heard: _Heard) -> float:
    return heard.received_at
