"""Entries with a string that is no text, with VMs as real processes.

Failure that it guards against: VMs stop following the list of targets, or do
not find each other.
"""

import pytest

from standins.site.deployment import Deployment, wait_until
from toucanhall.observe import events

NETWORK_OCTET = 94
VMS = ('vm-1', 'vm-2')
APPLY_SECONDS = 2.5
LIST_SECONDS = 10.0
SPEC_MARK = 'odd content'
NAME_MARK = 'odd-name'
RAW_SPECS = {
    SPEC_MARK: r'{"service":"guide","zone":"\ud800"}'.encode(),
    NAME_MARK: r'"\ud800"'.encode(),
}
KINDS = ('servers', 'vms', 'evacuations', 'suspects')


def write_odd_entries(deployment):
    deployment.store.raw_specs = RAW_SPECS
    for kind in KINDS:
        deployment.write(kind, 'odd', SPEC_MARK)
        deployment.write(kind, NAME_MARK, {})


def start_vms(deployment):
    for vm in VMS:
        deployment.start_vm(vm)
    deployment.wait_ready()
    deployment.wait_watching('vm-1')


def begin_with_entries(deployment):
    write_odd_entries(deployment)
    start_vms(deployment)


def add_entries_while_watching(deployment):
    start_vms(deployment)
    write_odd_entries(deployment)


def start_again_with_entries(deployment):
    add_entries_while_watching(deployment)
    for vm in VMS:
        deployment.vms[vm].kill()
        deployment.vms[vm].wait()
    start_vms(deployment)


@pytest.mark.parametrize(
    'begin',
    (
        begin_with_entries,
        add_entries_while_watching,
        start_again_with_entries,
    ),
)
def test_vms_follow_all_tables_beside_odd_strings(begin):
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        deployment.add_target('t1')
        deployment.add_target('t2')
        begin(deployment)
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
        wait_until(
            lambda: all(
                any(
                    f'{kind} odd ' in line['why']
                    for vm in VMS
                    for line in deployment.find_events(
                        vm, events.ENTRY_IGNORED.number
                    )
                )
                for kind in ('target', 'VM', 'suspect')
            ),
            'the odd entries are named',
            timeout_seconds=LIST_SECONDS,
        )
        assert all(
            deployment.vms[vm].poll() is None
            and not deployment.find_events(vm, events.UNEXPECTED.number)
            and not deployment.find_events(vm, events.STORE_LOST.number)
            for vm in VMS
        )
