"""Tests of a team's limit over all VMs under faults, with real processes."""

import json
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from standins.fleet import Fleet, wait_until
from tests.builders import make_catalogue

CATALOGUE_PATH = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'
RATE_PER_SECOND = 40
BURST_REQUESTS = 80
VMS_PER_ZONE = 3
ADMISSION_TIMEOUT_SECONDS = 60


@pytest.fixture(name='fleet')
def start_fleet(request, tmp_path) -> Iterator[Fleet]:
    """Start a fleet of two zones with three VMs each and a small limit."""
    fleet = Fleet(
        catalogue=write_catalogue(tmp_path),
        vms_per_zone=VMS_PER_ZONE,
        relayed=getattr(request, 'param', False),
    )
    try:
        fleet.start()
        fleet.apply()
        yield fleet
    finally:
        fleet.stop()


def write_catalogue(folder):
    """Write the example catalogue with two zones and a small limit."""
    lines = CATALOGUE_PATH.read_text().splitlines()
    text = '\n'.join(line for line in lines if not line.startswith('//'))
    catalogue = json.loads(text)
    zones = ('gauteng-a', 'gauteng-b')
    catalogue['zones'] = {
        zone: {'region': 'gauteng', 'fraction': 0.5} for zone in zones
    }
    catalogue['targets'] = {
        name: target
        for name, target in catalogue['targets'].items()
        if target['zone'] in zones
    }
    catalogue['links'] = []
    catalogue['teams'] = {
        'hostels': {'rate': RATE_PER_SECOND, 'burst': BURST_REQUESTS}
    }
    path = folder / 'limits.jsonc'
    path.write_text(json.dumps(catalogue))
    return path


@pytest.fixture(name='key')
def grant_key(fleet: Fleet) -> str:
    """Grant a key for the team with the small limit."""
    done = fleet.run_command(
        'key-grant', 'tests-key', '--team=hostels', f'--at={fleet.vms[0].url}',
    )  # fmt: skip
    return json.loads(done.stdout)['key']


class LoadGenerator:
    """One caller per VM, which sends requests without a pause until stopped."""

    def __init__(self, *, fleet, key):
        """Start a thread for each VM."""
        self.stopping = threading.Event()
        self.started_at = time.monotonic()
        self.admitted = dict.fromkeys((vm.name for vm in fleet.vms), 0)
        self.threads = [
            threading.Thread(
                target=self.send_requests, args=(vm, key), daemon=True
            )
            for vm in fleet.vms
        ]
        for thread in self.threads:
            thread.start()

    def send_requests(self, vm, key):
        """Send requests to a VM and count those that it admits."""
        pool = urllib3.PoolManager(retries=False)
        while not self.stopping.wait(0.002):
            try:
                answer = pool.request(
                    'GET',
                    f'{vm.url}/feed/x',
                    headers={'X-Api-Key': key},
                    timeout=2,
                )
            except urllib3.exceptions.HTTPError:
                continue
            self.admitted[vm.name] += answer.status == 200

    def wait_for(self, vms, count=20):
        """Wait until each of some VMs has admitted `count` more requests."""
        goals = {vm.name: self.admitted[vm.name] + count for vm in vms}
        for name, goal in goals.items():
            wait_until(
                lambda name=name, goal=goal: self.admitted[name] >= goal,
                f'{name} admits {count} more requests',
                ADMISSION_TIMEOUT_SECONDS,
            )

    def stop(self):
        """Stop every caller and return the most requests the limit allows."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return BURST_REQUESTS + RATE_PER_SECOND * (
            time.monotonic() - self.started_at
        )


@pytest.fixture(name='load')
def start_load(fleet, key):
    """Run the load generator during a test."""
    load = LoadGenerator(fleet=fleet, key=key)
    yield load
    load.stop()


def count_executed(fleet):
    """Count the requests that ran on targets."""
    return len(fleet.read_journals())


def has_lost_slots(fleet, holder):
    """Return whether a VM holds no slot in its zone's table."""
    holdings = read_table(fleet, holder.zone)[0]
    return holder.name not in {held[0] for held in holdings.values()}


def read_table(fleet, zone):
    """Return the slot table of a zone."""
    answer = fleet.http.request('GET', f'{fleet.platform}/objects/slots/{zone}')
    return json.loads(answer.data or b'[{}]')


def publish_vms_without(fleet, missing):
    """Publish the list of VMs without one of them."""
    remaining_vms = [
        (vm.name, vm.zone, vm.address, False)
        for vm in fleet.vms
        if vm != missing
    ]
    zones = fleet.catalogue['zones']
    fleet.switch('vms', dict.fromkeys(zones, remaining_vms))


def test_team_limit_holds_over_all_vms(fleet, load):
    load.wait_for(fleet.vms)
    bound = load.stop()
    assert count_executed(fleet) <= bound


def test_limit_holds_across_a_kill_and_restart(fleet, load):
    killed = fleet.vms[0]
    load.wait_for(fleet.vms)
    fleet.kill(killed.name)
    fleet.start_vm(killed)
    load.wait_for(fleet.vms)
    bound = load.stop()
    assert count_executed(fleet) <= bound


def test_limit_holds_while_a_paused_holder_loses_its_slots(fleet, load):
    paused, *others = fleet.vms[:VMS_PER_ZONE]
    load.wait_for(fleet.vms)
    fleet.signal(paused.name, signal.SIGSTOP)
    publish_vms_without(fleet, paused)
    wait_until(
        lambda: has_lost_slots(fleet, paused),
        f'slots of {paused.name} taken over',
        ADMISSION_TIMEOUT_SECONDS,
    )
    load.wait_for(others)
    fleet.signal(paused.name, signal.SIGCONT)
    fleet.publish_vms()
    load.wait_for(fleet.vms)
    bound = load.stop()
    assert count_executed(fleet) <= bound


def test_limit_holds_and_requests_pass_without_the_platform(fleet, load):
    load.wait_for(fleet.vms)
    fleet.switch('mode', 'down')
    load.wait_for(fleet.vms, count=40)
    fleet.switch('mode', 'up')
    load.wait_for(fleet.vms)
    bound = load.stop()
    assert count_executed(fleet) <= bound


def test_every_slot_of_a_zone_is_held(fleet):
    size = make_catalogue().slots_per_zone
    for vm in fleet.vms:
        wait_until(
            lambda zone=vm.zone: len(read_table(fleet, zone)[0]) == size,
            f'slots of {vm.zone} held',
        )


@pytest.mark.parametrize('fleet', [True], indirect=True)
def test_isolated_zone_serves_its_share(fleet, load):
    isolated = [vm for vm in fleet.vms if vm.zone == fleet.vms[0].zone]
    load.wait_for(fleet.vms)
    fleet.set_zone(isolated[0].zone, 'cut')
    load.wait_for(isolated, count=60)
    fleet.set_zone(isolated[0].zone, 'open')
    load.wait_for(fleet.vms)
    bound = load.stop()
    assert count_executed(fleet) <= bound
