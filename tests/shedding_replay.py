"""Replays a burst against load shedding, in simulated time, without I/O.

Several VMs each see a part of the arrivals. They know the load of a target by
their own requests and by its answers. A refused caller returns once, after the
time that it was told, if that is at most a third of the time that it has left.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from itertools import count
from typing import Final, NamedTuple

from tests.fleetdata import make_limits, make_target
from toucanhall.edge.load_shedding import Caller, LoadShedding
from toucanhall.placement.choice import (
    TARGETS_PER_OBJECT,
    Candidate,
    RequestUrgency,
    choose_target,
)
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.owners import VmGroup
from toucanhall.placement.registry import TargetQuery, TargetRegistry
from toucanhall.placement.response_times import ResponseTimes

__all__ = ('Burst', 'Kind', 'Replay', 'Tally')

REGIONS: Final = {'east-a': 'east'}
CONSTANT_SECONDS: Final = 0.25
_LATEST_FRACTION: Final = 1 / 3


class Kind(NamedTuple):
    """A kind of requests; `weight` is its part of the arrivals."""

    name: str = 'view'
    weight: float = 1.0
    priority: int = 1
    objective_seconds: float = 0.51
    deadline_seconds: float = 3.8


class Burst(NamedTuple):
    """Arrivals in multiples of what the slots run: `factor` from 2 s to 5 s.

    Requests take `mean_seconds` on average. VMs of `cut_off` hear of no other
    VM and of no load; those of `gone` leave at 3 s, and the others learn of it
    two seconds later. A target with `queue` waiting requests refuses
    more. Its reports reach a VM `report_seconds` after its answers.
    """

    factor: float = 2.0
    usual: float = 0.5
    kinds: tuple[Kind, ...] = (Kind(),)
    vms: int = 12
    targets: int = 20
    slots: int = 6
    queue: int = 6
    objects: int = 400
    mean_seconds: float = 0.3
    seconds: float = 10.0
    cut_off: frozenset[int] = frozenset()
    gone: frozenset[int] = frozenset()
    report_seconds: float = 0.0
    is_shed: bool = True


class Tally(NamedTuple):
    """Callers by kind, and how much of the slots stood idle.

    `served_again` are callers served on their return, `refused_twice` those
    that have given up; `idle` is the fraction of the slots without a request
    in the 1.3 s after the burst: the longest wait of its last callers.
    """

    arrived: Counter[str]
    served: Counter[str]
    served_new: Counter[str]
    served_again: Counter[str]
    refused_twice: Counter[str]
    told: list[float]
    idle: float


class _Visit(NamedTuple):
    kind: Kind
    key: str
    deadline: float
    is_return: bool


class _Vm:
    """One VM's view of the targets, and its load shedding."""

    def __init__(self, burst: Burst, index: int) -> None:
        self.registry = TargetRegistry(
            location=Location('east-a', 'east'),
            regions=REGIONS,
            limits=make_limits(REGIONS),
        )
        self.registry.replace_targets(
            {
                f't{number}': make_target(f't{number}', slots=burst.slots)
                for number in range(burst.targets)
            },
            -100.0,
        )
        self.is_cut_off = index in burst.cut_off
        self.name = f'vm-{index}'
        names = [f'vm-{other}' for other in range(burst.vms)]
        self.see([self.name] if self.is_cut_off else names, burst.vms)
        self.times = ResponseTimes()
        self.shedding = LoadShedding(
            registry=self.registry,
            response_times=self.times,
            phase=index / burst.vms,
        )
        for load in self.registry.loads.values():
            load.record_reported_load(0, 0.0, 100 if burst.is_shed else None)

    def see(self, names: list[str], registered: int) -> None:
        """Learn which VMs serve."""
        group = VmGroup(tuple(names), len(names), registered)
        self.registry.set_vm_groups(self.name, {'east-a': group})


