"""Builders of evidence, and a model of VMs that learn from the same targets."""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from toucanhall.placement.learned_capacity import Evidence, LearnedCapacity
from toucanhall.placement.load import TargetLoad
from toucanhall.placement.response_times import UsualTime, UsualTimes

__all__ = (
    'SLOTS',
    'ModelOutcomes',
    'ModelPattern',
    'learn',
    'make_evidence',
    'make_times',
    'make_unlearning_load',
    'run_model',
)

SLOTS: Final = 6
ROUTE: Final = 'route'
_SPAN_SECONDS: Final = 0.6
_SPAN_FACTOR: Final = 2.5
_WARM_FRACTION: Final = 0.3
# Mean of warm and cold runs at a first target, in cold runs.
_FIRST_RUN_FRACTION: Final = 0.44
# In cold runs; what takes longer is late and is refused.
_MAX_COST: Final = 1.5


def make_evidence(**fields: object) -> Evidence:
    """Return an answer in the usual time from a lightly loaded target."""
    usual = Evidence(
        at=0.0,
        seconds=0.1,
        usual_seconds=0.1,
        mean_seconds=0.1,
        requests=1.0,
    )
    return usual._replace(**fields)


def make_times(
    ratios: Sequence[float],
    *,
    requests: Sequence[int],
    knee: int = SLOTS,
    **fields: object,
) -> list[Evidence]:
    """Return 60 answers in 30 s; `ratios` and `requests` repeat in turn.

    Above its knee, a target takes as many times as long as requests share it.
    """
    mean = 0.1 * sum(ratios) / len(ratios)
    rng = random.Random(1)
    times = []
    for number in range(60):
        count = requests[number % len(requests)]
        seconds = 0.1 * rng.choice(ratios)
        seconds *= max(1.0, min(count, SLOTS) / knee)
        seconds += max(0.0, count / SLOTS - 1) * mean * SLOTS / knee
        times.append(
            make_evidence(
                at=number / 2,
                seconds=seconds,
                mean_seconds=mean,
                requests=float(count),
                **fields,
            )
        )
    return times


def learn(times: Iterable[Evidence]) -> LearnedCapacity:
    """Return what is learned of a target."""
    capacity = LearnedCapacity(slots=SLOTS)
    for evidence in times:
        capacity.record(evidence)
    return capacity


class _UnlearningLoad(TargetLoad):
    """A load that is always the usual one."""

    def record_evidence(self, evidence: Evidence) -> None:
        """Ignore an answer."""

    def compute_slowdown(self, now: float) -> float:
        """Return the usual figure."""
        return 1.0


def make_unlearning_load(*, slots: int) -> TargetLoad:
    """Return a load that learns nothing, for comparison."""
    return _UnlearningLoad(slots=slots)


class ModelPattern(NamedTuple):
    """A load of `rate` requests a second on targets of unequal capacity.

    `slow` is how many times as long work takes at the first target, `knee` the
    requests at a time above which it slows down. `span_fraction` is the
    fraction of time in which a machine is slow, `long_fraction` that of the
    requests that take 7 times as long, `warm_fraction` that of requests whose
    object the first target remembers.
    """

    rate: float = 110.0
    seconds: float = 120.0
    vms: int = 6
    targets: int = 8
    slots: int = SLOTS
    cold_seconds: float = 0.54
    objective_seconds: float = 0.509
    slow: float = 1.0
    knee: float = 6.0
    span_fraction: float = 0.0
    long_fraction: float = 0.0
    warm_fraction: float = 0.8
    reports_machine: bool = False


class ModelOutcomes(NamedTuple):
    """What became of the requests; `counts` by window of 5 s at target 0.

    `slowdowns` and `well_served` are the last estimates, by VM and target.
    """

    in_time: float
    refused: float
    mean_seconds: float
    counts: list[int]
    slowdowns: list[list[float]]
    well_served: list[list[float]]


class _Target:
    def __init__(self, index: int, pattern: ModelPattern, seed: int) -> None:
        self.is_odd = index == 0
        self.pattern = pattern
        self.running = 0
        self.queue: deque[_Work] = deque()
        self.rng = random.Random(seed * 1000 + index)
        self._spans: dict[int, bool] = {}

    def read_percent(self, now: float) -> int:
        percent = 100.0
        if self.is_odd:
            percent *= self.pattern.slow
        if self._in_span(now):
            percent *= _SPAN_FACTOR
        return round(percent)

    def take_seconds(self, now: float, is_first: bool) -> float:
        pattern = self.pattern
        seconds = pattern.cold_seconds * self.rng.uniform(0.8, 1.2)
        if is_first and self.rng.random() < pattern.warm_fraction:
            seconds *= _WARM_FRACTION
        if self.rng.random() < pattern.long_fraction:
            seconds *= 7
        if self.is_odd:
            seconds *= max(1.0, self.running / pattern.knee)
        return seconds * self.read_percent(now) / 100

    def _in_span(self, now: float) -> bool:
        number = int(now / _SPAN_SECONDS)
        if number not in self._spans:
            fraction = self.pattern.span_fraction
            self._spans[number] = self.rng.random() < fraction
        return self._spans[number]


