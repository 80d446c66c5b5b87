"""Tests of the choice of targets with real processes."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import urllib3

from standins.fleet import Fleet, wait_until

CATALOGUE_PATH = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'
MAX_REQUESTS_PER_TARGET = 9


@pytest.fixture(name='fleet')
def start_fleet():
    """Start two VMs per zone and wait until the first one advises four."""
    fleet = Fleet(catalogue=CATALOGUE_PATH, vms_per_zone=2)
    try:
        fleet.start()
        fleet.apply()
        wait_until(
            lambda: len(list_advised_vms(fleet)) == 4, 'advice of four VMs'
        )
        yield fleet
    finally:
        fleet.stop()


def list_advised_vms(fleet):
    """Return the entry VMs that the first VM advises."""
    url = f'{fleet.vms[0].url}/.toucanhall/entry-vms'
    return fleet.http.request('GET', url).json()['vms']


def fetch(url, path='/tours/x'):
    """Fetch a public route over a new connection."""
    return urllib3.request('GET', f'{url}{path}', retries=False, timeout=30)


def test_two_vms_never_overload_a_target(fleet):
    urls = [vm.url for vm in fleet.vms for _ in range(12)]
    with ThreadPoolExecutor(len(urls)) as pool:
        answers = list(
            pool.map(lambda url: fetch(url, '/tours/x?delay=.5'), urls)
        )
    peaks = {
        name: fleet.configure_target(name)['peak']
        for name in fleet.catalogue['targets']
        if name.startswith('guide')
    }
    assert max(peaks.values()) <= MAX_REQUESTS_PER_TARGET
    assert {answer.status for answer in answers} <= {200, 503}
    refused = [answer for answer in answers if answer.status == 503]
    assert all(answer.headers['Retry-After'] for answer in refused)


def test_killed_target_is_skipped(fleet):
    vm = next(vm for vm in fleet.vms if vm.zone == 'gauteng-a')
    fleet.kill('guide-1')
    wait_until(lambda: fetch(vm.url).status == 200, 'answer of another target')
    answers = [fetch(vm.url) for _ in range(20)]
    assert {answer.status for answer in answers} == {200}


def test_probe_closes_the_circuit_of_a_recovered_target(fleet):
    vm = next(vm for vm in fleet.vms if vm.zone == 'gauteng-a')
    fleet.configure_target('guide-1', mode='fail')
    wait_until(
        lambda: (
            fetch(vm.url).headers.get('Via')
            and fetch(vm.url).json().get('target') not in {None, 'guide-1'}
        ),
        'circuit open',
    )
    fleet.configure_target('guide-1', mode='well')
    wait_until(
        lambda: fetch(vm.url).json().get('target') == 'guide-1',
        'circuit closed',
        timeout_seconds=40,
    )
