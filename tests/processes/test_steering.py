"""Tests of the choice of targets through real processes."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import urllib3

from standins.fleet import Fleet, wait_until

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'
SLOTS = 9


@pytest.fixture(name='fleet')
def start_fleet():
    """Start a fleet with two VMs in each zone, which know each other."""
    fleet = Fleet(catalogue=EXAMPLE, vms_per_zone=2)
    try:
        fleet.start()
        fleet.apply()
        wait_until(lambda: len(list_advised(fleet)) == 4, 'advice')
        yield fleet
    finally:
        fleet.stop()


def list_advised(fleet):
    """Return the VMs that the first VM advises."""
    url = f'{fleet.vms[0].url}/.toucanhall/entry-vms'
    return fleet.http.request('GET', url).json()['vms']


def fetch(url, path='/tours/x'):
    """Fetch a public route on a connection of its own."""
    return urllib3.request('GET', f'{url}{path}', retries=False, timeout=30)


def test_two_vms_never_overload_a_target(fleet):
    urls = [vm.url for vm in fleet.vms for _ in range(12)]
    with ThreadPoolExecutor(len(urls)) as pool:
        answers = list(
            pool.map(lambda url: fetch(url, '/tours/x?delay=.5'), urls)
        )
    peaks = {
        name: fleet.switch_target(name)['peak']
        for name in fleet.catalogue['targets']
        if name.startswith('guide')
    }
    assert max(peaks.values()) <= SLOTS
    assert {answer.status for answer in answers} <= {200, 503}
    refused = [answer for answer in answers if answer.status == 503]
    assert all(answer.headers['Retry-After'] for answer in refused)


def test_dead_target_is_passed_over(fleet):
    vm = next(vm for vm in fleet.vms if vm.zone == 'gauteng-a')
    fleet.kill('guide-1')
    wait_until(lambda: fetch(vm.url).status == 200, 'another zone answers')
    answers = [fetch(vm.url) for _ in range(20)]
    assert {answer.status for answer in answers} == {200}


def test_target_comes_back_by_a_probe(fleet):
    vm = next(vm for vm in fleet.vms if vm.zone == 'gauteng-a')
    fleet.switch_target('guide-1', mode='fail')
    wait_until(
        lambda: (
            fetch(vm.url).headers.get('Via')
            and fetch(vm.url).json().get('target') not in {None, 'guide-1'}
        ),
        'circuit open',
    )
    fleet.switch_target('guide-1', mode='well')
    wait_until(
        lambda: fetch(vm.url).json().get('target') == 'guide-1',
        'circuit closed',
        seconds=40,
    )
