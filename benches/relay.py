"""One entry VM against a relay with no decisions, in one run."""

import argparse
import json
import multiprocessing
import random
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final, NamedTuple

import urllib3
from hdrh.histogram import HdrHistogram

from standins.fleet import Fleet

_EXAMPLE: Final = Path(__file__).parent.parent / 'examples' / 'bench.jsonc'
_CALLERS: Final = (8, 32)
_LOADERS: Final = 4
_ROUNDS: Final = 5
_SECONDS: Final = 3.0
_WARM_SECONDS: Final = 1.0
_LARGEST_US: Final = 60_000_000
_P99: Final = 99


class Measured(NamedTuple):
    """Requests per second and the 99th percentile in microseconds."""

    rps: float
    p99: float


def main(arguments: Sequence[str]) -> int:
    """Run the measurement and print a line of JSON at its end."""
    parser = argparse.ArgumentParser(prog='bench relay')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=_ROUNDS)
    options = parser.parse_args(arguments)
    fleet = Fleet(catalogue=_EXAMPLE)
    try:
        fleet.start()
        fleet.apply()
        key = fleet.grant('bench', 'hostels')
        relay = fleet.start_bare('feed-1')
        time.sleep(4)
        result = measure_all(
            {'entry': fleet.vms[0].url, 'relay': relay},
            key,
            random.Random(options.seed),
            options.rounds,
        )
    finally:
        fleet.stop()
    print(json.dumps(result))
    return 0


def measure_all(
    urls: dict[str, str],
    key: str,
    chance: random.Random,
    rounds: int,
) -> dict[str, Any]:
    """Measure both in turns, in an order that the seed decides."""
    result: dict[str, Any] = {'ratio_rps': {}, 'ratio_p99': {}}
    for callers in _CALLERS:
        measured: dict[str, list[Measured]] = {name: [] for name in urls}
        for _ in range(rounds):
            names = list(urls)
            chance.shuffle(names)
            for name in names:
                measured[name].append(measure(urls[name], key, callers))
        medians = {
            name: Measured(
                *(sorted(column)[rounds // 2] for column in zip(*found)),
            )
            for name, found in measured.items()
        }
        for name, found in medians.items():
            print(f'{callers:>3} callers {name}: {found.rps:.0f} requests/s, '
                  f'p99 {found.p99 / 1000:.2f} ms', flush=True)  # fmt: skip
        entry, relay = medians['entry'], medians['relay']
        result['ratio_rps'][callers] = round(entry.rps / relay.rps, 3)
        result['ratio_p99'][callers] = round(entry.p99 / relay.p99, 3)
    return result


def measure(url: str, key: str, callers: int) -> Measured:
    """Let closed-loop callers ask one URL for a while."""
    share = callers // _LOADERS
    with multiprocessing.get_context('spawn').Pool(_LOADERS) as pool:
        loads = pool.starmap(load, [(url, key, share)] * _LOADERS)
    histogram = HdrHistogram(1, _LARGEST_US, 3)
    for encoded, _count in loads:
        histogram.add(HdrHistogram.decode(encoded))
    count = sum(count for _, count in loads)
    return Measured(
        count / _SECONDS,
        histogram.get_value_at_percentile(_P99),
    )


def load(url: str, key: str, callers: int) -> tuple[bytes, int]:
    """Run some callers as threads of this process."""
    histogram = HdrHistogram(1, _LARGEST_US, 3)
    with ThreadPoolExecutor(callers) as executor:
        times = [
            found
            for future in [
                executor.submit(_call, url, key) for _ in range(callers)
            ]
            for found in future.result()
        ]
    for spent in times:
        histogram.record_value(spent)
    return histogram.encode(), len(times)


def _call(url: str, key: str) -> list[int]:
    pool = urllib3.connection_from_url(url, maxsize=1)
    headers = {'X-Api-Key': key}
    spent: list[int] = []
    warm_until = time.monotonic() + _WARM_SECONDS
    until = warm_until + _SECONDS
    while (started := time.monotonic()) < until:
        response = pool.request('GET', '/feed/x', headers=headers)
        if response.status != 200:
            raise RuntimeError(f'{url}: {response.status} {response.data!r}')
        ended = time.monotonic()
        if started > warm_until:
            spent.append(int((ended - started) * 1_000_000))
    return spent
