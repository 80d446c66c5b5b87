"""The store comes back from a copy that is some seconds old.

Failures that they guard against: a confirmed change that was lost with the
store is undone, and changes after it are taken for older ones.
"""

import signal
import time

import pytest

from standins.site.deployment import Deployment, wait_until
from standins.site.documents import KEY, make_configuration, make_rule

NETWORK_OCTET = 68
ZONES = {'vm-1': 'east-a', 'vm-2': 'east-a', 'vm-3': 'west-a'}
# Bounds of the deployments, from the acknowledgement of the store.
APPLY_SECONDS = 2.5
EVACUATE_SECONDS = 5.0
DRAIN_SECONDS = 2.5
OUTAGE_SECONDS = 1.0
# Operators and targets have written again what was lost by then.
REWRITE_SECONDS = 2.0
OTHER_KEY = 'other-key'


class RestoredDeployment(Deployment):
    """A deployment whose store comes back from copies."""

    def __init__(self):
        super().__init__(network_octet=NETWORK_OCTET)
        self.copy = None

    def save_copy(self):
        self.copy = self.store.make_copy()

    def restore(self, *, seconds=OUTAGE_SECONDS):
        """Be away for some seconds and come back from the copy."""
        self.call_in_loop(self.store.set_fault, lambda _request: 503)
        time.sleep(seconds)
        self.call_in_loop(self.store.restore, self.copy)
        self.call_in_loop(self.store.set_fault, lambda _request: None)

    def configure(self, version, *, keys=(KEY,), prefixes=('/view/',)):
        team = {'name': 'guides', 'api_keys': list(keys), 'rate_per_s': 0}
        rules = [make_rule(prefix) for prefix in prefixes]
        self.write(
            'config',
            'main',
            make_configuration(version, rules=rules, teams=[team]),
        )

    def list_statuses(self, **fields):
        return {self.request(vm, **fields).status for vm in ZONES}

    def wait_statuses(self, expected, seconds=APPLY_SECONDS, **fields):
        wait_until(
            lambda: self.list_statuses(**fields) == {expected},
            f'all VMs answer {expected}',
            timeout_seconds=seconds,
        )

    def watch_statuses(self, expected, seconds, **fields):
        """Check for some seconds that all VMs answer with one status."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            assert self.list_statuses(**fields) == {expected}
            time.sleep(0.05)

    def list_answering_targets(self):
        """Return the targets that answer requests for eight objects."""
        return {
            self.request(vm, affinity_key=str(number)).body.split()[0]
            for vm in ZONES
            for number in range(8)
        }

    def wait_targets(self, expected, seconds):
        wait_until(
            lambda: self.list_answering_targets() == expected,
            f'requests go to {expected}',
            timeout_seconds=seconds,
        )

    def watch_targets(self, expected, seconds):
        """Check for some seconds that requests go to no other targets."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            assert self.list_answering_targets() <= expected


@pytest.fixture
def deployment():
    with RestoredDeployment() as deployment:
        deployment.add_target('t1', 'east-a')
        deployment.add_target('t2', 'west-a')
        for vm, zone in ZONES.items():
            deployment.start_vm(vm, zone)
        deployment.wait_ready()
        deployment.wait_watching('vm-1', 'vm-3')
        assert deployment.list_statuses() == {200}
        yield deployment


def test_change_after_a_restore_is_in_force(deployment):
    deployment.save_copy()
    for version in (10, 11, 12):
        deployment.configure(version)
        time.sleep(0.3)
    deployment.restore()
    deployment.configure(12)
    time.sleep(REWRITE_SECONDS)
    deployment.configure(13, prefixes=('/view/', '/new/'))
    deployment.wait_statuses(200, path='/new/1')


def test_change_after_two_restores_in_series_is_in_force(deployment):
    deployment.save_copy()
    for version in (10, 11, 12):
        deployment.configure(version)
    time.sleep(0.5)
    deployment.restore()
    deployment.configure(12)
    time.sleep(0.3)
    deployment.restore(seconds=0.5)
    deployment.configure(12)
    time.sleep(REWRITE_SECONDS)
    deployment.configure(13, keys=(OTHER_KEY,))
    deployment.wait_statuses(401)


def test_key_withdrawn_in_the_lost_seconds_stays_withdrawn(deployment):
    deployment.save_copy()
    deployment.configure(10, keys=(OTHER_KEY,))
    deployment.wait_statuses(401)
    deployment.restore()
    deployment.watch_statuses(401, REWRITE_SECONDS)
    deployment.configure(10, keys=(OTHER_KEY,))
    deployment.watch_statuses(401, 1.0)


def test_vm_that_starts_from_the_copy_learns_of_withdrawn_keys(deployment):
    deployment.save_copy()
    deployment.configure(10, keys=(OTHER_KEY,))
    deployment.wait_statuses(401)
    deployment.restore()
    deployment.signal_vm('vm-2', signal.SIGKILL)
    deployment.vms['vm-2'].wait()
    deployment.start_vm('vm-2', 'east-a')
    deployment.wait_ready('vm-2')
    deployment.wait_statuses(401)
    deployment.watch_statuses(401, REWRITE_SECONDS)


