"""Tests of the limit across all VMs, through real processes and faults."""

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

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'
RATE = 40
BURST = 80
VMS_PER_ZONE = 3
PATIENCE = 60


@pytest.fixture(name='fleet')
def start_fleet(request, tmp_path) -> Iterator[Fleet]:
    """Start two zones of three VMs with a small limit in force."""
    fleet = Fleet(
        catalogue=write_example(tmp_path),
        vms_per_zone=VMS_PER_ZONE,
        relayed=getattr(request, 'param', False),
    )
    try:
        fleet.start()
        fleet.apply()
        yield fleet
    finally:
        fleet.stop()


def write_example(folder):
    """Write the demo's catalogue with two zones and a small limit."""
    lines = EXAMPLE.read_text().splitlines()
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
    catalogue['teams'] = {'hostels': {'rate': RATE, 'burst': BURST}}
    path = folder / 'limits.jsonc'
    path.write_text(json.dumps(catalogue))
    return path


@pytest.fixture(name='key')
def grant_key(fleet: Fleet) -> str:
    """Grant a key of the team."""
    done = fleet.run_command(
        'key-grant', 'tests-key', '--team=hostels', f'--at={fleet.vms[0].url}',
    )  # fmt: skip
    return json.loads(done.stdout)['key']


class Hammer:
    """Callers that ask one VM each, without a pause, until stopped."""

    def __init__(self, *, fleet, key):
        """Start a caller for each VM."""
        self.stopping = threading.Event()
        self.started = time.monotonic()
        self.admitted = dict.fromkeys((vm.name for vm in fleet.vms), 0)
        self.threads = [
            threading.Thread(target=self.ask, args=(vm, key), daemon=True)
            for vm in fleet.vms
        ]
        for thread in self.threads:
            thread.start()

    def ask(self, vm, key):
        """GiftRequest one VM over and over."""
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
        """Wait until some VMs have each admitted more requests."""
        goals = {vm.name: self.admitted[vm.name] + count for vm in vms}
        for name, goal in goals.items():
            wait_until(
                lambda name=name, goal=goal: self.admitted[name] >= goal,
                f'{name} admits',
                PATIENCE,
            )

    def stop(self):
        """Stop every caller and return the bound on what was admitted."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return BURST + RATE * (time.monotonic() - self.started)


@pytest.fixture(name='hammer')
def start_hammer(fleet, key):
    """Start the callers."""
    hammer = Hammer(fleet=fleet, key=key)
    yield hammer
    hammer.stop()


def count_run(fleet):
    """Count what ran on the targets."""
    return len(fleet.read_journals())


def is_taken(fleet, holder):
    """Return whether a VM lost all of its slots in the table."""
    holdings = read_table(fleet, holder.zone)[0]
    return holder.name not in {held[0] for held in holdings.values()}


def read_table(fleet, zone):
    """Return the slot table of a zone."""
    answer = fleet.http.request('GET', f'{fleet.platform}/objects/slots/{zone}')
    return json.loads(answer.data or b'[{}]')


def list_vms_without(fleet, missing):
    """Tell the platform's list to drop a VM."""
    kept = [
        (vm.name, vm.zone, vm.address, False)
        for vm in fleet.vms
        if vm != missing
    ]
    zones = fleet.catalogue['zones']
    fleet.switch('vms', dict.fromkeys(zones, kept))


def test_team_gets_no_more_than_its_limit_of_all_vms(fleet, hammer):
    hammer.wait_for(fleet.vms)
    bound = hammer.stop()
    assert count_run(fleet) <= bound


def test_limit_holds_across_a_kill_and_restart(fleet, hammer):
    victim = fleet.vms[0]
    hammer.wait_for(fleet.vms)
    fleet.kill(victim.name)
    fleet.start_vm(victim)
    hammer.wait_for(fleet.vms)
    bound = hammer.stop()
    assert count_run(fleet) <= bound


def test_limit_holds_while_a_paused_holder_loses_its_slots(fleet, hammer):
    victim, *others = fleet.vms[:VMS_PER_ZONE]
    hammer.wait_for(fleet.vms)
    fleet.signal(victim.name, signal.SIGSTOP)
    list_vms_without(fleet, victim)
    wait_until(
        lambda: is_taken(fleet, victim), 'takeover', PATIENCE,
    )  # fmt: skip
    hammer.wait_for(others)
    fleet.signal(victim.name, signal.SIGCONT)
    fleet.list_vms()
    hammer.wait_for(fleet.vms)
    bound = hammer.stop()
    assert count_run(fleet) <= bound


def test_limit_holds_and_serving_goes_on_without_the_platform(fleet, hammer):
    hammer.wait_for(fleet.vms)
    fleet.switch('mode', 'down')
    hammer.wait_for(fleet.vms, count=40)
    fleet.switch('mode', 'up')
    hammer.wait_for(fleet.vms)
    bound = hammer.stop()
    assert count_run(fleet) <= bound


def test_every_slot_of_a_zone_is_held(fleet):
    size = make_catalogue().slots_per_zone
    for vm in fleet.vms:
        wait_until(
            lambda zone=vm.zone: len(read_table(fleet, zone)[0]) == size,
            f'slots of {vm.zone} held',
        )


@pytest.mark.parametrize('fleet', [True], indirect=True)
def test_zone_that_is_cut_off_serves_its_part(fleet, hammer):
    cut = [vm for vm in fleet.vms if vm.zone == fleet.vms[0].zone]
    hammer.wait_for(fleet.vms)
    fleet.set_zone(cut[0].zone, 'cut')
    hammer.wait_for(cut, count=60)
    fleet.set_zone(cut[0].zone, 'open')
    hammer.wait_for(fleet.vms)
    bound = hammer.stop()
    assert count_run(fleet) <= bound
