"""An odd entry among those of the targets, with VMs as real processes.

Failure that it guards against: VMs end again and again, or stop following the
list of targets.
"""

import pytest

from standins.site.deployment import Deployment, wait_until
from toucanhall.observe import events

NETWORK_OCTET = 69
VMS = ('vm-1', 'vm-2')
APPLY_SECONDS = 2.5
MARK = 'odd content'
ODD_SPECS = {
    'nested': b'[' * 200_000 + b']' * 200_000,
    'number': b'{"service":"guide","slots":1e999}',
    'digits': b'{"service":"guide","slots":' + b'9' * 10_000 + b'}',
    'bytes': b'"\xff\xfe"',
}
PAGE_ENTRIES = 500


def write_odd_entry(deployment, spec):
    deployment.store.raw_specs = {MARK: spec}
    deployment.write('servers', 'odd', MARK)


def start_vms(deployment):
    for vm in VMS:
        deployment.start_vm(vm)
    deployment.wait_ready()
    deployment.wait_watching('vm-1')


def begin_with_entry(deployment, spec):
    write_odd_entry(deployment, spec)
    start_vms(deployment)


def add_entry_while_watching(deployment, spec):
    start_vms(deployment)
    write_odd_entry(deployment, spec)


def begin_with_entry_on_a_later_page(deployment, spec):
    for number in range(PAGE_ENTRIES):
        deployment.write('servers', f'a{number}', {'state': 'odd'})
    begin_with_entry(deployment, spec)


def start_again_with_entry(deployment, spec):
    add_entry_while_watching(deployment, spec)
    for vm in VMS:
        deployment.vms[vm].kill()
        deployment.vms[vm].wait()
    start_vms(deployment)


@pytest.mark.parametrize('spec', ODD_SPECS.values(), ids=ODD_SPECS)
@pytest.mark.parametrize(
    'begin',
    (
        begin_with_entry,
        add_entry_while_watching,
        begin_with_entry_on_a_later_page,
        start_again_with_entry,
    ),
)
def test_vms_follow_the_targets_beside_an_odd_entry(begin, spec):
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        deployment.add_target('t1')
        deployment.add_target('t2')
        begin(deployment, spec)
        deployment.register('t1', state='draining', sequence=2)
        wait_until(
            lambda: (
                {
                    deployment.request(vm, affinity_key=str(number)).body[:2]
                    for vm in VMS
                    for number in range(8)
                }
                == {'t2'}
            ),
            'no request goes to the draining target',
            timeout_seconds=APPLY_SECONDS,
        )
        assert all(
            deployment.vms[vm].poll() is None
            and not deployment.find_events(vm, events.UNEXPECTED.number)
            for vm in VMS
        )
