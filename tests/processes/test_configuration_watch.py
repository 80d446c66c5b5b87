"""Configurations that change while VMs that watch the store are disturbed.

Failure that they guard against: a change that the store has confirmed comes
into force late, as no VM that could read it asks for it.
"""

import signal
import time

import pytest

from standins.site.deployment import Deployment, wait_until
from standins.site.documents import make_configuration
from standins.soak.links import LinkProxy

NETWORK_OCTET = 67
STORE_PORT = 8382
ZONES = {
    'vm-1': 'east-a',
    'vm-2': 'east-a',
    'vm-3': 'east-a',
    'vm-4': 'west-a',
    'vm-5': 'west-a',
}
WATCHERS = ('vm-1', 'vm-4')  # the first VM of each zone
# Bounds of the deployments: from the acknowledgement of the store; added while
# the store serves only some VMs; after the end of a disturbance.
APPLY_SECONDS = 2.5
UNSTABLE_STORE_SECONDS = 5.0
STABILITY_SECONDS = 3.0


class LinkedDeployment(Deployment):
    """A deployment in which each VM has a link of its own to the store."""

    def __init__(self):
        super().__init__(network_octet=NETWORK_OCTET)
        self.links = {}

    def start_linked_vm(self, vm, zone):
        host = f'127.{NETWORK_OCTET}.160.{len(self.links) + 1}'
        link = LinkProxy(
            host=f'127.{NETWORK_OCTET}.200.1',
            port=STORE_PORT,
        )
        self.run_coroutine(link.start(host, STORE_PORT))
        self.links[vm] = link
        self.start_vm(vm, zone, store=f'{host}:{STORE_PORT}')

    def disturb_links(self, vms, mode):
        for vm in vms:
            self.call_in_loop(self.links[vm].set_mode, mode)

    def change_configuration(self):
        """Write a configuration without the key that requests carry."""
        team = {'name': 'guides', 'api_keys': ['other'], 'rate_per_s': 0}
        self.write(
            'config',
            'main',
            make_configuration(2000, teams=[team]),
        )

    def wait_in_force(self, vms, seconds):
        wait_until(
            lambda: all(self.request(vm).status == 401 for vm in vms),
            f'the withdrawn key is denied by {vms}',
            timeout_seconds=seconds,
        )

    def __exit__(self, *error):
        for link in self.links.values():
            self.run_coroutine(link.stop())
        super().__exit__(*error)


@pytest.fixture
def deployment():
    with LinkedDeployment() as deployment:
        deployment.add_target('t1', 'east-a')
        for vm, zone in ZONES.items():
            deployment.start_linked_vm(vm, zone)
        deployment.wait_ready()
        deployment.wait_watching(*WATCHERS)
        time.sleep(2.0)
        assert deployment.request('vm-1').status == 200
        yield deployment


@pytest.mark.parametrize(
    'mode', ('silent', 'reset', 'no_answers', '503', '429')
)
def test_change_is_in_force_while_all_watchers_are_turned_away(
    deployment, mode
):
    deployment.disturb_links(WATCHERS, mode)
    time.sleep(0.1)
    deployment.change_configuration()
    deployment.wait_in_force(ZONES, APPLY_SECONDS + UNSTABLE_STORE_SECONDS)


@pytest.mark.parametrize('mode', ('silent', '503'))
def test_change_is_in_force_where_one_vm_alone_reads_the_store(
    deployment, mode
):
    deployment.disturb_links(set(ZONES) - {'vm-3'}, mode)
    time.sleep(0.1)
    deployment.change_configuration()
    deployment.wait_in_force(ZONES, APPLY_SECONDS + UNSTABLE_STORE_SECONDS)


@pytest.mark.parametrize('number', (signal.SIGSTOP, signal.SIGKILL))
def test_change_is_in_force_while_all_watchers_have_stopped(deployment, number):
    others = set(ZONES) - set(WATCHERS)
    for vm in WATCHERS:
        deployment.signal_vm(vm, number)
    deployment.change_configuration()
    deployment.wait_in_force(others, APPLY_SECONDS)


def test_change_is_in_force_after_an_outage_that_a_watch_outlasts(deployment):
    deployment.write('config', 'main', make_configuration(1000))
    time.sleep(0.5)  # each watcher has begun to wait for the next change
    deployment.disturb_links(ZONES, 'silent')
    time.sleep(2.5)
    deployment.change_configuration()
    time.sleep(0.2)
    deployment.disturb_links(ZONES, 'well')
    deployment.wait_in_force(ZONES, STABILITY_SECONDS + APPLY_SECONDS)
