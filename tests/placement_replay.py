"""Replays a load pattern against the placement, in simulated time."""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from tests.fleetdata import make_limits, make_target
from toucanhall.fleet.model import Target
from toucanhall.placement import choice
from toucanhall.placement.choice import (
    BALANCED_POLICY,
    PlacementPolicy,
    RequestUrgency,
    choose_target,
)
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.registry import TargetQuery, TargetRegistry

__all__ = ('Outcomes', 'Pattern', 'replay')

REGIONS: Final = {'east-a': 'east', 'east-b': 'east', 'west-a': 'west'}
# Requests that a target holds beyond its slots.
_MAX_QUEUE_REQUESTS: Final = 27


class Pattern(NamedTuple):
    """A load: `rate` returns the requests per second at a time.

    A target caches `cached_objects`; a request takes `cold_seconds`, or
    `warm_fraction` of them for a cached object. `slow` names the targets that
    take `slow_factor` times as long. `policy` is how targets are compared.
    """

    rate: Callable[[float], float]
    seconds: float
    objects: int = 180
    targets: int = 20
    slots: int = 9
    cached_objects: int = 88
    cold_seconds: float = 0.36
    warm_fraction: float = 0.3
    objective_seconds: float = 0.25
    slow: frozenset[str] = frozenset()
    slow_factor: float = 1.0
    vms_per_zone: int = 4
    policy: PlacementPolicy = BALANCED_POLICY


class Outcomes(NamedTuple):
    """Counts of the requests that arrived after a time, by their outcome."""

    in_time: int
    late: int
    refused: int
    by_target: dict[str, int]

    @property
    def fraction_in_time(self) -> float:
        """Return the fraction of all requests that was answered in time."""
        return self.in_time / max(1, self.in_time + self.late + self.refused)


class _SimulatedTarget:
    def __init__(self, *, target: Target, pattern: Pattern) -> None:
        self.target = target
        self.pattern = pattern
        self.running = 0
        self.queue: deque[_Request] = deque()
        self.cache: OrderedDict[str, None] = OrderedDict()

    @property
    def busy(self) -> int:
        return self.running + len(self.queue)

    def run(self, key: str) -> float:
        """Return the seconds that a request for an object takes."""
        pattern = self.pattern
        seconds = pattern.cold_seconds
        if key in self.cache:
            seconds *= pattern.warm_fraction
        self.cache[key] = None
        self.cache.move_to_end(key)
        if len(self.cache) > pattern.cached_objects:
            self.cache.popitem(last=False)
        if self.target.id in pattern.slow:
            seconds *= pattern.slow_factor
        return seconds


class _Request(NamedTuple):
    key: str
    arrived_at: float
    registry: TargetRegistry


def replay(pattern: Pattern, *, seed: int, since: float = 0.0) -> Outcomes:
    """Replay a pattern and count the requests that arrived after `since`."""
    rng = random.Random(seed)
    zones = tuple(REGIONS)
    targets = {
        f't{index}': make_target(
            f't{index}',
            zone=zones[index % len(zones)],
            slots=pattern.slots,
        )
        for index in range(pattern.targets)
    }
    simulated = {
        name: _SimulatedTarget(target=target, pattern=pattern)
        for name, target in targets.items()
    }
    registries = []
    for zone in zones:
        for _vm in range(pattern.vms_per_zone):
            registry = TargetRegistry(
                location=Location(zone, REGIONS[zone]),
                regions=REGIONS,
                limits=make_limits(REGIONS),
            )
            registry.replace_targets(targets, -100.0)
            registries.append(registry)
    events: list[tuple[float, int, _SimulatedTarget, _Request]] = []
    counts = {'in time': 0, 'late': 0, 'refused': 0}
    by_target = dict.fromkeys(targets, 0)
    expected_seconds = [pattern.cold_seconds * pattern.warm_fraction]

    def start(server: _SimulatedTarget, request: _Request, now: float) -> None:
        server.running += 1
        ends_at = now + server.run(request.key)
        heapq.heappush(
            events,
            (ends_at, len(events) + rng.randrange(1 << 30), server, request),
        )

    def finish(server: _SimulatedTarget, request: _Request, now: float) -> None:
        server.running -= 1
        if server.queue:
            start(server, server.queue.popleft(), now)
        load = request.registry.loads[server.target.id]
        load.in_flight -= 1
        load.record_reported_load(server.busy, now)
        load.record_success(
            min(4.0, (now - request.arrived_at) / expected_seconds[0])
        )
        if request.arrived_at >= since:
            by_target[server.target.id] += 1
            name = (
                'in time'
                if now - request.arrived_at <= pattern.objective_seconds
                else 'late'
            )
            counts[name] += 1

    for now, key in _generate_arrivals(pattern, rng):
        while events and events[0][0] <= now:
            ended_at, _order, server, request = heapq.heappop(events)
            finish(server, request, ended_at)
        registry = rng.choice(registries)
        query = TargetQuery('guide', key, frozenset(), frozenset())
        chosen = choose_target(
            registry.list_candidates(query, now, choice.TARGETS_PER_OBJECT),
            RequestUrgency(
                pattern.objective_seconds,
                expected_seconds[0],
                1,
                pattern.policy,
            ),
            now,
        )
        server = simulated[chosen.target.id] if chosen else None
        if server is None or server.busy >= pattern.slots + _MAX_QUEUE_REQUESTS:
            counts['refused'] += now >= since
            continue
        registry.loads[server.target.id].in_flight += 1
        request = _Request(key, now, registry)
        if server.running < pattern.slots:
            start(server, request, now)
        else:
            server.queue.append(request)
    return Outcomes(
        counts['in time'],
        counts['late'],
        counts['refused'],
        by_target,
    )


def _generate_arrivals(
    pattern: Pattern,
    rng: random.Random,
) -> Iterator[tuple[float, str]]:
    now = 0.0
    while now < pattern.seconds:
        now += rng.expovariate(pattern.rate(now))
        yield now, f'object-{rng.randrange(pattern.objects)}'
