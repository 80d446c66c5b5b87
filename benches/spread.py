"""Time from an accepted change to its being in force on every VM."""

import argparse
import json
import random
import statistics
import threading
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any, Final

import urllib3

from standins.fleet import EntryVm, Fleet, wait_until

_EXAMPLE: Final = Path(__file__).parent.parent / 'examples' / 'demo.jsonc'
_VMS_PER_ZONE: Final = 4
_CHANGES: Final = 20
_WITHDRAWALS: Final = 5
_POLL_SECONDS: Final = 0.01
_HEADERS: Final = {'Authorization': 'Bearer demo-operator-token'}
_ADMIN: Final = '/.toucanhall/admin/v1'


def main(arguments: Sequence[str]) -> int:
    """Run the measurement and print a line of JSON at its end."""
    parser = argparse.ArgumentParser(prog='bench spread')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    chance = random.Random(options.seed)
    fleet = Fleet(catalogue=_EXAMPLE, vms_per_zone=_VMS_PER_ZONE)
    try:
        fleet.start()
        fleet.apply()
        time.sleep(5)
        before = read_calls(fleet)
        started = time.monotonic()
        spread = [
            measure_change(fleet, chance.choice(fleet.vms), number)
            for number in range(_CHANGES)
        ]
        spent = time.monotonic() - started
        calls = sum(read_calls(fleet).values()) - sum(before.values())
        last = [
            measure_withdrawal(fleet, chance, number)
            for number in range(_WITHDRAWALS)
        ]
    finally:
        fleet.stop()
    result = {
        'vms': len(fleet.vms),
        'in_force_s': summarise(spread),
        'last_served_s': summarise(last),
        'store_calls_s': round(calls / spent, 1),
    }
    print(json.dumps(result))
    return 0


def summarise(seconds: list[float]) -> dict[str, Any]:
    """Return the median and the worst of some times."""
    return {
        'count': len(seconds),
        'median': round(statistics.median(seconds), 3),
        'worst': round(max(seconds), 3),
    }


def read_calls(fleet: Fleet) -> dict[str, int]:
    """Return how often the platform was called, by kind."""
    response = fleet.http.request('GET', f'{fleet.platform}/standin/calls')
    return dict(response.json())


def show(http: urllib3.PoolManager, vm: EntryVm) -> dict[str, Any]:
    """Return the catalogue in force on a VM."""
    url = f'{vm.url}{_ADMIN}/catalogue'
    return dict(http.request('GET', url, headers=_HEADERS).json())


def measure_change(fleet: Fleet, vm: EntryVm, number: int) -> float:
    """Change the catalogue at one VM; return seconds until all have it."""
    shown = show(fleet.http, vm)
    document = {**shown['catalogue'], 'hold_seconds': 3 + number / 100}
    response = fleet.http.request(
        'PUT',
        f'{vm.url}{_ADMIN}/catalogue',
        body=json.dumps(document),
        headers={**_HEADERS, 'If-Match': f'"{shown["revision"]}"'},
    )
    accepted_at = time.monotonic()
    if response.status != 200:
        raise RuntimeError(f'{vm.name}: {response.data!r}')
    wanted = response.json()['accepted']
    taken_at = [0.0] * len(fleet.vms)

    def follow(place: int) -> None:
        while show(fleet.http, fleet.vms[place])['revision'] < wanted:
            time.sleep(_POLL_SECONDS)
        taken_at[place] = time.monotonic()

    run_all(follow, len(fleet.vms))
    print(f'{vm.name}: {max(taken_at) - accepted_at:.3f} s', flush=True)
    return max(0.0, max(taken_at) - accepted_at)


def measure_withdrawal(
    fleet: Fleet,
    chance: random.Random,
    number: int,
) -> float:
    """Withdraw a key; return seconds to the last request served with it."""
    name = f'bench-{number}'
    vm = chance.choice(fleet.vms)
    granted = fleet.run_command(
        'key-grant', name, '--team=hostels', f'--at={vm.url}',
    )  # fmt: skip
    key = json.loads(granted.stdout)['key']
    for each in fleet.vms:
        wait_until(
            partial(is_granted, fleet, each.url, key),
            f'key on {each.name}',
        )
    stopping = threading.Event()
    served_at = [0.0] * len(fleet.vms)

    def use(place: int) -> None:
        while not stopping.is_set():
            if call(fleet, fleet.vms[place].url, key) == 200:
                served_at[place] = time.monotonic()
            time.sleep(_POLL_SECONDS)

    threads = [
        threading.Thread(target=use, args=(place,))
        for place in range(len(fleet.vms))
    ]
    for thread in threads:
        thread.start()
    fleet.run_command('key-withdraw', name, f'--at={vm.url}')
    withdrawn_at = time.monotonic()
    time.sleep(3)
    stopping.set()
    for thread in threads:
        thread.join()
    return max(0.0, max(served_at) - withdrawn_at)


def call(fleet: Fleet, url: str, key: str) -> int:
    """Return the status of a request with a key."""
    headers = {'X-Api-Key': key}
    return fleet.http.request('GET', f'{url}/feed/x', headers=headers).status


def is_granted(fleet: Fleet, url: str, key: str) -> bool:
    """Return whether a VM knows a key."""
    return call(fleet, url, key) not in {401, 503}


def run_all(run: Any, count: int) -> None:
    """Run a function for each place, on threads of their own."""
    threads = [
        threading.Thread(target=run, args=(place,)) for place in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
