"""Time and memory of choosing a target, by the number of targets."""

import argparse
import time
import tracemalloc
from collections.abc import Sequence
from typing import Final

from toucanhall.fleet.model import Address, Target
from toucanhall.placement.choice import (
    TARGETS_PER_OBJECT,
    RequestUrgency,
    choose_target,
)
from toucanhall.placement.hash_ring import Location
from toucanhall.placement.registry import TargetQuery, TargetRegistry
from toucanhall.placement.target_limits import TargetLimits

_TARGET_COUNTS: Final = (36, 468, 3100)
_REGION_COUNT: Final = 29
_REQUEST_COUNT: Final = 20000
_US_PER_SECOND: Final = 1e6
_TEMPLATE_TARGET: Final = Target(
    id='t1',
    service='guide',
    address=Address('127.0.0.1', 9000),
    zone='z0',
    slots=9,
    is_draining=False,
    cold_seconds=0.0,
    started_at=1,
    revision=1,
)


def main(arguments: Sequence[str]) -> int:
    """Print the time of a request and of a change, and the ring memory."""
    argparse.ArgumentParser(prog='bench placement').parse_args(arguments)
    print('targets  request us  new ring ms  change us  ring bytes')
    for target_count in _TARGET_COUNTS:
        print(_measure(target_count))
    return 0


def _measure(target_count: int) -> str:
    zones = [f'z{index}' for index in range(72)]
    regions = {
        zone: f'r{index % _REGION_COUNT}' for index, zone in enumerate(zones)
    }
    targets = {
        f't{index}': _TEMPLATE_TARGET._replace(
            id=f't{index}',
            zone=zones[index % len(zones)],
        )
        for index in range(target_count)
    }
    registry = TargetRegistry(
        location=Location('z0', 'r0'),
        regions=regions,
        limits=TargetLimits(regions=regions, clock=time.monotonic),
    )
    registry.replace_targets(targets, -100.0)
    clock_start = time.perf_counter()
    _choose(registry, 'first')
    ring_build_seconds = time.perf_counter() - clock_start
    tracemalloc.start()
    _choose(registry, 'first', home_regions=frozenset(regions.values()))
    ring_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    clock_start = time.perf_counter()
    for index in range(_REQUEST_COUNT):
        _choose(registry, f'object-{index}')
    request_seconds = (time.perf_counter() - clock_start) / _REQUEST_COUNT
    change_seconds = 0.0
    for index in range(100):
        changed_target = targets['t1']._replace(started_at=index + 2)
        targets = {**targets, 't1': changed_target}
        clock_start = time.perf_counter()
        registry.replace_targets(targets, 1.0)
        change_seconds += (time.perf_counter() - clock_start) / 100
    return (
        f'{target_count:7}  {request_seconds * _US_PER_SECOND:10.1f}'
        f'  {ring_build_seconds * 1000:11.1f}'
        f'  {change_seconds * _US_PER_SECOND:9.0f}  {ring_bytes:10}'
    )


def _choose(
    registry: TargetRegistry,
    key: str,
    home_regions: frozenset[str] = frozenset(),
) -> None:
    query = TargetQuery('guide', key, home_regions, frozenset())
    candidates = registry.list_candidates(query, 1.0, TARGETS_PER_OBJECT)
    assert choose_target(candidates, RequestUrgency(0.25, 0.1, 1), 1.0)
