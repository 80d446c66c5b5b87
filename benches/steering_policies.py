"""The steering policy of the product and the baselines."""

from collections import Counter
from collections.abc import Callable, Collection
from typing import Any, Final, TypeAlias

from benches.steering_fleet import DEADLINE_SECONDS, Fleet, Request, Target, Vm
from toucanhall.steering import (
    Arrive,
    Carry,
    End,
    Origin,
    Outcome,
    OwnedSlots,
    Refuse,
    Run,
    links,
    size_links,
    size_services,
)
from toucanhall.steering.budget import limit_attempt
from toucanhall.steering.links import Meter
from toucanhall.steering.policy import count_spare, decide
from toucanhall.steering.records import Expire, Report, State, Wait

MakePolicy: TypeAlias = Callable[[Vm], Any]
ChooseTarget: TypeAlias = Callable[[Any, Request], Target | None]

_RESIZE_INTERVAL_SECONDS: Final = 0.5
_CLAIM_INTERVAL_SECONDS: Final = 2.0
_REPORT_INTERVAL_SECONDS: Final = 1.0
_MAX_ATTEMPTS: Final = 3
_CONNECT_TIMEOUT_SECONDS: Final = 1.0


class Job:
    """A request at one VM, with the receiver of its answer and its attempts."""

    def __init__(
        self,
        *,
        request: Request,
        origin: Origin,
        on_answer: Callable[[str, int | None], None],
        is_retry: bool = False,
    ) -> None:
        """Create a job without attempts."""
        self.request = request
        self.origin = origin
        self.on_answer = on_answer
        self.is_retry = is_retry
        self.tried_names: frozenset[str] = frozenset()
        self.attempts = 0
        self.is_bounced = False
        self.is_done = False


