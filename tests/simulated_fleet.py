"""A fleet whose VMs exchange heartbeats and reports without a network."""

import random
from typing import NamedTuple

from tests.fleetdata import make_bounds, make_member
from toucanhall.edge.peer_exchange import (
    FIRST_HEARTBEAT_DELAY_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    get_heartbeat_interval_seconds,
)
from toucanhall.edge.zone_reporter import ZoneReporter
from toucanhall.fleet.tables import Revisions
from toucanhall.fleet.membership import Heartbeat, Members
from toucanhall.fleet.selection import pick_serving
from toucanhall.limits.quota import RESERVE_VM_WEIGHT, Quotas, UsageReport

__all__ = ('SimulatedFleet', 'compute_window_bound', 'compute_max_admitted')

STEP = 0.01
WINDOW = 5.0
OVERAGE = 0.1
SLACK = 20


def compute_window_bound(team):
    """Return the requests of a window that the platform's pages allow."""
    return (team.rate * WINDOW + team.burst) * (1 + OVERAGE) + SLACK


def compute_max_admitted(admitted):
    """Return the most admissions in any window, of their times in order."""
    most = start = 0
    for end, at in enumerate(admitted):
        while at - admitted[start] >= WINDOW:
            start += 1
        most = max(most, end - start + 1)
    return most


class SimulatedVm:
    """One VM: what it knows of the others, and its part of the limits."""

    def __init__(self, *, member, zones, now, send):
        self.member = member
        self.started_at = int(now * 1000)
        self.now = now
        self.began_at = now
        self.beat_at = now + FIRST_HEARTBEAT_DELAY_SECONDS
        self.usage = {}
        self.quotas = Quotas(
            bounds=make_bounds(), beat=HEARTBEAT_INTERVAL_SECONDS, now=now
        )
        self.members = Members(own=member.contact, zones=zones, now=now)
        self.send = send
        self.speaker = ZoneReporter(
            members=self.members, send=send, clock=lambda: self.now
        )

    def make_heartbeat(self):
        return Heartbeat(
            member=self.member,
            started_at=self.started_at,
            revisions=Revisions(),
            usage=self.usage,
        )

    def list_near_ips(self):
        return [
            found.ip
            for found in self.members.known_vms.values()
            if found.zone == self.member.zone and found.vm != self.member.vm
        ]

    def beat(self, team, now):
        self.now = now
        self.beat_at = now + get_heartbeat_interval_seconds(now - self.began_at)
        self.usage = self.quotas.collect_usage(now)
        heartbeat = self.make_heartbeat()
        self.send(Message(heartbeat), self.list_near_ips())
        self.speaker.beat(heartbeat)
        self.refill(team, now)

    def refill(self, team, now):
        zone = (self.member, *self.members.list_local(now))
        near = {found.vm for found in pick_serving(zone)}
        is_serving = self.member.vm in near
        self.quotas.refill(
            [team],
            UsageReport(
                self.usage, vms=1.0 if is_serving else RESERVE_VM_WEIGHT
            ),
            [
                *self.members.list_local_usage_reports(now, near),
                *self.members.list_remote_usage_reports(now),
            ],
            now,
        )

    def receive(self, message, now):
        self.now = now
        heartbeat = message.heartbeat
        if heartbeat is not None:
            self.hear_heartbeat(heartbeat, now)
        report = message.report
        if report is None or report.zone == self.member.zone:
            return
        if self.members.receive_report(report, now) and not message.is_relayed:
            relayed = Message(report=report, is_relayed=True)
            self.send(relayed, self.list_near_ips())

    def hear_heartbeat(self, heartbeat, now):
        if heartbeat.member.zone == self.member.zone:
            if self.members.receive(heartbeat, now):
                self.send(
                    Message(self.make_heartbeat()), (heartbeat.member.ip,)
                )
        if heartbeat.is_requesting_vms:
            known = tuple(self.members.known_vms.values())
            answer = self.make_heartbeat()._replace(known_vms=known)
            self.send(Message(answer), (heartbeat.member.ip,))
            self.meet((heartbeat.member.contact,))
        self.meet(heartbeat.known_vms)

    def meet(self, introductions):
        new = [
            found
            for found in introductions
            if found.vm != self.member.vm and self.members.add_known_vm(found)
        ]
        for found in new:
            if found.zone == self.member.zone:
                self.send(Message(self.make_heartbeat()), (found.ip,))


class Message(NamedTuple):
    """As on the network."""

    heartbeat: Heartbeat | None = None
    report: object = None
    is_relayed: bool = False


class SimulatedFleet:
    """VMs of several zones, a team's callers, and VMs that are killed."""

    def __init__(self, *, zones, vms, team, find_rate, seed):
        """Let `find_rate` tell the team's requests a second at a time."""
        self.draw = random.Random(seed)
        self.team = team
        self.find_rate = find_rate
        self.zones = tuple(f'zone-{index}' for index in range(zones))
        self.now = 0.0
        self.cut = frozenset()
        self.paused = frozenset()
        self.admitted = []
        self.asked = []
        self.posted = []
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
            vm.beat_at = self.draw.uniform(0, HEARTBEAT_INTERVAL_SECONDS)

    def start(self, member, now):
        vm = SimulatedVm(
            member=member,
            zones=self.zones,
            now=now,
            send=lambda message, ips: self.post(message, ips),
        )
        self.vms[member.ip] = vm
        return vm

    def post(self, message, ips):
        told = message.heartbeat.member if message.heartbeat else message.report
        self.posted.extend(
            (self.now + 0.02, ip, message)
            for ip in ips
            if not self.is_cut(told.zone, ip)
        )

    def is_cut(self, zone, ip):
        """Whether zones that are cut off lie between a zone and a VM."""
        other = self.zone_by_ip[ip]
        return other != zone and bool(self.cut & {zone, other})

    def choose(self, count):
        """Return the addresses of some VMs."""
        return self.draw.sample([found.ip for found in self.entries], count)

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
            self.post(
                Message(asking), [ip for ip in self.seeds if ip != member.ip]
            )

    def play(self, until):
        while self.now < until:
            self.deliver()
            for vm in list(self.vms.values()):
                is_running = vm.member.ip not in self.paused
                if is_running and self.now >= vm.beat_at:
                    vm.beat(self.team, self.now)
            self.call()
            self.now += STEP

    def deliver(self):
        due = [found for found in self.posted if found[0] <= self.now]
        self.posted = [found for found in self.posted if found[0] > self.now]
        for _at, ip, message in due:
            vm = self.vms.get(ip)
            if vm:
                vm.receive(message, self.now)

    def call(self):
        expected = self.find_rate(self.now) * STEP
        calls = int(expected + self.draw.random())
        vms = self.list_serving()
        for _call in range(calls):
            vm = self.draw.choice(vms)
            self.asked.append(self.now)
            if not vm.quotas.admit(self.team, self.now):
                self.admitted.append(self.now)

    def list_serving(self):
        """Return the VMs that the directory names: the first four of a zone."""
        found = {}
        for ip, vm in sorted(self.vms.items()):
            found.setdefault(vm.member.zone, []).append(vm)
        named = [vm for vms in found.values() for vm in vms[:4]]
        running = [vm for vm in named if vm.member.ip not in self.paused]
        return running or named

    def compute_max_admitted(self):
        """Return the most admissions in any window."""
        return compute_max_admitted(self.admitted)

    def compute_refused_fraction(self, since):
        """Return the share of requests that were refused since a time."""
        asked = sum(at >= since for at in self.asked)
        return 1 - sum(at >= since for at in self.admitted) / asked
