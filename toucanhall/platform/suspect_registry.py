"""Entries of suspected requests in the store, shared by all VMs."""

from typing import Final

from toucanhall.fleet.suspects import Suspect, merge_suspects
from toucanhall.platform import names
from toucanhall.platform.documents import InvalidDocumentError
from toucanhall.platform.store import ConflictError, NotFoundError, Store
from toucanhall.platform.suspect_documents import decode_suspect, encode_suspect

__all__ = ('SuspectRegistry',)

# Writers of one entry that may come in between.
_MAX_CONFLICTS_COUNT: Final = 4


class SuspectRegistry:
    """Writes entries of suspects; all calls may raise StoreError."""

    def __init__(self, *, store: Store) -> None:
        """Write to `store`."""
        self._store = store

    async def save(self, name: str, suspect: Suspect) -> None:
        """Add what is known of a request to its entry."""
        unsaved: Suspect | None = suspect
        conflict_count = 0
        while unsaved is not None:
            if conflict_count > _MAX_CONFLICTS_COUNT:
                raise ConflictError(f'entry {name} is written by others')
            unsaved = await self._write_or_merge(name, unsaved)
            conflict_count += 1

    async def try_replace(self, name: str, suspect: Suspect) -> bool:
        """Replace an entry unless it changed since its known revision."""
        try:
            await self._write(name, suspect)
        except (ConflictError, NotFoundError):
            return False
        return True

    async def remove(self, name: str) -> None:
        """Delete an entry, if it exists."""
        try:
            await self._store.delete(names.SUSPECT_KIND, name)
        except NotFoundError:
            return

    async def _write_or_merge(
        self, name: str, suspect: Suspect
    ) -> Suspect | None:
        """Write an entry; return what is to be written instead, if any."""
        if await self.try_replace(name, suspect):
            return None
        found = await self._read(name)
        if found is None:
            return suspect._replace(revision=0)
        merged = merge_suspects(suspect, found)
        return None if merged == found else merged

    async def _write(self, name: str, suspect: Suspect) -> None:
        spec = encode_suspect(suspect)
        if suspect.revision:
            await self._store.replace(
                names.SUSPECT_KIND, name, spec, revision=suspect.revision
            )
        else:
            await self._store.create(names.SUSPECT_KIND, name, spec)

    async def _read(self, name: str) -> Suspect | None:
        try:
            change = await self._store.read_object(names.SUSPECT_KIND, name)
            return decode_suspect(name, change.spec, change.revision)
        except NotFoundError:
            return None
        except InvalidDocumentError:
            # Replaced by what is known here.
            return Suspect(revision=change.revision)
