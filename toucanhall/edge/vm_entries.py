"""Keeps the entry of this VM in the store and reads those of the others."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from toucanhall.edge.peer_exchange import PeerExchange
from toucanhall.fleet.model import VmContact
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform.store import StoreError
from toucanhall.platform.store_watch import StoreWatch
from toucanhall.platform.vm_registry import VmRegistry

__all__ = ('VmEntries',)

_MIN_RETRY_DELAY_SECONDS: Final = 0.1
_MAX_RETRY_DELAY_SECONDS: Final = 1.0
# VMs that started together with this one have written their entries by then.
_FIRST_REFRESH_DELAY_SECONDS: Final = 2.0
# Between reads of the entries of VMs: a fleet replaces a VM each minute.
_REFRESH_INTERVAL_SECONDS: Final = 60.0
# In a new era of the store each VM reads the entries once: a hundred a second.
_MIN_RENEWAL_SECONDS: Final = 1.0
_RENEWAL_SECONDS_PER_VM: Final = 0.01


class VmEntries:
    """The entries of VMs, by which they find each other at a start."""

    def __init__(
        self,
        *,
        own: VmContact,
        registry: VmRegistry,
        peer_exchange: PeerExchange,
        store_watch: StoreWatch,
        journal: Journal,
    ) -> None:
        """Write the entry of `own`; add the VMs found to `peer_exchange`."""
        self._own = own
        self._registry = registry
        self._peer_exchange = peer_exchange
        self._store_watch = store_watch
        self._journal = journal
        self._renewal_needed = asyncio.Event()
        # Names of VMs whose entries this VM deleted.
        self._deleted: set[str] = set()

    def renew(self) -> None:
        """Check the own entry soon: the store may have lost it."""
        self._renewal_needed.set()

    async def run(self) -> None:
        """Read all tables, write the own entry, and read all entries often."""
        await self._repeat(self._join)
        await asyncio.sleep(_FIRST_REFRESH_DELAY_SECONDS)
        while True:
            await self._try(self._refresh())
            if await self._wait_for_renewal():
                await self._repeat(self._renew_entry)

    async def _wait_for_renewal(self) -> bool:
        """Wait until the next refresh; return whether a renewal is needed."""
        try:
            async with asyncio.timeout(_REFRESH_INTERVAL_SECONDS):
                await self._renewal_needed.wait()
        except TimeoutError:
            return False
        self._renewal_needed.clear()
        await asyncio.sleep(self._draw_renewal_delay())
        return True

    def _draw_renewal_delay(self) -> float:
        known = len(self._peer_exchange.members.known_vms)
        most = max(_MIN_RENEWAL_SECONDS, known * _RENEWAL_SECONDS_PER_VM)
        return random.uniform(0, most)

    async def _repeat(self, work: Callable[[], Awaitable[None]]) -> None:
        delay = _MIN_RETRY_DELAY_SECONDS
        while not await self._try(work()):
            await asyncio.sleep(delay)
            delay = min(_MAX_RETRY_DELAY_SECONDS, delay * 2)

    async def _try(self, work: Awaitable[None]) -> bool:
        try:
            await work
        except StoreError as error:
            self._journal.write(events.STORE_LOST, why=str(error))
            return False
        except Exception as error:  # noqa: BLE001
            self._journal.write(events.UNEXPECTED, why=repr(error))
            return False
        return True

    async def _join(self) -> None:
        await self._store_watch.read_all()
        members = self._peer_exchange.members
        self._peer_exchange.add_vms(await self._registry.register(self._own))
        members.mark_listing_complete()

    async def _renew_entry(self) -> None:
        """Ensure the own entry; delete again those that came back."""
        listed = await self._registry.register(self._own)
        peers = self._peer_exchange.members.peers
        returned = {
            found.vm
            for found in listed
            if found.vm in self._deleted and found.vm not in peers
        }
        await asyncio.gather(*map(self._registry.remove, returned))
        self._apply([found for found in listed if found.vm not in returned])

    async def _refresh(self) -> None:
        """Read the entries of VMs; delete those of dead VMs of the own zone.

        Only the watcher of a zone deletes entries. A VM that is cut off from
        its zone is a watcher too: it writes its entry again if that was
        deleted.
        """
        expired = self._peer_exchange.members.drop_expired(
            asyncio.get_running_loop().time()
        )
        if not self._store_watch.is_watching:
            self._apply(await self._registry.list_vms(may_be_stale=True))
            return
        names = {contact.vm for contact in expired}
        self._deleted |= names
        await asyncio.gather(*map(self._registry.remove, names))
        await self._renew_entry()

    def _apply(self, listed: Sequence[VmContact]) -> None:
        self._peer_exchange.members.apply_listing(listed)
        self._peer_exchange.add_vms(listed)