class _Work(NamedTuple):
    vm: int
    target: int
    is_first: bool
    sent_at: float
    requests: float


def run_model(
    pattern: ModelPattern,
    *,
    seed: int,
    make_load: Callable[..., TargetLoad] = TargetLoad,
) -> ModelOutcomes:
    """Run a pattern; each VM places by its own estimates of the targets."""
    return _Model(pattern, seed, make_load).run()


class _Model:
    def __init__(
        self,
        pattern: ModelPattern,
        seed: int,
        make_load: Callable[..., TargetLoad],
    ) -> None:
        self.pattern = pattern
        self.rng = random.Random(seed)
        numbers = range(pattern.targets)
        self.targets = [_Target(index, pattern, seed) for index in numbers]
        self.loads = [
            [make_load(slots=pattern.slots) for _target in numbers]
            for _vm in range(pattern.vms)
        ]
        self.usual = [UsualTimes() for _vm in range(pattern.vms)]
        self.ends: list[tuple[float, int, _Work]] = []
        self.times: list[float] = []
        self.refused = 0
        self.counts: Counter[int] = Counter()

    def run(self) -> ModelOutcomes:
        now = 0.0
        while now < self.pattern.seconds:
            now += self.rng.expovariate(self.pattern.rate)
            while self.ends and self.ends[0][0] <= now:
                ended_at, _order, work = heapq.heappop(self.ends)
                self._finish(work, ended_at)
            self._send(now)
        return self._report(now)

    def _send(self, now: float) -> None:
        vm = self.rng.randrange(self.pattern.vms)
        first, second = self.rng.sample(range(self.pattern.targets), 2)
        chosen = self._choose(vm, first, second, now)
        if chosen is None:
            self.refused += 1
            return
        load = self.loads[vm][chosen]
        work = _Work(
            vm, chosen, chosen == first, now, load.estimate_requests(now)
        )
        load.in_flight += 1
        if chosen == 0:
            self.counts[int(now / 5)] += 1
        target = self.targets[chosen]
        if target.running < self.pattern.slots:
            self._start(work, now)
        else:
            target.queue.append(work)

    def _choose(
        self, vm: int, first: int, second: int, now: float
    ) -> int | None:
        """Return the target of the least cost; None if both are full.

        The first target is left when a cold run elsewhere takes less time.
        """
        costs = {
            first: self._compute_cost(vm, first, now) * _FIRST_RUN_FRACTION,
            second: self._compute_cost(vm, second, now),
        }
        chosen = min(costs, key=costs.__getitem__)
        return chosen if costs[chosen] < _MAX_COST else None

    def _compute_cost(self, vm: int, index: int, now: float) -> float:
        load = self.loads[vm][index]
        slowdown = load.compute_slowdown(now)
        requests = load.estimate_requests(now) + 1
        return slowdown * max(1.0, requests / load.count_well_served())

    def _start(self, work: _Work, now: float) -> None:
        target = self.targets[work.target]
        target.running += 1
        ends_at = now + target.take_seconds(now, work.is_first)
        order = self.rng.randrange(1 << 30)
        heapq.heappush(self.ends, (ends_at, order, work))

    def _finish(self, work: _Work, now: float) -> None:
        target = self.targets[work.target]
        target.running -= 1
        if target.queue:
            self._start(target.queue.popleft(), now)
        load = self.loads[work.vm][work.target]
        load.in_flight -= 1
        percent = (
            target.read_percent(now) if self.pattern.reports_machine else None
        )
        busy = target.running + len(target.queue)
        load.record_reported_load(busy, now, percent)
        seconds = now - work.sent_at
        times = self.usual[work.vm]
        usual = times.get(ROUTE) or UsualTime(0.0, 0.0)
        requests = max(work.requests, load.estimate_requests(now)) + 1
        load.record_evidence(
            Evidence(
                at=now,
                seconds=seconds,
                usual_seconds=usual.median,
                mean_seconds=usual.mean,
                requests=requests,
                machine_percent=percent,
                is_first_target=work.is_first,
            )
        )
        if work.is_first and requests <= self.pattern.slots:
            times.record(ROUTE, seconds)
        self.times.append(seconds)

    def _report(self, now: float) -> ModelOutcomes:
        total = len(self.times) + self.refused
        objective = self.pattern.objective_seconds
        return ModelOutcomes(
            in_time=sum(found <= objective for found in self.times) / total,
            refused=self.refused / total,
            mean_seconds=sum(self.times) / len(self.times),
            counts=[
                self.counts[number]
                for number in range(int(self.pattern.seconds / 5))
            ],
            slowdowns=[
                [load.compute_slowdown(now) for load in loads]
                for loads in self.loads
            ],
            well_served=[
                [load.count_well_served() for load in loads]
                for loads in self.loads
            ],
        )
