"""A simulated fleet that sends requests to targets which name limits."""

import random
from collections import Counter, defaultdict
from typing import NamedTuple

from tests.fleetdata import (
    make_bounds,
    make_environment,
    make_limits,
    make_member,
    make_target,
)
from toucanhall.edge.limit_exchange import LimitExchange
from toucanhall.edge.peer_exchange import (
    FIRST_HEARTBEAT_DELAY_SECONDS,
    get_heartbeat_interval_seconds,
)
from toucanhall.edge.state_updater import StateUpdater
from toucanhall.edge.zone_reporter import ZoneReporter
from toucanhall.fleet.gossip import Message
from toucanhall.fleet.membership import Heartbeat, Members
from toucanhall.fleet.revisions import Revisions
from toucanhall.fleet.tables import FleetTables
from toucanhall.limits.quota import Quotas
from toucanhall.limits.retry_budget import RetryBudget
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.registry import TargetQuery, TargetRegistry
from toucanhall.platform.headers import TargetHeaders

__all__ = ('LimitedFleet', 'SilentJournal', 'compute_allowed')

STEP_SECONDS = 0.01
ANSWER_SECONDS = 0.15
LOCAL_DELAY_SECONDS = 0.002
REMOTE_DELAY_SECONDS = 0.025
# The bound of the deployments.
WINDOW_SECONDS = 4.0
SETTLING_SECONDS = 3.0
PASSED_ON_SECONDS = 0.5
RATIO = 1.5
SLACK = 5
# A fault of a VM excuses it for so long after its end.
EXCUSED_SECONDS = 3.0


def compute_allowed(limit):
    """Return the requests that a target's limit allows in a window."""
    return RATIO * limit * WINDOW_SECONDS + SLACK


class Arrival(NamedTuple):
    """A request at a target."""

    at: float
    ip: str
    is_counted: bool


class SilentJournal:
    """A journal that keeps no line."""

    def write(self, event, **fields):
        """Drop a line."""


class LimitedVm:
    """One VM: the others as it knows them, and its targets."""

    def __init__(self, *, member, regions, targets, fleet):
        """Start at the time of the fleet."""
        self.member = member
        self.fleet = fleet
        self.began_at = fleet.now
        self.next_heartbeat_at = fleet.now + FIRST_HEARTBEAT_DELAY_SECONDS
        clock = fleet.read_clock
        self.members = Members(own=member.contact, zones=regions, now=fleet.now)
        limits = make_limits(regions, clock)
        self.registry = TargetRegistry(
            location=Location(member.zone, regions[member.zone]),
            regions=regions,
            limits=limits,
        )
        self.registry.replace_targets(targets, fleet.now - 100)
        self.limits = LimitExchange(
            limits=limits, zone=member.zone, journal=SilentJournal()
        )
        self.updater = StateUpdater(
            environment=make_environment(
                vm=member.vm, zone=member.zone, regions=regions
            ),
            fleet_tables=FleetTables(on_change=lambda _table: None),
            registry=self.registry,
            quotas=Quotas(bounds=make_bounds(), beat=0.8, now=fleet.now),
            retries=RetryBudget(bounds=make_bounds()),
            journal=SilentJournal(),
            clock=clock,
        )
        self.zone_reporter = ZoneReporter(
            members=self.members, send=self.send, clock=clock
        )

    def send(self, message, ips):
        """Send a message to the other VMs."""
        self.fleet.send(self.member, message, ips)

    def beat(self):
        """Send a heartbeat and reports; apply those of others."""
        now = self.fleet.now
        self.next_heartbeat_at = now + get_heartbeat_interval_seconds(
            now - self.began_at
        )
        heartbeat = self.make_heartbeat()
        self.send(Message(heartbeat), self.list_local_ips())
        self.send_limits(self.list_local_ips())
        self.zone_reporter.beat(heartbeat, self.limits.report_local())
        zone = (self.member, *self.members.list_local(now))
        self.updater.update_from_reports(self.members, zone, {})

    def receive(self, message):
        """Receive a message of another VM."""
        now = self.fleet.now
        heartbeat, report = message.heartbeat, message.report
        if heartbeat is not None:
            self.members.receive(heartbeat, now)
            if heartbeat.is_requesting_vms:
                self.send_limits((heartbeat.member.ip,))
        if report is not None:
            is_new = self.members.receive_report(report, now)
            if is_new and not message.is_relayed:
                self.send(
                    message._replace(is_relayed=True), self.list_local_ips()
                )
        if message.limits is not None:
            self.limits.receive(message.limits)
            is_remote = message.limits.zone != self.member.zone
            if is_remote and not message.is_relayed:
                self.send(
                    message._replace(is_relayed=True), self.list_local_ips()
                )

    def send_limits(self, ips):
        limits = self.limits.report_own()
        if limits is not None:
            self.send(Message(limits=limits), ips)

    def make_heartbeat(self, *, is_requesting_vms=False):
        return Heartbeat(
            member=self.member,
            started_at=int(self.began_at * 1000),
            revisions=Revisions(),
            usage={},
            is_requesting_vms=is_requesting_vms,
        )

    def list_local_ips(self):
        return [
            found.ip
            for found in self.members.known_vms.values()
            if found.zone == self.member.zone
        ]


