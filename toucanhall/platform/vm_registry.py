"""Registry of VMs in the store, by which VMs find each other."""

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
    """Entries of all VMs in the store."""

    def __init__(self, *, store: Store, journal: Journal) -> None:
        """Read and write the entries in `store`."""
        self._store = store
        self._journal = journal

    async def register(self, own: VmContact) -> list[VmContact]:
        """Ensure the entry of this VM; return the entries found before."""
        registered = await self.list_vms(may_be_stale=False)
        if own not in registered:
            spec = encode_vm(own)
            try:
                await self._store.create(names.VM_KIND, own.vm, spec)
            except ConflictError:
                await self._store.replace(names.VM_KIND, own.vm, spec)
        return registered

    async def list_vms(self, *, may_be_stale: bool) -> list[VmContact]:
        """Return the entries of all VMs; stale ones lag by some seconds."""
        table = await self._store.read(names.VM_KIND, may_be_stale=may_be_stale)
        for why in table.unnamed:
            self._journal.write(events.ENTRY_IGNORED, why=why)
        registered = []
        for change in table.changes:
            try:
                registered.append(decode_vm(change.name, change.spec))
            except InvalidDocumentError as error:
                self._journal.write(events.ENTRY_IGNORED, why=str(error))
        return registered

    async def remove(self, vm: str) -> None:
        """Delete the entry of a VM that has expired."""
        await self._store.delete(names.VM_KIND, vm)
        self._journal.write(events.ENTRY_DELETED, peer=vm)
