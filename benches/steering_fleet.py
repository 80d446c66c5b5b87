"""Simulates entry VMs, targets and callers of a policy in virtual time."""

import heapq
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from typing import Any, Final, TypeAlias

from benches.steering_places import (
    TEAM_LOAD_FRACTIONS,
    Deployment,
    Service,
    make_catalogue,
)
from toucanhall.catalogue.model import Catalogue
from toucanhall.catalogue.model import Target as Entry
from toucanhall.shares.slots import Holding, Table, claim
from toucanhall.steering import AdvisedVm, EntryVm, advise

OnDone: TypeAlias = Callable[[bool], None]

DEADLINE_SECONDS: Final = 10.0
_SUSPICION_SECONDS: Final = 3.5
_COLD_REQUESTS: Final = 30
_COLD_SLOWDOWN_FACTOR: Final = 4
_ERROR_ANSWER_SECONDS: Final = 0.001
_SAME_ZONE_LATENCY_SECONDS: Final = 0.0002


class Clock:
    """A virtual clock with its scheduled calls."""

    def __init__(self) -> None:
        """Start at 0 without scheduled calls."""
        self.now = 0.0
        self._due: list[Any] = []
        self._count = 0

    def call_later(
        self, delay: float, call: Callable[..., None], *args: Any
    ) -> None:
        """Call a function after a delay in seconds."""
        self._count += 1
        heapq.heappush(self._due, (self.now + delay, self._count, call, args))

    def run(self, until: float) -> None:
        """Advance to a time and make all calls due until then."""
        while self._due and self._due[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._due)
            call(*args)
        self.now = until


class Request:
    """A caller's request; `work_seconds` is its duration on a warm target."""

    def __init__(
        self,
        *,
        number: int,
        team: str,
        zone: str,
        sent_at: float,
        work_seconds: float,
        service: Service,
    ) -> None:
        """Create an unanswered request."""
        self.number = number
        self.team = team
        self.service = service.name
        self.answer_bytes = service.answer_bytes
        self.zone = zone
        self.sent_at = sent_at
        self.work_seconds = work_seconds
        self.is_done = False


class Target:
    """A target with slots and a queue; `mode` selects its fault."""

    def __init__(
        self,
        *,
        entry: Entry,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start idle and warm."""
        self.entry = entry
        self.clock = clock
        self.rng = rng
        self.mode = 'well'
        self.cold_requests = 0
        self.running = 0
        self.queue: deque[Any] = deque()
        self.last_finished_at = 0.0
        self.load_before_event = 0.0

    def accept(self, request: Request, on_done: OnDone) -> None:
        """Run a request, queue it, or reject it when the queue is full."""
        if self.mode == 'dead':
            return
        if self.mode == 'error':
            self.clock.call_later(_ERROR_ANSWER_SECONDS, on_done, False)
        elif self.mode == 'silent' and not self.rng.randrange(3):
            return
        elif self.running < self.entry.slots:
            self._start(request, on_done)
        elif len(self.queue) < self.entry.connections:
            self.queue.append((request, on_done))
        else:
            on_done(False)

    def _start(self, request: Request, on_done: OnDone) -> None:
        self.running += 1
        work_seconds = request.work_seconds
        if self.cold_requests or self.mode == 'slow':
            work_seconds *= _COLD_SLOWDOWN_FACTOR
            self.cold_requests = max(0, self.cold_requests - 1)
        self.clock.call_later(work_seconds, self._end, on_done)

    def _end(self, on_done: OnDone) -> None:
        self.running -= 1
        self.last_finished_at = self.clock.now
        if self.mode == 'dead':
            return
        if self.queue:
            self._start(*self.queue.popleft())
        on_done(True)


class Vm:
    """An entry VM: its lifetime, its catalogue and its policy."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        catalogue: Catalogue,
        started_at: float,
    ) -> None:
        """Create a running VM without a policy."""
        self.name = name
        self.zone = zone
        self.catalogue = catalogue
        self.started_at = started_at
        self.stopped_at: float | None = None
        self.is_leaving = False
        self.policy: Any = None
        self.carried: dict[int, Callable[..., None]] = {}

    def is_considered_alive(self, now: float) -> bool:
        """Return whether other VMs consider this VM alive."""
        if self.is_leaving or now < self.started_at + 1:
            return not self.started_at and not self.is_leaving
        return (
            self.stopped_at is None
            or now - self.stopped_at < _SUSPICION_SECONDS
        )


