"""The other VMs: which are alive, and what they last reported."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from itertools import chain
from typing import Final, NamedTuple

from toucanhall.fleet.knowledge import Revisions
from toucanhall.fleet.model import Introduction
from toucanhall.fleet.reports import Member, ZoneReport
from toucanhall.fleet.selection import LEAST_SERVING
from toucanhall.limits.quota import RESERVE_VMS, Told, Usage, make_unheard

__all__ = (
    'ALIVE_SECONDS',
    'GONE_SECONDS',
    'LATE_SECONDS',
    'REPORT_LATE_SECONDS',
    'REPORT_SECONDS',
    'Heartbeat',
    'Members',
    'Peer',
)

# Two heartbeats may be lost before a VM counts as dead.
ALIVE_SECONDS: Final = 2.6
# A silent VM may still admit requests of teams: its share of their limits is
# given to others only after this time.
FORGET_SECONDS: Final = 20.0
# A VM that is silent for longer gets no more messages until the store or
# another VM names it again: its replacement takes some seconds.
GONE_SECONDS: Final = 60.0
# Heartbeats come each 0.8 s: a VM that missed one and is silent for longer may
# be cut off and admit requests of which the others get no report.
LATE_SECONDS: Final = 1.8
# Each of the two delegates of a zone reports each 1.6 s, to the two delegates
# of another zone in turn: after this time more than one report was lost.
REPORT_LATE_SECONDS: Final = 2.6
# The VMs of a report count as alive for so long after it. Together with the
# time from its last heartbeat to the report, a dead VM is named to clients for
# less than six seconds, the strictest bound of the deployments.
REPORT_SECONDS: Final = 4.0


class Heartbeat(NamedTuple):
    """What a VM sends to the others of its zone, and at a start to its seeds.

    `started_at` is the time of its start (Unix milliseconds), `usage` holds
    the requests of each team. `is_asking` asks for an answer with
    `introduced`, the VMs that the other one knows.
    """

    member: Member
    started_at: int
    revisions: Revisions
    usage: Mapping[str, Usage]
    is_asking: bool = False
    introduced: tuple[Introduction, ...] = ()


class Peer(NamedTuple):
    """The last heartbeat of a VM and when it was received."""

    heartbeat: Heartbeat
    heard_at: float


class _ReceivedReport(NamedTuple):
    report: ZoneReport
    heard_at: float


class Members:
    """The other VMs: those of the own zone by name, the others by zone."""

    def __init__(
        self,
        *,
        own: Introduction,
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
        self.introduced: dict[str, Introduction] = {}
        self._is_listing_complete = False
        # The last report of each delegate, by zone.
        self._reports: dict[str, dict[str, _ReceivedReport]] = {}

    def hear(self, heartbeat: Heartbeat, now: float) -> bool:
        """Update the state of a VM of the own zone from its heartbeat.

        Returns whether the VM is new, started again or counted as dead.
        """
        vm = heartbeat.member.vm
        known = self.peers.get(vm)
        if known and heartbeat.started_at < known.heartbeat.started_at:
            return False
        self.peers[vm] = Peer(heartbeat, now)
        self.introduce(heartbeat.member.introduction)
        return (
            known is None
            or known.heartbeat.started_at != heartbeat.started_at
            or now - known.heard_at > ALIVE_SECONDS
        )

    def hear_report(self, report: ZoneReport, now: float) -> bool:
        """Keep a report of another zone; return whether it is new."""
        reports = self._reports.setdefault(report.zone, {})
        known = reports.get(report.speaker)
        if known and known.report.stamp >= report.stamp:
            return False
        reports[report.speaker] = _ReceivedReport(report, now)
        for found in report.members:
            self.introduce(found.introduction)
        return True

    def introduce(self, location: Introduction) -> bool:
        """Record the zone and address of a VM; return whether they are new."""
        is_new = self.introduced.get(location.vm) != location
        self.introduced[location.vm] = location
        return is_new

    def note_listing(self) -> None:
        """Record that the entries of all VMs were read since the start."""
        self._is_listing_complete = True

    def count_known(self) -> Counter[str]:
        """Return how many VMs each zone has, this one included.

        It is empty until the entries of all VMs were read: a VM that has just
        started knows only a few others.
        """
        if not self._is_listing_complete:
            return Counter()
        zones = Counter(found.zone for found in self.introduced.values())
        zones[self._own.zone] += 1
        return zones

    def take_listing(self, listed: Sequence[Introduction]) -> None:
        """Drop VMs that are in no entry of the store, heartbeat or report."""
        self._zones = frozenset(found.zone for found in listed)
        names = {found.vm for found in listed}
        names.update(self.peers)
        for reports in self._reports.values():
            for received in reports.values():
                names.update(found.vm for found in received.report.members)
        self.introduced = {
            vm: found for vm, found in self.introduced.items() if vm in names
        }

    def excuse(self, seconds: float) -> None:
        """Don't count a pause of this process as silence of the others."""
        self.peers = {
            vm: peer._replace(heard_at=peer.heard_at + seconds)
            for vm, peer in self.peers.items()
        }
        self._reports = {
            zone: {
                vm: received._replace(heard_at=received.heard_at + seconds)
                for vm, received in reports.items()
            }
            for zone, reports in self._reports.items()
        }

    def drop_gone(self, now: float) -> list[Introduction]:
        """Drop VMs and delegates that were silent for `GONE_SECONDS`.

        Returns those of the own zone.
        """
        self._reports = {
            zone: {
                vm: received
                for vm, received in reports.items()
                if now - received.heard_at <= GONE_SECONDS
            }
            for zone, reports in self._reports.items()
        }
        expired = [
            self.introduced[vm]
            for vm, peer in self.peers.items()
            if now - peer.heard_at > GONE_SECONDS and vm in self.introduced
        ]
        for found in expired:
            self.introduced.pop(found.vm)
            self.peers.pop(found.vm)
        return expired

    def list_near(self, now: float) -> list[Member]:
        """Return the VMs of the own zone that are alive."""
        return [
            peer.heartbeat.member
            for peer in self.peers.values()
            if now - peer.heard_at <= ALIVE_SECONDS
        ]

    def list_zone(self, zone: str, now: float) -> list[Member]:
        """Return the VMs of another zone that are in its recent reports."""
        found = {
            member.vm: member
            for received in self._list_recent(zone, now, REPORT_SECONDS)
            for member in received.report.members
        }
        return list(found.values())

    def list_alive(self, now: float) -> list[Member]:
        """Return the VMs of all zones that are alive."""
        remote = (self.list_zone(zone, now) for zone in self._reports)
        return [*self.list_near(now), *chain.from_iterable(remote)]

    def list_zones(self) -> list[str]:
        """Return the names of the other zones with known VMs."""
        zones = {found.zone for found in self.introduced.values()}
        return sorted(zones - {self._own.zone})

    def list_near_told(self, now: float, serving: set[str]) -> list[Told]:
        """Return the usage reports of the own zone, stale ones included.

        `serving` are the VMs that take requests. For some time after the
        start, VMs that should take requests and sent no heartbeat count too.
        """
        usage_reports = [
            Told(
                peer.heartbeat.usage,
                is_late=now - peer.heard_at > LATE_SECONDS,
                vms=1.0 if vm in serving else RESERVE_VMS,
            )
            for vm, peer in self.peers.items()
            if now - peer.heard_at <= FORGET_SECONDS
        ]
        without_report = sum(
            found.zone == self._own.zone
            for vm, found in self.introduced.items()
            if vm != self._own.vm and vm not in self.peers
        )
        missing = min(without_report, LEAST_SERVING - len(serving))
        if missing > 0 and self._has_just_started(now):
            usage_reports.append(make_unheard(missing))
        return usage_reports

    def list_far_told(self, now: float) -> list[Told]:
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
            known = self.count_known()
            usage_reports += [
                make_unheard(min(LEAST_SERVING, known[zone] or LEAST_SERVING))
                for zone in missing
            ]
        return usage_reports

    def _has_just_started(self, now: float) -> bool:
        return now - self._started_at < FORGET_SECONDS

    def _get_zone_usage(self, zone: str, now: float) -> Sequence[Told]:
        recent = self._list_recent(zone, now, REPORT_LATE_SECONDS)
        if recent:
            # A delegate that has just started knows few VMs of its zone.
            return max(recent, key=_get_size).report.told
        stale = self._list_recent(zone, now, FORGET_SECONDS)
        if not stale:
            return ()
        newest = max(stale, key=_get_receipt_time).report.told
        return [found._replace(is_late=True) for found in newest]

    def _list_recent(
        self,
        zone: str,
        now: float,
        seconds: float,
    ) -> list[_ReceivedReport]:
        return [
            received
            for received in self._reports.get(zone, {}).values()
            if now - received.heard_at <= seconds
        ]


def _get_size(received: _ReceivedReport) -> tuple[int, float]:
    return len(received.report.members), received.heard_at


def _get_receipt_time(received: _ReceivedReport) -> float:
    return received.heard_at
