"""Compares one entry VM with a plain relay that makes no decisions."""

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

_CATALOGUE_PATH: Final = (
    Path(__file__).parent.parent / 'examples' / 'bench.jsonc'
)
_CALLER_COUNTS: Final = (8, 32)
_LOAD_PROCESS_COUNT: Final = 4
_DEFAULT_ROUND_COUNT: Final = 5
_MEASURED_SECONDS: Final = 3.0
_WARM_UP_SECONDS: Final = 1.0
_MAX_LATENCY_US: Final = 60_000_000
_P99_PERCENT: Final = 99


class Measurement(NamedTuple):
    """Requests per second, and the 99th percentile of the latency."""

    requests_per_second: float
    p99_us: float


def main(arguments: Sequence[str]) -> int:
    """Run the benchmark and print its result as a line of JSON."""
    parser = argparse.ArgumentParser(prog='bench relay')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=_DEFAULT_ROUND_COUNT)
    options = parser.parse_args(arguments)
    fleet = Fleet(catalogue=_CATALOGUE_PATH)
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
    rng: random.Random,
    rounds: int,
) -> dict[str, Any]:
    """Measure both URLs in turn, in a random order in each round."""
    result: dict[str, Any] = {'ratio_rps': {}, 'ratio_p99': {}}
    for callers in _CALLER_COUNTS:
        measurements: dict[str, list[Measurement]] = {name: [] for name in urls}
        for _ in range(rounds):
            names = list(urls)
            rng.shuffle(names)
            for name in names:
                measurements[name].append(measure(urls[name], key, callers))
        medians = {
            name: Measurement(
                *(sorted(column)[rounds // 2] for column in zip(*found)),
            )
            for name, found in measurements.items()
        }
        for name, found in medians.items():
            print(
                f'{callers:>3} callers {name}: '
                f'{found.requests_per_second:.0f} requests/s, '
                f'p99 {found.p99_us / 1000:.2f} ms',
                flush=True,
            )
        entry, relay = medians['entry'], medians['relay']
        result['ratio_rps'][callers] = round(
            entry.requests_per_second / relay.requests_per_second, 3
        )
        result['ratio_p99'][callers] = round(entry.p99_us / relay.p99_us, 3)
    return result


def measure(url: str, key: str, callers: int) -> Measurement:
    """Measure one URL under closed-loop callers in several processes."""
    callers_per_process = callers // _LOAD_PROCESS_COUNT
    with multiprocessing.get_context('spawn').Pool(_LOAD_PROCESS_COUNT) as pool:
        recordings = pool.starmap(
            run_callers, [(url, key, callers_per_process)] * _LOAD_PROCESS_COUNT
        )
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for encoded, _count in recordings:
        histogram.add(HdrHistogram.decode(encoded))
    count = sum(count for _, count in recordings)
    return Measurement(
        count / _MEASURED_SECONDS,
        histogram.get_value_at_percentile(_P99_PERCENT),
    )


def run_callers(url: str, key: str, callers: int) -> tuple[bytes, int]:
    """Run callers as threads; return the latency histogram and count."""
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    with ThreadPoolExecutor(callers) as executor:
        latencies_us = [
            latency_us
            for future in [
                executor.submit(_send_requests, url, key)
                for _ in range(callers)
            ]
            for latency_us in future.result()
        ]
    for latency_us in latencies_us:
        histogram.record_value(latency_us)
    return histogram.encode(), len(latencies_us)


def _send_requests(url: str, key: str) -> list[int]:
    pool = urllib3.connection_from_url(url, maxsize=1)
    headers = {'X-Api-Key': key}
    latencies_us: list[int] = []
    measure_from = time.monotonic() + _WARM_UP_SECONDS
    stop_at = measure_from + _MEASURED_SECONDS
    while (started_at := time.monotonic()) < stop_at:
        response = pool.request('GET', '/feed/x', headers=headers)
        if response.status != 200:
            raise RuntimeError(
                f'{url} answered {response.status}: {response.data!r}'
            )
        ended_at = time.monotonic()
        if started_at > measure_from:
            latencies_us.append(int((ended_at - started_at) * 1_000_000))
    return latencies_us