class ProductPolicy:
    """Runs the decision functions of the product for one VM."""

    def __init__(self, *, fleet: Fleet, vm: Vm) -> None:
        """Size the policy and start its periodic tasks."""
        self.fleet = fleet
        self.vm = vm
        self.states: dict[str, State] = {}
        self.meters: dict[str, Meter] = {}
        self.jobs: dict[str, Job] = {}
        self.owned_slots = fleet.claim_slots(vm)
        self._resize()
        fleet.clock.call_later(
            _CLAIM_INTERVAL_SECONDS * fleet.rng.random(), self._claim
        )
        fleet.clock.call_later(
            _REPORT_INTERVAL_SECONDS * fleet.rng.random(), self._read_reports
        )

    def arrive(self, request: Request) -> None:
        """Handle a request from a caller."""
        self._submit(
            Job(
                request=request,
                origin=Origin.CALLER,
                on_answer=lambda result, _spare: self.fleet.finish_request(
                    request, result
                ),
            ),
        )

    def fail_all(self) -> None:
        """Fail every request at this VM as lost."""
        for job in tuple(self.jobs.values()):
            self._finish(job, 'lost')

    def _claim(self) -> None:
        if self.vm.stopped_at is None:
            self.owned_slots = self.fleet.claim_slots(self.vm)
            self.fleet.clock.call_later(_CLAIM_INTERVAL_SECONDS, self._claim)

    def _resize(self) -> None:
        if self.vm.stopped_at is not None:
            return
        now = self.fleet.clock.now
        owned = OwnedSlots(self.vm.zone, self.owned_slots)
        entry_vms = self.fleet.list_other_vms(self.vm)
        sizes = size_services(self.vm.catalogue, owned, entry_vms, now)
        for service, size in sizes.items():
            self.states.setdefault(service, State({}, {}))
            self._decide(service, size)
        for region, allowance in size_links(self.vm.catalogue, owned).items():
            meter = self.meters.get(region, Meter(updated_at=now))
            self.meters[region] = links.resize(meter, allowance, now)
        self.fleet.clock.call_later(_RESIZE_INTERVAL_SECONDS, self._resize)

    def _read_reports(self) -> None:
        if self.vm.stopped_at is not None:
            return
        for target in self.fleet.targets.values():
            entry = target.entry
            busy_fraction = get_reported_load(self.fleet, target)
            if entry.zone == self.vm.zone and busy_fraction is not None:
                self._decide(entry.service, Report(entry.name, busy_fraction))
        self.fleet.clock.call_later(
            _REPORT_INTERVAL_SECONDS, self._read_reports
        )

    def _submit(self, job: Job) -> None:
        if self.vm.stopped_at is not None:
            job.on_answer('lost', None)
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
                request.sent_at + DEADLINE_SECONDS,
                job.origin,
                attempts=job.attempts,
                is_bounced=job.is_bounced,
                passed=job.tried_names,
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
            handler: Any = _EFFECT_HANDLERS[type(effect)]
            handler(self, self.jobs[effect.ticket], effect)

    def _run(self, job: Job, effect: Run) -> None:
        started = self.fleet.clock.now
        target = self.fleet.targets[effect.name]
        is_finished = [False]
        if job.origin is Origin.ZONE:
            self.fleet.remote_running[self.vm.zone] += 1

        def on_done(is_healthy: bool) -> None:
            if is_finished[0]:
                return
            is_finished[0] = True
            if job.origin is Origin.ZONE:
                self.fleet.remote_running[self.vm.zone] -= 1
            seconds = self.fleet.clock.now - started
            self._end(job, effect.name, Outcome(is_healthy, seconds))
            if is_healthy:
                self._finish(job, 'ok')
            else:
                job.is_bounced = False
                self._retry(job, effect.name)

        remaining = job.request.sent_at + DEADLINE_SECONDS - started
        self.fleet.run_on_target(job.request, target, self.vm.zone, on_done)
        self.fleet.clock.call_later(
            limit_attempt(remaining, may_retry=not job.attempts),
            on_done,
            False,
        )

    def _carry(self, job: Job, effect: Carry) -> None:
        peer = self.fleet.vms[effect.name]
        latency = self.fleet.get_latency(self.vm.zone, peer.zone)
        is_finished = [False]

        def answer(result: str, spare: int | None) -> None:
            pause = 0.0
            if result == 'ok' and effect.is_far:
                pause = self._spend(effect.region, job.request.answer_bytes)
            self.fleet.clock.call_later(latency + pause, on_done, result, spare)

        def on_done(result: str, spare: int | None) -> None:
            if is_finished[0]:
                return
            is_finished[0] = True
            is_healthy = {'ok': True, 'lost': False}.get(result)
            if result not in {'ok', 'lost'}:
                spare = min(spare or 0, 0)
            self._end(job, effect.name, Outcome(is_healthy), spare)
            if result == 'ok':
                self.fleet.record_link_bytes(
                    job.request, self.vm.zone, peer.zone
                )
                self._finish(job, 'ok')
            else:
                self.fleet.counts['attempts'] += 1
                self.fleet.counts['bounced'] += 1
                job.is_bounced = True
                self._retry(job, effect.name)

        if self.fleet.is_partitioned(self.vm.zone, peer.zone):
            self.fleet.clock.call_later(
                _CONNECT_TIMEOUT_SECONDS, on_done, 'lost', None
            )
            return
        is_sibling = peer.zone == self.vm.zone
        forwarded = Job(
            request=job.request,
            origin=Origin.SIBLING if is_sibling else Origin.ZONE,
            on_answer=answer,
            is_retry=job.attempts > 0,
        )
        self.fleet.clock.call_later(latency, peer.policy._submit, forwarded)

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
        if self.vm.stopped_at is None:
            self._decide(
                job.request.service,
                End(name, outcome, job.origin, spare),
            )

    def _retry(self, job: Job, name: str) -> None:
        if job.is_done:
            return
        job.tried_names |= {name}
        job.attempts += 1
        if job.is_retry:
            self._finish(job, 'target-failed')
        else:
            self._submit(job)

    def _refuse(self, job: Job, effect: Refuse) -> None:
        self._finish(job, effect.reason)

    def _wait(self, job: Job, effect: Wait) -> None:
        self.fleet.counts['waited'] += 1
        self.fleet.clock.call_later(
            effect.expires_at - self.fleet.clock.now,
            self._decide,
            job.request.service,
            Expire(effect.ticket),
        )

    def _finish(self, job: Job, result: str) -> None:
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
        job.on_answer(result, spare)


_EFFECT_HANDLERS: Final = {
    Run: ProductPolicy._run,
    Carry: ProductPolicy._carry,
    Refuse: ProductPolicy._refuse,
    Wait: ProductPolicy._wait,
}


