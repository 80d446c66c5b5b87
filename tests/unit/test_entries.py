"""Tests of the entries of VMs, against the stand-in of the store."""

import asyncio

from standins.site.store import StoreStandin
from tests.fleetdata import make_store
from toucanhall.fleet.model import Address, VmContact
from toucanhall.platform.vm_registry import VmRegistry

ADDRESS = Address('127.64.200.1', 8382)
OWN = VmContact('vm-1', 'east-a', '127.64.1.1')


def run(act, journal):
    async def start():
        standin = StoreStandin()
        await standin.start(*ADDRESS)
        store = make_store(ADDRESS)
        try:
            return await act(standin, VmRegistry(store=store, journal=journal))
        finally:
            standin.stop()

    return asyncio.run(start())


def test_entry_is_written_once_and_again_after_it_was_deleted(journal):
    async def act(standin, entries):
        standin.put('vms', 'vm-2', {'zone': 'east-a', 'ip': '127.64.1.2'})
        standin.put('vms', 'bad', {'zone': 4})
        first = await entries.register(OWN)
        revision = standin.revision
        second = await entries.register(OWN)
        assert standin.revision == revision
        await entries.remove('vm-1')
        assert 'vm-1' not in standin.objects['vms']
        await entries.register(OWN)
        assert 'vm-1' in standin.objects['vms']
        return first, second

    first, second = run(act, journal)
    assert [found.vm for found in first] == ['vm-2']
    assert {found.vm for found in second} == {'vm-1', 'vm-2'}


def test_entry_with_an_old_address_is_replaced(journal):
    async def act(standin, entries):
        standin.put('vms', 'vm-1', {'zone': 'east-a', 'ip': '127.64.9.9'})
        await entries.register(OWN)
        return standin.objects['vms']['vm-1']['spec']

    assert run(act, journal) == {'zone': 'east-a', 'ip': '127.64.1.1'}


def test_list_of_more_than_a_page_is_read_whole(journal):
    async def act(standin, entries):
        for index in range(1200):
            entry = {'zone': 'east-a', 'ip': '127.64.1.2'}
            standin.put('vms', f'vm-{index:04d}', entry)
        return await entries.list_vms(may_be_stale=False)

    assert len(run(act, journal)) == 1200
