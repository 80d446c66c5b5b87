"""Time and memory of reading a revision, by the size of the catalogue."""

import argparse
import json
import time
import tracemalloc
from collections.abc import Sequence
from typing import Any, Final

import msgspec

from toucanhall.catalogue.reading import revise, revise_after

_TARGET_COUNTS: Final = (200, 400, 800, 1600, 3100)
_ROUND_COUNT: Final = 5
_TEAMS_PER_TARGET: Final = 0.1


def main(arguments: Sequence[str]) -> int:
    """Print a line of JSON per size, then the increase per target."""
    argparse.ArgumentParser(prog='bench catalogue').parse_args(arguments)
    rows = [measure(target_count) for target_count in _TARGET_COUNTS]
    for row in rows:
        print(json.dumps(row))
    first, last = rows[0], rows[-1]
    added_targets = last['targets'] - first['targets']
    print(
        json.dumps(
            {
                f'{name}_per_target': round(
                    (last[name] - first[name]) / added_targets, 3
                )
                for name in (
                    'document_bytes',
                    'held_bytes',
                    'read_us',
                    'next_us',
                )
            }
        )
    )
    return 0


def measure(target_count: int) -> dict[str, Any]:
    """Measure reading a catalogue with the given number of targets."""
    document = msgspec.json.encode(make_document(target_count))
    seconds = []
    for number in range(_ROUND_COUNT):
        started_at = time.perf_counter()
        revise(number, 'bench', document).unwrap()
        seconds.append(time.perf_counter() - started_at)
    next_revision_us = measure_next_revision(target_count, document)
    tracemalloc.start()
    revision = revise(1, 'bench', document).unwrap()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'targets': len(revision.catalogue.targets),
        'document_bytes': len(document),
        'held_bytes': held_bytes,
        'read_us': round(sorted(seconds)[_ROUND_COUNT // 2] * 1_000_000),
        'next_us': next_revision_us,
    }


def measure_next_revision(target_count: int, document: bytes) -> int:
    """Measure reading a revision in which only one key has changed."""
    revision = revise(0, 'bench', document).unwrap()
    changed = msgspec.json.encode(change_key(make_document(target_count)))
    seconds = []
    for number in range(_ROUND_COUNT):
        started_at = time.perf_counter()
        revise_after(revision, number, 'bench', changed).unwrap()
        seconds.append(time.perf_counter() - started_at)
    return round(sorted(seconds)[_ROUND_COUNT // 2] * 1_000_000)


def change_key(document: dict[str, Any]) -> dict[str, Any]:
    """Return the document with a different digest for its first key."""
    key = {**document['keys']['key-0'], 'digest': 'f' * 64}
    return {**document, 'keys': {**document['keys'], 'key-0': key}}


def make_document(target_count: int) -> dict[str, Any]:
    """Return a catalogue with 72 zones in 29 regions and some targets."""
    zones = {
        f'zone-{number}': {
            'region': f'region-{number % 29}',
            'fraction': 1 / 72,
        }
        for number in range(72)
    }
    targets = {
        f'target-{number}': {
            'zone': f'zone-{number % 72}',
            'service': f'service-{number % 20}',
            'address': f'127.1.{number // 250}.{number % 250}:9000',
            'slots': 9,
            'connections': 800,
        }
        for number in range(target_count)
    }
    teams = {
        f'team-{number}': {'rate': 50, 'burst': 100}
        for number in range(int(target_count * _TEAMS_PER_TARGET))
    }
    keys = {
        f'key-{number}': {
            'team': f'team-{number % len(teams)}',
            'digest': f'{number:064x}',
        }
        for number in range(len(teams) * 2)
    }
    routes = [
        {
            'path': f'/route-{number}',
            'owner': 'owner',
            'service': f'service-{number}',
            'kind': 'read',
        }
        for number in range(20)
    ]
    return {
        'zones': zones,
        'targets': targets,
        'routes': routes,
        'teams': teams,
        'keys': keys,
    }