@pytest.mark.parametrize('is_rewritten', (True, False))
def test_target_draining_in_the_lost_seconds_gets_no_requests(
    deployment, is_rewritten
):
    deployment.save_copy()
    deployment.register('t1', state='draining', sequence=2)
    deployment.wait_targets({'t2'}, DRAIN_SECONDS)
    deployment.restore()
    deployment.watch_targets({'t2'}, REWRITE_SECONDS)
    if is_rewritten:
        deployment.register('t1', state='draining', sequence=3)
    deployment.watch_targets({'t2'}, 1.0)


def test_target_that_left_in_the_lost_seconds_gets_no_requests(deployment):
    deployment.save_copy()
    deployment.remove('servers', 't1')
    deployment.wait_targets({'t2'}, DRAIN_SECONDS)
    deployment.restore()
    deployment.watch_targets({'t2'}, REWRITE_SECONDS)
    deployment.remove('servers', 't1')
    deployment.watch_targets({'t2'}, 1.0)


def test_target_registered_in_the_lost_seconds_is_kept(deployment):
    deployment.remove('servers', 't1')
    deployment.wait_targets({'t2'}, DRAIN_SECONDS)
    deployment.save_copy()
    deployment.register('t1', sequence=5)
    deployment.wait_targets({'t1', 't2'}, APPLY_SECONDS)
    deployment.restore()
    end = time.monotonic() + REWRITE_SECONDS / 2
    while time.monotonic() < end:
        assert 't1' in deployment.list_answering_targets()
    deployment.register('t1', sequence=6)
    time.sleep(REWRITE_SECONDS)
    deployment.remove('servers', 't2')
    deployment.wait_targets({'t1'}, DRAIN_SECONDS)


def test_target_that_leaves_right_after_a_restore_gets_no_requests(deployment):
    deployment.remove('servers', 't1')
    deployment.wait_targets({'t2'}, DRAIN_SECONDS)
    deployment.save_copy()
    deployment.register('t1', sequence=5)
    deployment.wait_targets({'t1', 't2'}, APPLY_SECONDS)
    deployment.restore()
    deployment.remove('servers', 't2')
    left_at = time.monotonic()
    deployment.register('t1', sequence=6)
    remaining = left_at + DRAIN_SECONDS - time.monotonic()
    deployment.wait_targets({'t1'}, remaining)
    deployment.watch_statuses(200, REWRITE_SECONDS)


def test_target_that_starts_again_after_a_restore_is_used(deployment):
    deployment.save_copy()
    deployment.remove('servers', 't1')
    deployment.wait_targets({'t2'}, DRAIN_SECONDS)
    deployment.restore()
    deployment.register('t1', born=2, sequence=1)
    deployment.wait_targets({'t1', 't2'}, APPLY_SECONDS)


def test_zone_evacuated_in_the_lost_seconds_stays_evacuated(deployment):
    deployment.save_copy()
    deployment.write('evacuations', 'east-a', {})
    deployment.wait_targets({'t2'}, EVACUATE_SECONDS)
    deployment.restore()
    deployment.watch_targets({'t2'}, REWRITE_SECONDS)
    deployment.write('evacuations', 'east-a', {})
    deployment.watch_targets({'t2'}, EVACUATE_SECONDS)
    deployment.remove('evacuations', 'east-a')
    deployment.wait_targets({'t1', 't2'}, EVACUATE_SECONDS)


def test_zone_restored_in_the_lost_seconds_stays_restored(deployment):
    deployment.write('evacuations', 'east-a', {})
    deployment.wait_targets({'t2'}, EVACUATE_SECONDS)
    deployment.save_copy()
    deployment.remove('evacuations', 'east-a')
    deployment.wait_targets({'t1', 't2'}, EVACUATE_SECONDS)
    deployment.restore()
    end = time.monotonic() + REWRITE_SECONDS
    while time.monotonic() < end:
        assert 't1' in deployment.list_answering_targets()
    deployment.write('evacuations', 'east-a', {'again': 1})
    deployment.wait_targets({'t2'}, EVACUATE_SECONDS)


def test_vm_cut_off_during_a_restore_learns_of_changes_after_it(deployment):
    deployment.save_copy()
    for version in (10, 11, 12):
        deployment.configure(version)
    time.sleep(0.5)
    deployment.signal_vm('vm-3', signal.SIGSTOP)
    deployment.restore()
    deployment.configure(12)
    time.sleep(0.5)
    deployment.signal_vm('vm-3', signal.SIGCONT)
    deployment.configure(13, keys=(OTHER_KEY,))
    deployment.wait_statuses(401)


def test_entries_of_vms_are_written_again_after_a_restore(deployment):
    deployment.save_copy()
    deployment.start_vm('vm-4', 'east-a')
    deployment.wait_ready('vm-4')
    wait_until(
        lambda: 'vm-4' in deployment.store.objects['vms'],
        'the VM is registered in the store',
    )
    deployment.restore()
    wait_until(
        lambda: 'vm-4' in deployment.store.objects['vms'],
        'the VM is registered in the store again',
        timeout_seconds=5.0,
    )
