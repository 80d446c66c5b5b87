"""Replays a load pattern against the placement, in simulated time."""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from tests.fleetdata import make_target
from toucanhall.fleet.model import Target
from toucanhall.placement import choice
from toucanhall.placement.choice import RequestUrgency, choose_target
from toucanhall.placement.registry import TargetRegistry, TargetQuery
from toucanhall.placement.hash_ring import Location

__all__ = ('Outcomes', 'Pattern', 'replay')

REGIONS: Final = {'east-a': 'east', 'east-b': 'east', 'west-a': 'west'}
_QUEUE: Final = 27  # requests that a target holds beyond its slots


class Pattern(NamedTuple):
    """A load: `rate` gives requests a second at a time; times in seconds."""

    rate: Callable[[float], float]
    seconds: float
    objects: int = 180
    targets: int = 20
    slots: int = 9
    remembered: int = 88
    cold: float = 0.36
    warm_share: float = 0.3
    objective: float = 0.25
    slow: frozenset[str] = frozenset()
    slow_factor: float = 1.0
    vms_per_zone: int = 4


class Outcomes(NamedTuple):
    """What became of the requests that arrived after a time."""

    in_time: int
    late: int
    refused: int
    by_target: dict[str, int]

    @property
    def fraction_in_time(self) -> float:
        """Return the share of all requests that were answered in time."""
        return self.in_time / max(1, self.in_time + self.late + self.refused)


class _Server:
    def __init__(self, *, target: Target, pattern: Pattern) -> None:
        self.target = target
        self.pattern = pattern
        self.running = 0
        self.waiting: deque[_Job] = deque()
        self.known: OrderedDict[str, None] = OrderedDict()

    @property
    def busy(self) -> int:
        return self.running + len(self.waiting)

    def time(self, key: str) -> float:
        pattern = self.pattern
        seconds = pattern.cold
        if key in self.known:
            seconds *= pattern.warm_share
        self.known[key] = None
        self.known.move_to_end(key)
        if len(self.known) > pattern.remembered:
            self.known.popitem(last=False)
        if self.target.id in pattern.slow:
            seconds *= pattern.slow_factor
        return seconds


class _Job(NamedTuple):
    key: str
    arrived: float
    field: TargetRegistry


def replay(pattern: Pattern, *, seed: int, since: float = 0.0) -> Outcomes:
    """Replay a pattern and count the requests that arrived after `since`."""
    draw = random.Random(seed)
    zones = tuple(REGIONS)
    targets = {
        f't{index}': make_target(
            f't{index}',
            zone=zones[index % len(zones)],
            slots=pattern.slots,
        )
        for index in range(pattern.targets)
    }
    servers = {
        name: _Server(target=target, pattern=pattern)
        for name, target in targets.items()
    }
    fields = []
    for zone in zones:
        for _vm in range(pattern.vms_per_zone):
            field = TargetRegistry(
                location=Location(zone, REGIONS[zone]), regions=REGIONS
            )
            field.replace_targets(targets, -100.0)
            fields.append(field)
    events: list[tuple[float, int, _Server, _Job]] = []
    counts = {'in time': 0, 'late': 0, 'refused': 0}
    by_target = dict.fromkeys(targets, 0)
    usual = [pattern.cold * pattern.warm_share]

    def start(server: _Server, job: _Job, now: float) -> None:
        server.running += 1
        ends = now + server.time(job.key)
        heapq.heappush(
            events, (ends, len(events) + draw.randrange(1 << 30), server, job)
        )

    def finish(server: _Server, job: _Job, now: float) -> None:
        server.running -= 1
        if server.waiting:
            start(server, server.waiting.popleft(), now)
        load = job.field.loads[server.target.id]
        load.in_flight -= 1
        load.record_reported_load(server.busy, now)
        load.record_success(min(4.0, (now - job.arrived) / usual[0]))
        if job.arrived >= since:
            by_target[server.target.id] += 1
            name = (
                'in time' if now - job.arrived <= pattern.objective else 'late'
            )
            counts[name] += 1

    for now, key in _arrive(pattern, draw):
        while events and events[0][0] <= now:
            ended, _order, server, job = heapq.heappop(events)
            finish(server, job, ended)
        field = draw.choice(fields)
        need = TargetQuery('guide', key, frozenset(), frozenset())
        chosen = choose_target(
            field.list_candidates(need, now, choice.TARGETS_PER_OBJECT),
            RequestUrgency(pattern.objective, usual[0], 1),
            now,
        )
        server = servers[chosen.target.id] if chosen else None
        if server is None or server.busy >= pattern.slots + _QUEUE:
            counts['refused'] += now >= since
            continue
        field.loads[server.target.id].in_flight += 1
        job = _Job(key, now, field)
        if server.running < pattern.slots:
            start(server, job, now)
        else:
            server.waiting.append(job)
    return Outcomes(
        counts['in time'],
        counts['late'],
        counts['refused'],
        by_target,
    )


def _arrive(
    pattern: Pattern,
    draw: random.Random,
) -> Iterator[tuple[float, str]]:
    now = 0.0
    while now < pattern.seconds:
        now += draw.expovariate(pattern.rate(now))
        yield now, f'object-{draw.randrange(pattern.objects)}'
