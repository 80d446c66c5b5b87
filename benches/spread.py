"""Time from the acceptance of a change until all VMs apply it."""

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

_CATALOGUE_PATH: Final = (
    Path(__file__).parent.parent / 'examples' / 'demo.jsonc'
)
_VMS_PER_ZONE: Final = 4
_CHANGE_COUNT: Final = 20
_WITHDRAWAL_COUNT: Final = 5
_POLL_SECONDS: Final = 0.01
_ADMIN_HEADERS: Final = {'Authorization': 'Bearer demo-operator-token'}
_ADMIN_PATH: Final = '/.toucanhall/admin/v1'


def main(arguments: Sequence[str]) -> int:
    """Run the benchmark and print its result as a line of JSON."""
    parser = argparse.ArgumentParser(prog='bench spread')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    rng = random.Random(options.seed)
    fleet = Fleet(catalogue=_CATALOGUE_PATH, vms_per_zone=_VMS_PER_ZONE)
    try:
        fleet.start()
        fleet.apply()
        time.sleep(5)
        calls_before = read_calls(fleet)
        started_at = time.monotonic()
        apply_seconds = [
            measure_change(fleet, rng.choice(fleet.vms), number)
            for number in range(_CHANGE_COUNT)
        ]
        elapsed_seconds = time.monotonic() - started_at
        calls = sum(read_calls(fleet).values()) - sum(calls_before.values())
        withdrawal_seconds = [
            measure_withdrawal(fleet, rng, number)
            for number in range(_WITHDRAWAL_COUNT)
        ]
    finally:
        fleet.stop()
    result = {
        'vms': len(fleet.vms),
        'in_force_s': summarise(apply_seconds),
        'last_served_s': summarise(withdrawal_seconds),
        'store_calls_s': round(calls / elapsed_seconds, 1),
    }
    print(json.dumps(result))
    return 0


def summarise(seconds: list[float]) -> dict[str, Any]:
    """Return the count, median and maximum of some durations."""
    return {
        'count': len(seconds),
        'median': round(statistics.median(seconds), 3),
        'worst': round(max(seconds), 3),
    }


def read_calls(fleet: Fleet) -> dict[str, int]:
    """Return the number of calls to the platform, by kind."""
    response = fleet.http.request('GET', f'{fleet.platform}/standin/calls')
    return dict(response.json())


def get_catalogue(http: urllib3.PoolManager, vm: EntryVm) -> dict[str, Any]:
    """Return the catalogue in force on a VM, with its revision."""
    url = f'{vm.url}{_ADMIN_PATH}/catalogue'
    return dict(http.request('GET', url, headers=_ADMIN_HEADERS).json())


def measure_change(fleet: Fleet, vm: EntryVm, number: int) -> float:
    """Change the catalogue at one VM; return seconds until all apply it."""
    current = get_catalogue(fleet.http, vm)
    document = {**current['catalogue'], 'hold_seconds': 3 + number / 100}
    response = fleet.http.request(
        'PUT',
        f'{vm.url}{_ADMIN_PATH}/catalogue',
        body=json.dumps(document),
        headers={**_ADMIN_HEADERS, 'If-Match': f'"{current["revision"]}"'},
    )
    accepted_at = time.monotonic()
    if response.status != 200:
        raise RuntimeError(
            f'{vm.name} refused the catalogue: {response.data!r}'
        )
    accepted_revision = response.json()['accepted']
    applied_at = [0.0] * len(fleet.vms)

    def wait_for_revision(index: int) -> None:
        while (
            get_catalogue(fleet.http, fleet.vms[index])['revision']
            < accepted_revision
        ):
            time.sleep(_POLL_SECONDS)
        applied_at[index] = time.monotonic()

    run_in_threads(wait_for_revision, len(fleet.vms))
    print(f'{vm.name}: {max(applied_at) - accepted_at:.3f} s', flush=True)
    return max(0.0, max(applied_at) - accepted_at)


def measure_withdrawal(
    fleet: Fleet,
    rng: random.Random,
    number: int,
) -> float:
    """Withdraw a key; return seconds until the last request served with it."""
    name = f'bench-{number}'
    vm = rng.choice(fleet.vms)
    granted = fleet.run_command(
        'key-grant', name, '--team=hostels', f'--at={vm.url}',
    )  # fmt: skip
    key = json.loads(granted.stdout)['key']
    for other_vm in fleet.vms:
        wait_until(
            partial(is_granted, fleet, other_vm.url, key),
            f'acceptance of the key by {other_vm.name}',
        )
    stop_event = threading.Event()
    served_at = [0.0] * len(fleet.vms)

    def send_requests(index: int) -> None:
        while not stop_event.is_set():
            if get_status(fleet, fleet.vms[index].url, key) == 200:
                served_at[index] = time.monotonic()
            time.sleep(_POLL_SECONDS)

    threads = [
        threading.Thread(target=send_requests, args=(index,))
        for index in range(len(fleet.vms))
    ]
    for thread in threads:
        thread.start()
    fleet.run_command('key-withdraw', name, f'--at={vm.url}')
    withdrawn_at = time.monotonic()
    time.sleep(3)
    stop_event.set()
    for thread in threads:
        thread.join()
    return max(0.0, max(served_at) - withdrawn_at)


def get_status(fleet: Fleet, url: str, key: str) -> int:
    """Send a request with a key and return the status."""
    headers = {'X-Api-Key': key}
    return fleet.http.request('GET', f'{url}/feed/x', headers=headers).status


def is_granted(fleet: Fleet, url: str, key: str) -> bool:
    """Return whether a VM accepts a key."""
    return get_status(fleet, url, key) not in {401, 503}


def run_in_threads(task: Any, count: int) -> None:
    """Run a function for each index, each on its own thread."""
    threads = [
        threading.Thread(target=task, args=(index,)) for index in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
