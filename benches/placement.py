"""Time and memory of choosing a target, by how many targets there are."""

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
from toucanhall.placement.registry import TargetRegistry, TargetQuery
from toucanhall.placement.hash_ring import Location

_SIZES: Final = (36, 468, 3100)
_REGIONS: Final = 29
_REQUESTS: Final = 20000
_MICROSECONDS: Final = 1e6
_TARGET: Final = Target(
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
    """Print microseconds a request and a change, and bytes held."""
    argparse.ArgumentParser(prog='bench placement').parse_args(arguments)
    print('targets  request us  new ring ms  change us  ring bytes')
    for size in _SIZES:
        print(_measure(size))
    return 0


def _measure(size: int) -> str:
    zones = [f'z{index}' for index in range(72)]
    regions = {zone: f'r{index % _REGIONS}' for index, zone in enumerate(zones)}
    targets = {
        f't{index}': _TARGET._replace(
            id=f't{index}',
            zone=zones[index % len(zones)],
        )
        for index in range(size)
    }
    field = TargetRegistry(location=Location('z0', 'r0'), regions=regions)
    field.replace_targets(targets, -100.0)
    began = time.perf_counter()
    _choose(field, 'first')
    made = time.perf_counter() - began
    tracemalloc.start()
    _choose(field, 'first', homes=frozenset(regions.values()))
    held, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.perf_counter()
    for index in range(_REQUESTS):
        _choose(field, f'object-{index}')
    chosen = (time.perf_counter() - began) / _REQUESTS
    changed = 0.0
    for index in range(100):
        changed_target = targets['t1']._replace(started_at=index + 2)
        targets = {**targets, 't1': changed_target}
        began = time.perf_counter()
        field.replace_targets(targets, 1.0)
        changed += (time.perf_counter() - began) / 100
    return (
        f'{size:7}  {chosen * _MICROSECONDS:10.1f}  {made * 1000:11.1f}'
        f'  {changed * _MICROSECONDS:9.0f}  {held:10}'
    )


def _choose(
    field: TargetRegistry,
    key: str,
    homes: frozenset[str] = frozenset(),
) -> None:
    need = TargetQuery('guide', key, homes, frozenset())
    found = field.list_candidates(need, 1.0, TARGETS_PER_OBJECT)
    assert choose_target(found, RequestUrgency(0.25, 0.1, 1), 1.0)
