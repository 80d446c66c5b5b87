"""Tests of membership with real processes."""

import signal
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from standins.fleet import Fleet, wait_until

CATALOGUE_PATH = Path(__file__).parents[2] / 'examples' / 'bench.jsonc'
STATUS_PATH = '/.toucanhall/admin/v1/status'
MAX_LOG_BYTES = 2000  # per VM, in the notes of a failure
HEADERS = {'Authorization': 'Bearer demo-operator-token'}


@pytest.fixture(scope='module', name='fleet')
def start_fleet() -> Iterator[Fleet]:
    """Start five VMs in one zone and wait until all see each other alive."""
    fleet = Fleet(catalogue=CATALOGUE_PATH, vms_per_zone=5)
    try:
        fleet.start()
        fleet.apply()
        wait_until_all_alive(fleet)
        yield fleet
    finally:
        fleet.stop()


def wait_until_all_alive(fleet):
    """Wait until each VM has the other four as alive.

    A failure lists what every VM reports, with the end of its log.
    """
    for vm in fleet.vms:
        try:
            wait_until(
                partial(has_health_count, fleet, vm, 'alive', 4),
                f'{vm.name} has four VMs as alive',
            )
        except TimeoutError as error:
            for other in fleet.vms:
                error.add_note(f'{other.name} {read_health(fleet, other)}')
                error.add_note(fleet.read_log(other.name)[-MAX_LOG_BYTES:])
            raise


def read_health(fleet, vm):
    """Return the health of each other VM as one VM reports it."""
    response = fleet.http.request(
        'GET', f'{vm.url}{STATUS_PATH}', headers=HEADERS
    )
    return {
        member['vm']: member['health'] for member in response.json()['members']
    }


def has_health_count(fleet, vm, health, count):
    """Return whether a VM reports this health for exactly `count` others."""
    return list(read_health(fleet, vm).values()).count(health) == count


def test_killed_vm_is_suspected_by_all_and_alive_after_its_restart(fleet):
    *others, killed = fleet.vms
    fleet.kill(killed.name)
    for vm in others:
        wait_until(
            partial(has_health_count, fleet, vm, 'suspected', 1), 'suspicion'
        )
        assert read_health(fleet, vm)[killed.name] == 'suspected'
    fleet.start_vm(killed)
    for vm in others:
        wait_until(partial(has_health_count, fleet, vm, 'alive', 4), 'return')


def test_paused_vm_suspects_nobody_when_it_resumes(fleet):
    *others, paused = fleet.vms
    fleet.signal(paused.name, signal.SIGSTOP)
    for vm in others:
        wait_until(
            partial(has_health_count, fleet, vm, 'suspected', 1), 'suspicion'
        )
    fleet.signal(paused.name, signal.SIGCONT)
    for vm in others:
        wait_until(partial(has_health_count, fleet, vm, 'alive', 4), 'return')
    log = fleet.read_log(paused.name)
    assert '"event": 401' not in log


def test_leaving_vm_is_known_to_all_as_leaving(fleet):
    leaving, *others = fleet.vms
    fleet.signal(leaving.name, signal.SIGTERM)
    for vm in others:
        wait_until(
            partial(has_health_count, fleet, vm, 'leaving', 1), 'leaving'
        )
