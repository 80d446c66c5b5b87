"""The policy of the product and the baselines, on the fleet of the bench."""

from collections import Counter
from collections.abc import Callable, Collection
from typing import Any, Final, TypeAlias

from benches.steering_fleet import DEADLINE, Fleet, Request, Target, Vm
from toucanhall.steering import (
    Arrive,
    Carry,
    End,
    Origin,
    Outcome,
    Refuse,
    Run,
    OwnedSlots,
    links,
    size_links,
    size_services,
)
from toucanhall.steering.budget import limit_attempt
from toucanhall.steering.links import Meter
from toucanhall.steering.policy import count_spare, decide
from toucanhall.steering.records import Expire, Report, State, Wait

MakePolicy: TypeAlias = Callable[[Vm], Any]
Choose: TypeAlias = Callable[[Any, Request], Target | None]

_RESIZE: Final = 0.5
_CLAIM: Final = 2.0
_REPORT: Final = 1.0
_ATTEMPTS: Final = 3
_CONNECT: Final = 1.0


class Job:
    """A request at one VM: who gets the answer and what was tried."""

    def __init__(
        self,
        *,
        request: Request,
        origin: Origin,
        back: Callable[[str, int | None], None],
        is_retry: bool = False,
    ) -> None:
        """Start with nothing tried."""
        self.request = request
        self.origin = origin
        self.back = back
        self.is_retry = is_retry
        self.passed: frozenset[str] = frozenset()
        self.attempts = 0
        self.is_bounced = False
        self.is_done = False


