"""A simulated fleet whose VMs exchange heartbeats and reports directly."""

import random
from typing import NamedTuple

from tests.fleetdata import make_bounds, make_member
from toucanhall.edge.peer_exchange import (
    FIRST_HEARTBEAT_DELAY_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    get_heartbeat_interval_seconds,
)
from toucanhall.edge.zone_reporter import ZoneReporter
from toucanhall.fleet.membership import Heartbeat, Members
from toucanhall.fleet.revisions import Revisions
from toucanhall.fleet.selection import pick_serving
from toucanhall.limits.quota import RESERVE_VM_WEIGHT, Quotas, UsageReport

__all__ = ('SimulatedFleet', 'compute_max_admitted', 'compute_window_bound')

STEP_SECONDS = 0.01
WINDOW_SECONDS = 5.0
OVERAGE_FRACTION = 0.1
SLACK_REQUESTS = 20


def compute_window_bound(team):
    """Return the requests per window that the platform's pages allow."""
    return (team.rate * WINDOW_SECONDS + team.burst) * (
        1 + OVERAGE_FRACTION
    ) + SLACK_REQUESTS


def compute_max_admitted(admitted_at):
    """Return the most admissions in any window, from their times in order."""
    most = start = 0
    for end, at in enumerate(admitted_at):
        while at - admitted_at[start] >= WINDOW_SECONDS:
            start += 1
        most = max(most, end - start + 1)
    return most


class SimulatedVm:
    """One VM: what it knows of the others, and its share of the limits."""

    def __init__(self, *, member, zones, now, send):
        self.member = member
        self.started_at = int(now * 1000)
        self.now = now
        self.began_at = now
        self.next_heartbeat_at = now + FIRST_HEARTBEAT_DELAY_SECONDS
        self.usage = {}
        self.quotas = Quotas(
            bounds=make_bounds(), beat=HEARTBEAT_INTERVAL_SECONDS, now=now
        )
        self.members = Members(own=member.contact, zones=zones, now=now)
        self.send = send
        self.zone_reporter = ZoneReporter(
            members=self.members, send=send, clock=lambda: self.now
        )

    def make_heartbeat(self):
        return Heartbeat(
            member=self.member,
            started_at=self.started_at,
            revisions=Revisions(),
            usage=self.usage,
        )

    def list_local_ips(self):
        return [
            found.ip
            for found in self.members.known_vms.values()
            if found.zone == self.member.zone and found.vm != self.member.vm
        ]

    def beat(self, team, now):
        """Send a heartbeat, and a report if it is due."""
        self.now = now
        self.next_heartbeat_at = now + get_heartbeat_interval_seconds(
            now - self.began_at
        )
        self.usage = self.quotas.collect_usage(now)
        heartbeat = self.make_heartbeat()
        self.send(Message(heartbeat), self.list_local_ips())
        self.zone_reporter.beat(heartbeat)
        self.refill(team, now)

    def refill(self, team, now):
        zone = (self.member, *self.members.list_local(now))
        serving = {found.vm for found in pick_serving(zone)}
        is_serving = self.member.vm in serving
        self.quotas.refill(
            [team],
            UsageReport(
                self.usage, vms=1.0 if is_serving else RESERVE_VM_WEIGHT
            ),
            [
                *self.members.list_local_usage_reports(now, serving),
                *self.members.list_remote_usage_reports(now),
            ],
            now,
        )

    def receive(self, message, now):
        """Receive a message."""
        self.now = now
        heartbeat = message.heartbeat
        if heartbeat is not None:
            self.receive_heartbeat(heartbeat, now)
        report = message.report
        if report is None or report.zone == self.member.zone:
            return
        if self.members.receive_report(report, now) and not message.is_relayed:
            relayed = Message(report=report, is_relayed=True)
            self.send(relayed, self.list_local_ips())

    def receive_heartbeat(self, heartbeat, now):
        if heartbeat.member.zone == self.member.zone:
            if self.members.receive(heartbeat, now):
                self.send(
                    Message(self.make_heartbeat()), (heartbeat.member.ip,)
                )
        if heartbeat.is_requesting_vms:
            known = tuple(self.members.known_vms.values())
            answer = self.make_heartbeat()._replace(known_vms=known)
            self.send(Message(answer), (heartbeat.member.ip,))
            self.add_contacts((heartbeat.member.contact,))
        self.add_contacts(heartbeat.known_vms)

    def add_contacts(self, contacts):
        new = [
            found
            for found in contacts
            if found.vm != self.member.vm and self.members.add_known_vm(found)
        ]
        for found in new:
            if found.zone == self.member.zone:
                self.send(Message(self.make_heartbeat()), (found.ip,))


