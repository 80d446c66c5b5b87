"""Registry of VMs in the store, by which VMs find each other."""

from toucanhall.fleet.model import Introduction
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform import names
from toucanhall.platform.documents import BadDocument, decode_vm, encode_vm
from toucanhall.platform.store import Conflict, Store

__all__ = ('Entries',)


class Entries:
    """Entries of all VMs in the store."""

    def __init__(self, *, store: Store, journal: Journal) -> None:
        """Read and write the entries in `store`."""
        self._store = store
        self._journal = journal

    async def register(self, own: Introduction) -> list[Introduction]:
        """Ensure the entry of this VM; return the entries found before."""
        registered = await self.list_vms(is_stale=False)
        if own not in registered:
            spec = encode_vm(own)
            try:
                await self._store.create(names.VMS, own.vm, spec)
            except Conflict:
                await self._store.replace(names.VMS, own.vm, spec)
        return registered

    async def list_vms(self, *, is_stale: bool) -> list[Introduction]:
        """Return the entries of all VMs; stale ones lag by some seconds."""
        table = await self._store.read(names.VMS, is_stale=is_stale)
        registered = []
        for change in table.changes:
            try:
                registered.append(decode_vm(change.name, change.spec))
            except BadDocument as error:
                self._journal.write(events.ENTRY_IGNORED, why=str(error))
        return registered

    async def forget(self, vm: str) -> None:
        """Delete the entry of a VM that has expired."""
        await self._store.delete(names.VMS, vm)
        self._journal.write(events.ENTRY_DELETED, peer=vm)