class Ours:
    """Runs the product's decision functions for one VM."""

    def __init__(self, *, fleet: Fleet, vm: Vm) -> None:
        """Size the policy and start its tickers."""
        self.fleet = fleet
        self.vm = vm
        self.states: dict[str, State] = {}
        self.meters: dict[str, Meter] = {}
        self.jobs: dict[str, Job] = {}
        self.held = fleet.hold_slots(vm)
        self._resize()
        fleet.clock.at(_CLAIM * fleet.rng.random(), self._claim)
        fleet.clock.at(_REPORT * fleet.rng.random(), self._hear_reports)

    def arrive(self, request: Request) -> None:
        """Take a request from a caller."""
        self._submit(
            Job(
                request=request,
                origin=Origin.CALLER,
                back=lambda what, _spare: self.fleet.end(request, what),
            ),
        )

    def fail_all(self) -> None:
        """Lose every request that is at this VM."""
        for job in tuple(self.jobs.values()):
            self._finish(job, 'lost')

    def _claim(self) -> None:
        if self.vm.died is None:
            self.held = self.fleet.hold_slots(self.vm)
            self.fleet.clock.at(_CLAIM, self._claim)

    def _resize(self) -> None:
        if self.vm.died is not None:
            return
        now = self.fleet.clock.now
        owned = OwnedSlots(self.vm.zone, self.held)
        hops = self.fleet.list_hops(self.vm)
        sizes = size_services(self.vm.catalogue, owned, hops, now)
        for service, size in sizes.items():
            self.states.setdefault(service, State({}, {}))
            self._decide(service, size)
        for region, part in size_links(self.vm.catalogue, owned).items():
            meter = self.meters.get(region, Meter(updated_at=now))
            self.meters[region] = links.resize(meter, part, now)
        self.fleet.clock.at(_RESIZE, self._resize)

    def _hear_reports(self) -> None:
        if self.vm.died is not None:
            return
        for target in self.fleet.targets.values():
            entry = target.entry
            busy = read_report(self.fleet, target)
            if entry.zone == self.vm.zone and busy is not None:
                self._decide(entry.service, Report(entry.name, busy))
        self.fleet.clock.at(_REPORT, self._hear_reports)

    def _submit(self, job: Job) -> None:
        if self.vm.died is not None:
            job.back('lost', None)
            return
        now = self.fleet.clock.now
        request = job.request
        team = self.fleet.catalogue.teams[request.team]
        ticket = f'{request.number}/{job.attempts}'
        self.jobs[ticket] = job
        self._decide(
            request.service,
            Arrive(
                ticket,
                request.team,
                team.weight,
                request.born + DEADLINE,
                job.origin,
                attempts=job.attempts,
                is_bounced=job.is_bounced,
                passed=job.passed,
                closed_regions=frozenset(
                    region
                    for region, meter in self.meters.items()
                    if not links.is_open(meter, now)
                ),
            ),
        )

    def _decide(self, service: str, event: Any) -> None:
        state, effects = decide(
            self.states[service],
            event,
            self.fleet.clock.now,
        )
        self.states[service] = state
        for effect in effects:
            if effect.ticket not in self.jobs:
                continue
            follow: Any = _EFFECTS[type(effect)]
            follow(self, self.jobs[effect.ticket], effect)

    def _run(self, job: Job, effect: Run) -> None:
        started = self.fleet.clock.now
        target = self.fleet.targets[effect.name]
        is_over = [False]
        if job.origin is Origin.ZONE:
            self.fleet.shifted[self.vm.zone] += 1

        def done(healthy: bool) -> None:
            if is_over[0]:
                return
            is_over[0] = True
            if job.origin is Origin.ZONE:
                self.fleet.shifted[self.vm.zone] -= 1
            seconds = self.fleet.clock.now - started
            self._end(job, effect.name, Outcome(healthy, seconds))
            if healthy:
                self._finish(job, 'ok')
            else:
                job.is_bounced = False
                self._retry(job, effect.name)

        remaining = job.request.born + DEADLINE - started
        self.fleet.run_at(job.request, target, self.vm.zone, done)
        self.fleet.clock.at(
            limit_attempt(remaining, may_retry=not job.attempts), done, False,
        )  # fmt: skip

    def _carry(self, job: Job, effect: Carry) -> None:
        peer = self.fleet.vms[effect.name]
        latency = self.fleet.delay(self.vm.zone, peer.zone)
        is_over = [False]

        def answer(what: str, spare: int | None) -> None:
            pause = 0.0
            if what == 'ok' and effect.is_far:
                pause = self._spend(effect.region, job.request.size)
            self.fleet.clock.at(latency + pause, done, what, spare)

        def done(what: str, spare: int | None) -> None:
            if is_over[0]:
                return
            is_over[0] = True
            healthy = {'ok': True, 'lost': False}.get(what)
            if what not in {'ok', 'lost'}:
                spare = min(spare or 0, 0)
            self._end(job, effect.name, Outcome(healthy), spare)
            if what == 'ok':
                self.fleet.carry_bytes(job.request, self.vm.zone, peer.zone)
                self._finish(job, 'ok')
            else:
                self.fleet.counts['attempts'] += 1
                self.fleet.counts['bounced'] += 1
                job.is_bounced = True
                self._retry(job, effect.name)

        if self.fleet.is_cut(self.vm.zone, peer.zone):
            self.fleet.clock.at(_CONNECT, done, 'lost', None)
            return
        is_sibling = peer.zone == self.vm.zone
        hopped = Job(
            request=job.request,
            origin=Origin.SIBLING if is_sibling else Origin.ZONE,
            back=answer,
            is_retry=job.attempts > 0,
        )
        self.fleet.clock.at(latency, peer.policy._submit, hopped)

    def _spend(self, region: str, size: int) -> float:
        now = self.fleet.clock.now
        self.meters[region] = links.spend(self.meters[region], size, now)
        return links.wait_for(self.meters[region])

    def _end(
        self,
        job: Job,
        name: str,
        outcome: Outcome,
        spare: int | None = None,
    ) -> None:
        if self.vm.died is None:
            self._decide(
                job.request.service,
                End(name, outcome, job.origin, spare),
            )

    def _retry(self, job: Job, name: str) -> None:
        if job.is_done:
            return
        job.passed |= {name}
        job.attempts += 1
        if job.is_retry:
            self._finish(job, 'target-failed')
        else:
            self._submit(job)

    def _refuse(self, job: Job, effect: Refuse) -> None:
        self._finish(job, effect.reason)

    def _wait(self, job: Job, effect: Wait) -> None:
        self.fleet.counts['waited'] += 1
        self.fleet.clock.at(
            effect.expires_at - self.fleet.clock.now,
            self._decide,
            job.request.service,
            Expire(effect.ticket),
        )

    def _finish(self, job: Job, what: str) -> None:
        for attempt in range(job.attempts + 1):
            self.jobs.pop(f'{job.request.number}/{attempt}', None)
        if job.is_done:
            return
        job.is_done = True
        spare = None
        if job.origin is not Origin.CALLER:
            spare = count_spare(
                self.states[job.request.service],
                self.fleet.clock.now,
                shifting=job.origin is Origin.ZONE,
            )
        job.back(what, spare)


