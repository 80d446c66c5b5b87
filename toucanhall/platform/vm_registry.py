"""Entries in the store by which VMs find each other."""

from toucanhall.fleet.model import VmContact
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform import names
from toucanhall.platform.documents import (
    InvalidDocumentError,
    decode_vm,
    encode_vm,
)
from toucanhall.platform.store import ConflictError, Store

__all__ = ('VmRegistry',)


class VmRegistry:
    """The entries of all VMs."""

    def __init__(self, *, store: Store, journal: Journal) -> None:
        """Read and write entries in a store."""
        self._store = store
        self._journal = journal

    async def register(self, own: VmContact) -> list[VmContact]:
        """Write the entry of this VM and return those of all VMs."""
        found = await self.list_vms(may_be_stale=False)
        if own not in found:
            spec = encode_vm(own)
            try:
                await self._store.create(names.VM_KIND, own.vm, spec)
            except ConflictError:
                await self._store.replace(names.VM_KIND, own.vm, spec)
        return found

    async def list_vms(self, *, may_be_stale: bool) -> list[VmContact]:
        """Return the entries of all VMs; stale ones are some seconds old."""
        table = await self._store.read(names.VM_KIND, may_be_stale=may_be_stale)
        found = []
        for change in table.changes:
            try:
                found.append(decode_vm(change.name, change.spec))
            except InvalidDocumentError as error:
                self._journal.write(events.ENTRY_IGNORED, why=str(error))
        return found

    async def remove(self, vm: str) -> None:
        """Delete the entry of a VM that has gone."""
        await self._store.delete(names.VM_KIND, vm)
        self._journal.write(events.ENTRY_DELETED, peer=vm)