class LimitedFleet:
    """VMs of several zones, targets, and callers in each zone with load.

    VMs may be killed, paused, or cut off from those of other zones.
    """

    def __init__(
        self,
        *,
        vms_by_zone,
        regions,
        targets_per_zone=3,
        rate=700.0,
        loss=0.01,
        seed=0,
    ):
        """Start all VMs long enough ago to know each other."""
        self.rng = random.Random(seed)
        self.regions = regions
        self.rate = rate
        self.loss = loss
        self.now = 100.0
        self.targets = {
            f't-{zone}-{index}': make_target(f't-{zone}-{index}', zone=zone)
            for zone in vms_by_zone
            for index in range(targets_per_zone)
        }
        # The limit that each target names, and since when it names any.
        self.limits = {}
        self.named_at = {}
        self.isolated_zones = frozenset()
        self.paused = set()
        self.excused_until = {}
        self.told_at = defaultdict(dict)
        self.arrivals = defaultdict(list)
        self.refused_at = []
        self.message_bytes = 0
        self.in_transit = []
        self.answers = []
        self.callers_by_zone = dict.fromkeys(vms_by_zone, 1.0)
        load = rate / sum(vms_by_zone.values())
        self.entries = [
            make_member(
                f'vm-{zone}-{index}',
                zone=zone,
                ip=f'127.{number}.0.{index}',
                capacity=load * 2,
                load=load,
            )
            for number, (zone, count) in enumerate(vms_by_zone.items())
            for index in range(count)
        ]
        self.zone_by_ip = {found.ip: found.zone for found in self.entries}
        self.vms = {}
        for member in self.entries:
            self.start(member)
        for vm in self.vms.values():
            vm.next_heartbeat_at += self.rng.uniform(0, 0.8)
        self.run(8.0)
        self.arrivals.clear()

    def read_clock(self):
        """Return the simulated time."""
        return self.now

    def start(self, member):
        """Start a VM that has read the entries of all VMs."""
        vm = LimitedVm(
            member=member,
            regions=self.regions,
            targets=self.targets,
            fleet=self,
        )
        for other in self.entries:
            if other.vm != member.vm:
                vm.members.add_known_vm(other.contact)
        vm.members.mark_listing_complete()
        self.vms[member.ip] = vm
        asking = vm.make_heartbeat(is_requesting_vms=True)
        vm.send(Message(asking), [found.ip for found in self.entries[:3]])
        return vm

    def set_load(self):
        """Divide the load among the VMs of zones with callers."""
        vms = [
            vm
            for vm in self.vms.values()
            if self.callers_by_zone[vm.member.zone]
        ]
        for vm in self.vms.values():
            vm.member = vm.member._replace(load=0.0)
        for vm in vms:
            vm.member = vm.member._replace(load=self.rate / len(vms))

    def name_limit(self, target, limit):
        """Let a target name a limit from now on; None to end it."""
        if limit is None:
            self.named_at.pop(target, None)
        else:
            self.named_at.setdefault(target, self.now)
        self.limits[target] = limit

    def restart(self, ips, seconds=1.0):
        """Kill VMs and start them again after some seconds."""
        for ip in ips:
            self.vms.pop(ip, None)
            self.told_at[ip].clear()
            self.excuse((ip,), seconds)
        self.run(seconds)
        for member in self.entries:
            if member.ip in ips and member.ip not in self.vms:
                self.start(member)

    def excuse(self, ips, seconds):
        for ip in ips:
            self.excused_until[ip] = self.now + seconds + EXCUSED_SECONDS

    def send(self, sender, message, ips):
        """Put a message on its way, unless it is lost."""
        for ip in ips:
            zone = self.zone_by_ip[ip]
            is_local = zone == sender.zone
            if ip == sender.ip or self.rng.random() < self.loss:
                continue
            if not is_local and self.isolated_zones & {zone, sender.zone}:
                continue
            if message.limits is not None:
                self.message_bytes += 20 + 45 * len(message.limits.reports)
            delay = LOCAL_DELAY_SECONDS if is_local else REMOTE_DELAY_SECONDS
            self.in_transit.append((self.now + delay, ip, message))

    def run(self, seconds):
        """Advance the time."""
        until = self.now + seconds
        while self.now < until:
            self.deliver()
            for ip, vm in list(self.vms.items()):
                if ip not in self.paused and self.now >= vm.next_heartbeat_at:
                    vm.beat()
            self.send_requests()
            self.now += STEP_SECONDS

    def deliver(self):
        due = [found for found in self.in_transit if found[0] <= self.now]
        self.in_transit = [
            found for found in self.in_transit if found[0] > self.now
        ]
        for _at, ip, message in due:
            vm = self.vms.get(ip)
            if vm and ip not in self.paused:
                vm.receive(message)
        answered = [found for found in self.answers if found[0] <= self.now]
        self.answers = [found for found in self.answers if found[0] > self.now]
        for _at, vm, target, sent_at in answered:
            self.receive_answer(vm, target, sent_at)

    def receive_answer(self, vm, target, sent_at):
        if self.vms.get(vm.member.ip) is not vm:
            return
        limit = self.limits.get(target)
        headers = TargetHeaders(
            is_not_run=False,
            is_unproven_refusal=False,
            is_misdirected=False,
            has_stamp=True,
            pending_requests=None,
            limit_per_second=limit,
            tells_limit=True,
        )
        vm.limits.record_answer(self.targets[target], headers, sent_at)
        if limit is not None:
            self.told_at[vm.member.ip].setdefault(target, self.now)

    def send_requests(self):
        expected = self.rate * STEP_SECONDS
        serving = self.list_serving()
        if not serving:
            return
        for _request in range(int(expected + self.rng.random())):
            self.send_request(self.rng.choice(serving))

    def list_serving(self):
        """Return the running VMs of zones with callers."""
        return [
            vm
            for ip, vm in self.vms.items()
            if ip not in self.paused and self.callers_by_zone[vm.member.zone]
        ]

    def send_request(self, vm):
        key = f'object-{self.rng.randrange(400)}'
        query = TargetQuery('guide', key, frozenset(), frozenset())
        candidates = vm.registry.list_candidates(query, self.now, 1)
        if not candidates:
            self.refused_at.append(self.now)
            return
        target = candidates[0].target
        assert vm.registry.try_acquire(target, 0.0, self.now)
        ip = vm.member.ip
        told_at = self.told_at[ip].get(target.id, self.now)
        self.arrivals[target.id].append(
            Arrival(
                self.now,
                ip,
                told_at <= self.now - PASSED_ON_SECONDS
                and self.excused_until.get(ip, 0.0) < self.now,
            )
        )
        self.answers.append(
            (self.now + ANSWER_SECONDS, vm, target.id, self.now)
        )

    def compute_max_counted(self, target, named_at):
        """Return the most counted requests in a window of a target's limit."""
        times = [
            found.at for found in self.arrivals[target] if found.is_counted
        ]
        most = start = 0
        for end, at in enumerate(times):
            while at - times[start] >= WINDOW_SECONDS:
                start += 1
            if at >= named_at + SETTLING_SECONDS:
                most = max(most, end - start + 1)
        return most

    def compute_rate(self, target, seconds):
        """Return the requests per second of the last seconds, from all VMs."""
        since = self.now - seconds
        found = self.arrivals[target]
        return sum(arrival.at > since for arrival in found) / seconds

    def count_senders(self, target, seconds):
        """Return how many VMs sent requests in the last seconds."""
        since = self.now - seconds
        return len(
            Counter(
                found.ip for found in self.arrivals[target] if found.at > since
            )
        )