_EFFECTS: Final = {
    Run: Ours._run,
    Carry: Ours._carry,
    Refuse: Ours._refuse,
    Wait: Ours._wait,
}


class Baseline:
    """Sends each request to the target that a function chooses."""

    def __init__(self, *, fleet: Fleet, vm: Vm, choose: Choose) -> None:
        """Start with nothing in flight."""
        self.fleet = fleet
        self.vm = vm
        self.choose = choose
        self.in_flight: Counter[str] = Counter()

    def arrive(self, request: Request, attempts: int = 0) -> None:
        """Take a request from a caller, or try it again."""
        if self.vm.died is not None:
            self.fleet.end(request, 'lost')
            return
        target = self.choose(self, request)
        if target is None or attempts >= _ATTEMPTS:
            self.fleet.end(request, 'target-failed')
            return
        name = target.entry.name
        self.in_flight[name] += 1
        is_over = [False]

        def done(healthy: bool) -> None:
            if is_over[0]:
                return
            is_over[0] = True
            self.in_flight[name] -= 1
            if healthy:
                zone = target.entry.zone
                self.fleet.carry_bytes(request, self.vm.zone, zone)
                self.fleet.end(request, 'ok')
            else:
                self.arrive(request, attempts + 1)

        remaining = request.born + DEADLINE - self.fleet.clock.now
        self.fleet.run_at(request, target, self.vm.zone, done)
        seconds = limit_attempt(remaining, may_retry=not attempts)
        self.fleet.clock.at(seconds, done, False)

    def fail_all(self) -> None:
        """Requests under way are lost with the VM when they end."""

    def list_targets(
        self,
        service: str,
        zones: Collection[str],
    ) -> list[Target]:
        """Return the targets of some zones that are not drained."""
        drains = self.vm.catalogue.drains
        return [
            target
            for target in self.fleet.targets.values()
            if target.entry.service == service
            and target.entry.zone in zones
            and target.entry.zone not in drains.zones
        ]


def choose_randomly(policy: Baseline, request: Request) -> Target | None:
    """Choose any target."""
    zones = policy.fleet.catalogue.zones
    targets = policy.list_targets(request.service, zones)
    return policy.fleet.rng.choice(targets) if targets else None


def choose_least(policy: Baseline, request: Request) -> Target | None:
    """Choose the target of the own zone with the least in flight."""
    targets = policy.list_targets(request.service, {policy.vm.zone})
    return min(
        targets,
        key=lambda target: policy.in_flight[target.entry.name],
        default=None,
    )


def choose_weighted(policy: Baseline, request: Request) -> Target | None:
    """Choose a target of the own region, weighted by the reported load."""
    zones = policy.fleet.catalogue.zones
    region = zones[policy.vm.zone].region
    near = {zone for zone, entry in zones.items() if entry.region == region}
    targets = policy.list_targets(request.service, near)
    if not targets:
        return None
    weights = [
        1.01 - (read_report(policy.fleet, target) or 0) for target in targets
    ]
    return policy.fleet.rng.choices(targets, weights)[0]


def read_report(fleet: Fleet, target: Target) -> float | None:
    """Return the busy share that a target reports, as the scenario has it."""
    if fleet.reports == 'stopped':
        return None
    if fleet.reports == 'late':
        return target.first_report
    if target.mode == 'slow' and fleet.reports == 'lying':
        return 0.0
    return min(1.0, target.running / target.entry.slots)


def make_ours(fleet: Fleet) -> MakePolicy:
    """Return the maker of the product's policy."""
    return lambda vm: Ours(fleet=fleet, vm=vm)


def make_baseline(choose: Choose) -> Callable[[Fleet], MakePolicy]:
    """Return a maker of a baseline policy."""
    return lambda fleet: lambda vm: Baseline(fleet=fleet, vm=vm, choose=choose)


POLICIES: Final = {
    'ours': make_ours,
    'random': make_baseline(choose_randomly),
    'least-own-zone': make_baseline(choose_least),
    'weighted-reports': make_baseline(choose_weighted),
}