class Replay:
    """One run of a burst."""

    def __init__(self, burst: Burst, seed: int) -> None:
        """Draw arrivals and durations from `seed`."""
        self.burst = burst
        self.rng = random.Random(seed)
        self.vms = [_Vm(burst, index) for index in range(burst.vms)]
        self.running = Counter[str]()
        self.queues: dict[str, deque[Callable[[float], None]]] = {}
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = count()
        self.tally = Tally(
            *(Counter[str]() for _counter in range(5)), told=[], idle=0.0
        )
        self.busy_seconds = 0.0
        self.idle_window = (5.0, 6.3)

    def run(self) -> Tally:
        """Return the outcome."""
        self._generate_arrivals()
        if self.burst.gone:
            self._at(5.0, self._learn_of_gone)
        while self.events:
            now, _order, act = heapq.heappop(self.events)
            act(now)
        begin, end = self.idle_window
        slots = self.burst.targets * self.burst.slots
        idle = 1 - self.busy_seconds / ((end - begin) * slots)
        return self.tally._replace(idle=idle)

    def _at(self, time: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time, next(self.order), act))

    def _learn_of_gone(self, _now: float) -> None:
        names = [
            vm.name
            for index, vm in enumerate(self.vms)
            if index not in self.burst.gone
        ]
        for vm in self.vms:
            if not vm.is_cut_off:
                vm.see(names, len(self.vms))

    def _generate_arrivals(self) -> None:
        burst = self.burst
        capacity = burst.targets * burst.slots / burst.mean_seconds
        weights = [kind.weight for kind in burst.kinds]
        now = 0.0
        while now < burst.seconds:
            factor = burst.factor if 2 <= now < 5 else burst.usual
            now += self.rng.expovariate(capacity * factor)
            kind = self.rng.choices(burst.kinds, weights)[0]
            key = f'object-{self.rng.randrange(burst.objects)}'
            visit = _Visit(
                kind, key, now + kind.deadline_seconds, is_return=False
            )
            self.tally.arrived[kind.name] += 1
            self._at(now, lambda at, visit=visit: self._arrive(visit, at))

    def _pick_vm(self, now: float) -> _Vm:
        indices = range(self.burst.vms)
        if now >= 3:
            indices = [
                index for index in indices if index not in self.burst.gone
            ]
        return self.vms[self.rng.choice(indices)]

    def _arrive(self, visit: _Visit, now: float) -> None:
        vm = self._pick_vm(now)
        kind = visit.kind
        caller = Caller(
            kind.name,
            'guide',
            kind.priority,
            kind.objective_seconds,
            visit.deadline - now,
        )
        query = TargetQuery('guide', visit.key, frozenset(), frozenset())
        chosen = self._choose(vm, caller, query, now)
        if chosen:
            self._send(vm, visit, chosen, now)
            return
        if visit.is_return:
            self.tally.refused_twice[kind.name] += 1
        free_time = vm.shedding.schedule(caller, query, now)
        wait = free_time.wait_seconds if free_time else CONSTANT_SECONDS
        self.tally.told.append(wait)
        if visit.is_return:
            return
        if wait > _LATEST_FRACTION * caller.remaining_seconds + 1e-9:
            self.tally.refused_twice[kind.name] += 1
            return
        again = visit._replace(is_return=True)
        self._at(now + wait, lambda at: self._arrive(again, at))

    def _choose(
        self, vm: _Vm, caller: Caller, query: TargetQuery, now: float
    ) -> Candidate | None:
        if not vm.shedding.judge(caller, query, now).is_allowed:
            return None
        urgency = RequestUrgency(
            caller.objective_seconds,
            vm.times.get(caller.route, caller.objective_seconds),
            caller.priority,
        )
        for _attempt in range(TARGETS_PER_OBJECT):
            chosen = choose_target(
                vm.registry.list_candidates(query, now, TARGETS_PER_OBJECT),
                urgency,
                now,
            )
            if chosen is None or self._has_space(chosen):
                return chosen
            chosen.load.fill(now)
            query = query._replace(tried=query.tried | {chosen.target.id})
        return None

    def _has_space(self, chosen: Candidate) -> bool:
        waiting = self.queues.get(chosen.target.id, ())
        return len(waiting) < self.burst.queue

    def _send(
        self, vm: _Vm, visit: _Visit, chosen: Candidate, now: float
    ) -> None:
        name = chosen.target.id
        fill = chosen.load.estimate_requests(now) / chosen.load.slots
        chosen.load.in_flight += 1
        queue = self.queues.setdefault(name, deque())

        def start(at: float) -> None:
            self.running[name] += 1
            takes = self.burst.mean_seconds * self.rng.uniform(0.4, 1.6)
            begin, end = self.idle_window
            self.busy_seconds += max(0.0, min(end, at + takes) - max(begin, at))
            self._at(at + takes, finish)

        def finish(at: float) -> None:
            self.running[name] -= 1
            if queue:
                queue.popleft()(at)
            chosen.load.in_flight -= 1
            busy = self.running[name] + len(queue)
            if not vm.is_cut_off:
                self._at(
                    at + self.burst.report_seconds,
                    lambda heard: self._report(chosen, busy, heard),
                )
            vm.times.record(
                visit.kind.name, visit.kind.objective_seconds, at - now, fill
            )
            self._count_served(visit, at)

        if self.running[name] < self.burst.slots:
            start(now)
        else:
            queue.append(start)

    def _report(self, chosen: Candidate, busy: int, now: float) -> None:
        percent = 100 if self.burst.is_shed else None
        chosen.load.record_reported_load(busy, now, percent)

    def _count_served(self, visit: _Visit, now: float) -> None:
        name = visit.kind.name
        if now > visit.deadline:
            return
        self.tally.served[name] += 1
        if visit.is_return:
            self.tally.served_again[name] += 1
        else:
            self.tally.served_new[name] += 1