class Message(NamedTuple):
    """A message between VMs, with the fields of the one on the network."""

    heartbeat: Heartbeat | None = None
    report: object = None
    is_relayed: bool = False


class SimulatedFleet:
    """VMs of several zones and the callers of one team.

    VMs may be killed, paused or, zone by zone, cut off.
    """

    def __init__(self, *, zones, vms, team, get_rate, seed):
        """Start long ago; `get_rate` returns the requests per second."""
        self.rng = random.Random(seed)
        self.team = team
        self.get_rate = get_rate
        self.zones = tuple(f'zone-{index}' for index in range(zones))
        self.now = 0.0
        self.isolated_zones = frozenset()
        self.paused_ips = frozenset()
        self.admitted_at = []
        self.requested_at = []
        self.in_transit = []
        self.vms = {}
        self.entries = [
            make_member(
                f'vm-{zone}-{index}',
                zone=f'zone-{zone}',
                ip=f'127.{zone}.0.{index}',
                capacity=600.0,
            )
            for zone in range(zones)
            for index in range(vms)
        ]
        self.zone_by_ip = {found.ip: found.zone for found in self.entries}
        self.seeds = [f'127.{zone}.0.0' for zone in range(zones)]
        for found in self.entries:
            vm = self.start(found, -100.0)
            for other in self.entries:
                vm.members.add_known_vm(other.contact)
            vm.members.known_vms.pop(found.vm)
            vm.next_heartbeat_at = self.rng.uniform(
                0, HEARTBEAT_INTERVAL_SECONDS
            )

    def start(self, member, now):
        vm = SimulatedVm(
            member=member,
            zones=self.zones,
            now=now,
            send=lambda message, ips: self.send(message, ips),
        )
        self.vms[member.ip] = vm
        return vm

    def send(self, message, ips):
        sender = (
            message.heartbeat.member if message.heartbeat else message.report
        )
        self.in_transit.extend(
            (self.now + 0.02, ip, message)
            for ip in ips
            if not self.is_cut_off(sender.zone, ip)
        )

    def is_cut_off(self, zone, ip):
        """Whether a VM of another zone can't receive messages from a zone."""
        other = self.zone_by_ip[ip]
        return other != zone and bool(self.isolated_zones & {zone, other})

    def pick_ips(self, count):
        """Return the addresses of some VMs."""
        return self.rng.sample([found.ip for found in self.entries], count)

    def kill(self, ips):
        for ip in ips:
            self.vms.pop(ip, None)

    def restart(self, ips):
        for member in self.entries:
            if member.ip not in ips:
                continue
            vm = self.start(member, self.now)
            vm.quotas.refill(
                [self.team],
                UsageReport({}),
                [
                    *vm.members.list_local_usage_reports(self.now, set()),
                    *vm.members.list_remote_usage_reports(self.now),
                ],
                self.now,
            )
            asking = vm.make_heartbeat()._replace(is_requesting_vms=True)
            self.send(
                Message(asking), [ip for ip in self.seeds if ip != member.ip]
            )

    def run_until(self, end):
        while self.now < end:
            self.deliver()
            for vm in list(self.vms.values()):
                is_running = vm.member.ip not in self.paused_ips
                if is_running and self.now >= vm.next_heartbeat_at:
                    vm.beat(self.team, self.now)
            self.send_requests()
            self.now += STEP_SECONDS

    def deliver(self):
        due = [found for found in self.in_transit if found[0] <= self.now]
        self.in_transit = [
            found for found in self.in_transit if found[0] > self.now
        ]
        for _at, ip, message in due:
            vm = self.vms.get(ip)
            if vm:
                vm.receive(message, self.now)

    def send_requests(self):
        expected = self.get_rate(self.now) * STEP_SECONDS
        count = int(expected + self.rng.random())
        vms = self.list_serving()
        for _request in range(count):
            vm = self.rng.choice(vms)
            self.requested_at.append(self.now)
            if not vm.quotas.admit(self.team, self.now):
                self.admitted_at.append(self.now)

    def list_serving(self):
        """Return the VMs that the directory names: the first four of a zone."""
        by_zone = {}
        for ip, vm in sorted(self.vms.items()):
            by_zone.setdefault(vm.member.zone, []).append(vm)
        named = [vm for vms in by_zone.values() for vm in vms[:4]]
        running = [vm for vm in named if vm.member.ip not in self.paused_ips]
        return running or named

    def compute_max_admitted(self):
        """Return the most admissions in any window."""
        return compute_max_admitted(self.admitted_at)

    def compute_refused_fraction(self, since):
        """Return the fraction of requests that were refused since a time."""
        requests = sum(at >= since for at in self.requested_at)
        return 1 - sum(at >= since for at in self.admitted_at) / requests