class Baseline:
    """Sends each request to the target chosen by a function."""

    def __init__(self, *, fleet: Fleet, vm: Vm, choose: ChooseTarget) -> None:
        """Create a policy without requests in flight."""
        self.fleet = fleet
        self.vm = vm
        self.choose = choose
        self.in_flight: Counter[str] = Counter()

    def arrive(self, request: Request, attempts: int = 0) -> None:
        """Handle a request from a caller, or retry it."""
        if self.vm.stopped_at is not None:
            self.fleet.finish_request(request, 'lost')
            return
        target = self.choose(self, request)
        if target is None or attempts >= _MAX_ATTEMPTS:
            self.fleet.finish_request(request, 'target-failed')
            return
        name = target.entry.name
        self.in_flight[name] += 1
        is_finished = [False]

        def on_done(is_healthy: bool) -> None:
            if is_finished[0]:
                return
            is_finished[0] = True
            self.in_flight[name] -= 1
            if is_healthy:
                zone = target.entry.zone
                self.fleet.record_link_bytes(request, self.vm.zone, zone)
                self.fleet.finish_request(request, 'ok')
            else:
                self.arrive(request, attempts + 1)

        remaining = request.sent_at + DEADLINE_SECONDS - self.fleet.clock.now
        self.fleet.run_on_target(request, target, self.vm.zone, on_done)
        seconds = limit_attempt(remaining, may_retry=not attempts)
        self.fleet.clock.call_later(seconds, on_done, False)

    def fail_all(self) -> None:
        """Do nothing: requests in flight are lost when they end."""

    def list_targets(
        self,
        service: str,
        zones: Collection[str],
    ) -> list[Target]:
        """Return the targets of a service in the zones that are not drained."""
        drains = self.vm.catalogue.drains
        return [
            target
            for target in self.fleet.targets.values()
            if target.entry.service == service
            and target.entry.zone in zones
            and target.entry.zone not in drains.zones
        ]


def choose_random(policy: Baseline, request: Request) -> Target | None:
    """Choose a random target of any zone."""
    zones = policy.fleet.catalogue.zones
    targets = policy.list_targets(request.service, zones)
    return policy.fleet.rng.choice(targets) if targets else None


def choose_least_in_flight(policy: Baseline, request: Request) -> Target | None:
    """Choose the target of the local zone with the least in flight."""
    targets = policy.list_targets(request.service, {policy.vm.zone})
    return min(
        targets,
        key=lambda target: policy.in_flight[target.entry.name],
        default=None,
    )


def choose_by_reported_load(
    policy: Baseline, request: Request
) -> Target | None:
    """Choose a random target of the region, weighted by reported load."""
    zones = policy.fleet.catalogue.zones
    region = zones[policy.vm.zone].region
    region_zones = {
        zone for zone, entry in zones.items() if entry.region == region
    }
    targets = policy.list_targets(request.service, region_zones)
    if not targets:
        return None
    weights = [
        1.01 - (get_reported_load(policy.fleet, target) or 0)
        for target in targets
    ]
    return policy.fleet.rng.choices(targets, weights)[0]


def get_reported_load(fleet: Fleet, target: Target) -> float | None:
    """Return the busy fraction that a target reports in the scenario."""
    if fleet.report_mode == 'stopped':
        return None
    if fleet.report_mode == 'late':
        return target.load_before_event
    if target.mode == 'slow' and fleet.report_mode == 'lying':
        return 0.0
    return min(1.0, target.running / target.entry.slots)


def make_product_policy(fleet: Fleet) -> MakePolicy:
    """Return a function that creates the policy of the product for a VM."""
    return lambda vm: ProductPolicy(fleet=fleet, vm=vm)


def make_baseline(choose: ChooseTarget) -> Callable[[Fleet], MakePolicy]:
    """Return a factory of the functions that create a baseline policy."""
    return lambda fleet: lambda vm: Baseline(fleet=fleet, vm=vm, choose=choose)


POLICIES: Final = {
    'ours': make_product_policy,
    'random': make_baseline(choose_random),
    'least-own-zone': make_baseline(choose_least_in_flight),
    'weighted-reports': make_baseline(choose_by_reported_load),
}
