"""Entry VMs, targets and callers around the policy, on a paused clock."""

import heapq
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from typing import Any, Final, TypeAlias

from benches.steering_places import (
    TEAM_SHARES,
    Deployment,
    Service,
    make_catalogue,
)
from toucanhall.catalogue.model import Catalogue
from toucanhall.catalogue.model import Target as Entry
from toucanhall.shares.slots import Holding, Table, claim
from toucanhall.steering import AdvisedVm, EntryVm, advise

Done: TypeAlias = Callable[[bool], None]

DEADLINE: Final = 10.0
_SUSPECT: Final = 3.5
_COLD_REQUESTS: Final = 30
_COLD_FACTOR: Final = 4
_ERROR_SECONDS: Final = 0.001
_LOCAL: Final = 0.0002


class Clock:
    """The paused clock and what is due on it."""

    def __init__(self) -> None:
        """Start at 0 with nothing due."""
        self.now = 0.0
        self._due: list[Any] = []
        self._count = 0

    def at(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function after a delay in seconds."""
        self._count += 1
        heapq.heappush(self._due, (self.now + delay, self._count, call, args))

    def run(self, until: float) -> None:
        """Call all that is due until a time."""
        while self._due and self._due[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._due)
            call(*args)
        self.now = until


class Request:
    """A caller's request; `work` is in seconds on a warm target."""

    def __init__(
        self,
        *,
        number: int,
        team: str,
        zone: str,
        born: float,
        work: float,
        service: Service,
    ) -> None:
        """Remember what the caller sent."""
        self.number = number
        self.team = team
        self.service = service.name
        self.size = service.size
        self.zone = zone
        self.born = born
        self.work = work
        self.is_done = False


class Target:
    """A target with slots and a queue; `mode` is how it misbehaves."""

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
        self.cold = 0
        self.running = 0
        self.queue: deque[Any] = deque()
        self.last_end = 0.0
        self.first_report = 0.0

    def take(self, request: Request, done: Done) -> None:
        """Run a request, or let it wait for a slot."""
        if self.mode == 'dead':
            return
        if self.mode == 'error':
            self.clock.at(_ERROR_SECONDS, done, False)
        elif self.mode == 'silent' and not self.rng.randrange(3):
            return
        elif self.running < self.entry.slots:
            self._start(request, done)
        elif len(self.queue) < self.entry.connections:
            self.queue.append((request, done))
        else:
            done(False)

    def _start(self, request: Request, done: Done) -> None:
        self.running += 1
        work = request.work
        if self.cold or self.mode == 'slow':
            work *= _COLD_FACTOR
            self.cold = max(0, self.cold - 1)
        self.clock.at(work, self._end, done)

    def _end(self, done: Done) -> None:
        self.running -= 1
        self.last_end = self.clock.now
        if self.mode == 'dead':
            return
        if self.queue:
            self._start(*self.queue.popleft())
        done(True)


class Vm:
    """An entry VM: whether it lives, and the catalogue that it has."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        catalogue: Catalogue,
        born: float,
    ) -> None:
        """Start alive."""
        self.name = name
        self.zone = zone
        self.catalogue = catalogue
        self.born = born
        self.died: float | None = None
        self.is_leaving = False
        self.policy: Any = None
        self.carried: dict[int, Callable[..., None]] = {}

    def is_seen(self, now: float) -> bool:
        """Return whether others take the VM for alive."""
        if self.is_leaving or now < self.born + 1:
            return not self.born and not self.is_leaving
        return self.died is None or now - self.died < _SUSPECT


class Fleet:
    """One run: a deployment under one policy and one scenario."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        seed: int,
        load: float,
    ) -> None:
        """Build the places; the policies are set by the caller."""
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
                born=0,
            )
            for number in range(deployment.vms)
        }
        self.tables: dict[str, Table] = defaultdict(lambda: Table({}))
        self.cut: frozenset[str] = frozenset()
        self.healed = -_SUSPECT
        self.factors: dict[str, float] = {}
        self.zone_factors: dict[tuple[str, str], float] = {}
        self.advice: dict[tuple[str, str], tuple[float, Any]] = {}
        self.counts: Counter[str] = Counter()
        self.offered: Counter[str] = Counter()
        self.answered: list[tuple[float, str, float]] = []
        self.refused: list[tuple[float, str, str]] = []
        self.link_bytes: Counter[tuple[int, frozenset[str]]] = Counter()
        self.headroom: list[float] = []
        self.shifted: Counter[str] = Counter()
        self.shift_samples: dict[str, list[int]] = defaultdict(list)
        self.reports = 'true'
        self.drained: str | None = None
        self.drained_at = 0.0
        self.make_policy: Callable[[Vm], Any] = lambda _vm: None

    def delay(self, zone: str, other: str) -> float:
        """Return the one-way latency between two zones."""
        zones = self.catalogue.zones
        if zone == other:
            return _LOCAL
        if zones[zone].region == zones[other].region:
            return self.deployment.zone_latency
        return self.deployment.region_latency

    def is_cut(self, zone: str, other: str) -> bool:
        """Return whether two zones cannot reach each other."""
        return (zone in self.cut) != (other in self.cut)

    def list_hops(self, vm: Vm) -> tuple[EntryVm, ...]:
        """Return the other VMs as a VM sees them."""
        now = self.clock.now
        return tuple(
            EntryVm(other.name, other.zone, other.name)
            for other in self.vms.values()
            if other is not vm and other.is_seen(now)
        )

    def hold_slots(self, vm: Vm) -> frozenset[int]:
        """Claim slots of the zone as the process does; return those held."""
        holding = Holding(vm.name, 'start')
        live = frozenset(
            other.name
            for other in self.vms.values()
            if other.zone == vm.zone and other.died is None
        )
        table = claim(self.tables[vm.zone], holding, live, 12)
        self.tables[vm.zone] = table
        return frozenset(
            slot for slot, held in table.holdings.items() if held == holding
        )

    def start(self, until: float) -> None:
        """Start the load, the tickers and the samples."""
        for vm in self.vms.values():
            self.start_vm(vm)
        for service in self.deployment.services:
            for zone in self.catalogue.zones:
                self._start_load(service, zone, until)
        self.clock.at(1, self._sample, until)

    def start_vm(self, vm: Vm) -> None:
        """Start the policy of a VM."""
        self.hold_slots(vm)
        vm.policy = self.make_policy(vm)

    def count_slots(self, service: str, zone: str) -> int:
        """Return the slots of a service in a zone."""
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
        for team, share in enumerate(TEAM_SHARES):
            rate = slots / service.seconds * self.load * share
            if rate:
                self._schedule(service, zone, f'team-{team}', rate, until)

    def _schedule(
        self,
        service: Service,
        zone: str,
        team: str,
        rate: float,
        until: float,
    ) -> None:
        factor = self.factors.get(team, 1) * self.zone_factors.get(
            (service.name, zone), 1,
        )  # fmt: skip
        wait = self.rng.expovariate(rate * max(factor, 1e-6))
        if self.clock.now + wait < until:
            self.clock.at(wait, self._send, service, zone, team, rate, until)

    def _send(
        self,
        service: Service,
        zone: str,
        team: str,
        rate: float,
        until: float,
    ) -> None:
        self.counts['sent'] += 1
        self.offered[team] += 1
        request = Request(
            number=self.counts['sent'],
            team=team,
            service=service,
            zone=zone,
            born=self.clock.now,
            work=self.rng.gammavariate(4, service.seconds / 4),
        )
        self._call(request, 0)
        self._schedule(service, zone, team, rate, until)

    def _call(self, request: Request, tries: int) -> None:
        vms = self._ask(request.team, request.zone, tries)
        if not vms or tries > 4:
            self.end(request, 'lost')
            return
        vm = self.vms[vms[tries % len(vms)].vm]
        latency = self.deployment.client_latency
        if vm.died is not None and vm.died <= self.clock.now:
            self.clock.at(2 * latency, self._call, request, tries + 1)
            return
        self.clock.at(latency, vm.policy.arrive, request)

    def _ask(self, team: str, zone: str, tries: int) -> Any:
        renew_at, advised = self.advice.get((team, zone), (0, ()))
        if self.clock.now < renew_at and tries < len(advised):
            return advised
        asked = [
            vm
            for vm in self.vms.values()
            if vm.died is None and vm.zone == zone
        ] or [vm for vm in self.vms.values() if vm.died is None]
        vm = min(asked, key=lambda one: self.delay(one.zone, zone))
        seen = tuple(
            AdvisedVm(other.name, other.zone, other.name)
            for other in self.vms.values()
            if other.is_seen(self.clock.now) and not (other.died and tries)
        )
        advised = advise(vm.catalogue, team, vm.zone, seen).vms
        hold = self.rng.uniform(0.5, 1) * self.catalogue.hold_seconds
        self.advice[team, zone] = (self.clock.now + hold, advised)
        return advised

    def end(self, request: Request, what: str) -> None:
        """Give a request its final answer."""
        if request.is_done:
            return
        request.is_done = True
        now = self.clock.now
        self.counts[what] += 1
        if what == 'ok':
            seconds = now - request.born + self.deployment.client_latency
            self.answered.append((request.born, request.team, seconds))
        else:
            self.refused.append((request.born, request.team, what))

    def run_at(
        self,
        request: Request,
        target: Target,
        zone: str,
        done: Done,
    ) -> None:
        """Send a request to a target and count overloads."""
        self.counts['attempts'] += 1
        latency = self.delay(zone, target.entry.zone)
        if target.mode == 'dead' or self.is_cut(zone, target.entry.zone):
            self.clock.at(1.0, done, False)
            return

        def arrive() -> None:
            if target.running >= target.entry.slots:
                self.counts['overloads'] += 1
            target.take(request, answer)

        def answer(healthy: bool) -> None:
            self.clock.at(latency, done, healthy)

        self.clock.at(latency, arrive)

    def carry_bytes(self, request: Request, zone: str, other: str) -> None:
        """Count the bytes that an answer moves over a link."""
        regions = frozenset(
            self.catalogue.zones[name].region for name in (zone, other)
        )
        if len(regions) > 1:
            self.link_bytes[int(self.clock.now), regions] += request.size

    def _sample(self, until: float) -> None:
        free = []
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
                    free.append(1 - running / slots)
        self.headroom.append(min(free))
        for zone in self.catalogue.zones:
            self.shift_samples[zone].append(self.shifted[zone])
        if self.clock.now < until:
            self.clock.at(0.1, self._sample, until)