class Fleet:
    """A deployment that is simulated under one policy and one scenario."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        seed: int,
        load: float,
    ) -> None:
        """Create VMs and targets; the caller sets `make_policy`."""
        self.deployment = deployment
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.catalogue = make_catalogue(deployment)
        self.load = load
        self.targets = {
            name: Target(entry=entry, clock=self.clock, rng=self.rng)
            for name, entry in self.catalogue.targets.items()
        }
        zones = list(self.catalogue.zones)
        self.vms = {
            f'vm-{number}': Vm(
                name=f'vm-{number}',
                zone=zones[number % len(zones)],
                catalogue=self.catalogue,
                started_at=0,
            )
            for number in range(deployment.vm_count)
        }
        self.tables: dict[str, Table] = defaultdict(lambda: Table({}))
        self.partitioned_zones: frozenset[str] = frozenset()
        self.healed = -_SUSPICION_SECONDS
        self.team_load_factors: dict[str, float] = {}
        self.zone_load_factors: dict[tuple[str, str], float] = {}
        self.cached_advice: dict[tuple[str, str], tuple[float, Any]] = {}
        self.counts: Counter[str] = Counter()
        self.sent_by_team: Counter[str] = Counter()
        self.answered: list[tuple[float, str, float]] = []
        self.refused: list[tuple[float, str, str]] = []
        self.link_bytes: Counter[tuple[int, frozenset[str]]] = Counter()
        self.min_free_fractions: list[float] = []
        self.remote_running: Counter[str] = Counter()
        self.remote_running_samples: dict[str, list[int]] = defaultdict(list)
        self.report_mode = 'true'
        self.drained_zone: str | None = None
        self.drained_at = 0.0
        self.make_policy: Callable[[Vm], Any] = lambda _vm: None

    def get_latency(self, zone: str, other: str) -> float:
        """Return the one-way latency between two zones."""
        zones = self.catalogue.zones
        if zone == other:
            return _SAME_ZONE_LATENCY_SECONDS
        if zones[zone].region == zones[other].region:
            return self.deployment.zone_latency_seconds
        return self.deployment.region_latency_seconds

    def is_partitioned(self, zone: str, other: str) -> bool:
        """Return whether a partition separates two zones."""
        return (zone in self.partitioned_zones) != (
            other in self.partitioned_zones
        )

    def list_other_vms(self, vm: Vm) -> tuple[EntryVm, ...]:
        """Return the other VMs that a VM considers alive."""
        now = self.clock.now
        return tuple(
            EntryVm(other.name, other.zone, other.name)
            for other in self.vms.values()
            if other is not vm and other.is_considered_alive(now)
        )

    def claim_slots(self, vm: Vm) -> frozenset[int]:
        """Claim slots of the zone as an entry VM does; return the held ones."""
        holding = Holding(vm.name, 'start')
        alive_names = frozenset(
            other.name
            for other in self.vms.values()
            if other.zone == vm.zone and other.stopped_at is None
        )
        table = claim(self.tables[vm.zone], holding, alive_names, 12)
        self.tables[vm.zone] = table
        return frozenset(
            slot for slot, held in table.holdings.items() if held == holding
        )

    def start(self, until: float) -> None:
        """Start the VMs, the load and the sampling."""
        for vm in self.vms.values():
            self.start_vm(vm)
        for service in self.deployment.services:
            for zone in self.catalogue.zones:
                self._start_load(service, zone, until)
        self.clock.call_later(1, self._sample, until)

    def start_vm(self, vm: Vm) -> None:
        """Claim slots for a VM and start its policy."""
        self.claim_slots(vm)
        vm.policy = self.make_policy(vm)

    def count_slots(self, service: str, zone: str) -> int:
        """Return the number of slots of a service in a zone."""
        return sum(
            target.slots
            for target in self.catalogue.targets.values()
            if (target.service, target.zone) == (service, zone)
        )

    def _start_load(
        self,
        service: Service,
        zone: str,
        until: float,
    ) -> None:
        slots = self.count_slots(service.name, zone)
        for team, fraction in enumerate(TEAM_LOAD_FRACTIONS):
            rate = slots / service.mean_seconds * self.load * fraction
            if rate:
                self._schedule_request(
                    service, zone, f'team-{team}', rate, until
                )

    def _schedule_request(
        self,
        service: Service,
        zone: str,
        team: str,
        rate: float,
        until: float,
    ) -> None:
        factor = self.team_load_factors.get(
            team, 1
        ) * self.zone_load_factors.get((service.name, zone), 1)
        wait = self.rng.expovariate(rate * max(factor, 1e-6))
        if self.clock.now + wait < until:
            self.clock.call_later(
                wait, self._send_request, service, zone, team, rate, until
            )

    def _send_request(
        self,
        service: Service,
        zone: str,
        team: str,
        rate: float,
        until: float,
    ) -> None:
        self.counts['sent'] += 1
        self.sent_by_team[team] += 1
        request = Request(
            number=self.counts['sent'],
            team=team,
            service=service,
            zone=zone,
            sent_at=self.clock.now,
            work_seconds=self.rng.gammavariate(4, service.mean_seconds / 4),
        )
        self._send_to_vm(request, 0)
        self._schedule_request(service, zone, team, rate, until)

    def _send_to_vm(self, request: Request, attempt: int) -> None:
        vms = self._get_advice(request.team, request.zone, attempt)
        if not vms or attempt > 4:
            self.finish_request(request, 'lost')
            return
        vm = self.vms[vms[attempt % len(vms)].vm]
        latency = self.deployment.client_latency_seconds
        if vm.stopped_at is not None and vm.stopped_at <= self.clock.now:
            self.clock.call_later(
                2 * latency, self._send_to_vm, request, attempt + 1
            )
            return
        self.clock.call_later(latency, vm.policy.arrive, request)

    def _get_advice(self, team: str, zone: str, attempt: int) -> Any:
        renew_advice_at, advised = self.cached_advice.get((team, zone), (0, ()))
        if self.clock.now < renew_advice_at and attempt < len(advised):
            return advised
        candidates = [
            vm
            for vm in self.vms.values()
            if vm.stopped_at is None and vm.zone == zone
        ] or [vm for vm in self.vms.values() if vm.stopped_at is None]
        vm = min(
            candidates,
            key=lambda candidate: self.get_latency(candidate.zone, zone),
        )
        alive_vms = tuple(
            AdvisedVm(other.name, other.zone, other.name)
            for other in self.vms.values()
            if other.is_considered_alive(self.clock.now)
            and not (other.stopped_at and attempt)
        )
        advised = advise(vm.catalogue, team, vm.zone, alive_vms).vms
        hold_seconds = self.rng.uniform(0.5, 1) * self.catalogue.hold_seconds
        self.cached_advice[team, zone] = (
            self.clock.now + hold_seconds,
            advised,
        )
        return advised

    def finish_request(self, request: Request, result: str) -> None:
        """Record the final result of a request; later results are ignored."""
        if request.is_done:
            return
        request.is_done = True
        now = self.clock.now
        self.counts[result] += 1
        if result == 'ok':
            seconds = (
                now - request.sent_at + self.deployment.client_latency_seconds
            )
            self.answered.append((request.sent_at, request.team, seconds))
        else:
            self.refused.append((request.sent_at, request.team, result))

    def run_on_target(
        self,
        request: Request,
        target: Target,
        zone: str,
        on_done: OnDone,
    ) -> None:
        """Send a request to a target; count attempts and overloads."""
        self.counts['attempts'] += 1
        latency = self.get_latency(zone, target.entry.zone)
        if target.mode == 'dead' or self.is_partitioned(
            zone, target.entry.zone
        ):
            self.clock.call_later(1.0, on_done, False)
            return

        def arrive() -> None:
            if target.running >= target.entry.slots:
                self.counts['overloads'] += 1
            target.accept(request, answer)

        def answer(is_healthy: bool) -> None:
            self.clock.call_later(latency, on_done, is_healthy)

        self.clock.call_later(latency, arrive)

    def record_link_bytes(
        self, request: Request, zone: str, other: str
    ) -> None:
        """Add the bytes of an answer to the link between two regions."""
        regions = frozenset(
            self.catalogue.zones[name].region for name in (zone, other)
        )
        if len(regions) > 1:
            self.link_bytes[int(self.clock.now), regions] += (
                request.answer_bytes
            )

    def _sample(self, until: float) -> None:
        free_fractions = []
        for service in self.deployment.services:
            for zone in self.catalogue.zones:
                targets = [
                    target
                    for target in self.targets.values()
                    if (target.entry.service, target.entry.zone)
                    == (service.name, zone)
                    and target.mode != 'dead'
                ]
                slots = sum(target.entry.slots for target in targets)
                running = sum(target.running for target in targets)
                if slots:
                    free_fractions.append(1 - running / slots)
        self.min_free_fractions.append(min(free_fractions))
        for zone in self.catalogue.zones:
            self.remote_running_samples[zone].append(self.remote_running[zone])
        if self.clock.now < until:
            self.clock.call_later(0.1, self._sample, until)
