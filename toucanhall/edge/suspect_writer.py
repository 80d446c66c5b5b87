"""Writes the suspects that this VM knows better than the store."""

import asyncio
from collections.abc import Coroutine
from typing import Final

from toucanhall.fleet.suspects import Suspect, SuspectTable
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform.store import StoreError
from toucanhall.platform.suspect_registry import SuspectRegistry

__all__ = ('SuspectWriter',)

# Most requests are served by another target within this time after a crash:
# they are cleared before the store is told of them.
_SAVE_DELAY_SECONDS: Final = 0.25
_RETRY_DELAY_SECONDS: Final = 0.5
_POLL_INTERVAL_SECONDS: Final = 0.05
_MAX_PARALLEL_CALLS: Final = 2


class SuspectWriter:
    """Saves and deletes entries of suspects in the background."""

    def __init__(
        self,
        *,
        table: SuspectTable,
        registry: SuspectRegistry,
        journal: Journal,
    ) -> None:
        """Write what is unsaved in `table` to `registry`."""
        self._table = table
        self._registry = registry
        self._journal = journal
        self._tasks: set[asyncio.Task[None]] = set()
        self._saving: set[str] = set()
        self._calls = asyncio.Semaphore(_MAX_PARALLEL_CALLS)

    def save(self, name: str) -> None:
        """Save a suspect; repeat that until the store has it."""
        if name not in self._saving:
            self._saving.add(name)
            self._start(self._save(name))

    def is_saving(self, name: str) -> bool:
        """Whether the entry of a suspect is being written."""
        return name in self._saving

    def remove(self, name: str) -> None:
        """Delete the entry of a suspect that is in the table no more."""
        self._start(self._remove(name))

    async def try_replace(self, name: str, suspect: Suspect) -> bool:
        """Replace an entry unless another VM has written it meanwhile."""
        try:
            return await self._registry.try_replace(name, suspect)
        except StoreError as error:
            self._log_failure(name, error)
            return False

    async def _save(self, name: str) -> None:
        suspect = self._table.suspects.get(name)
        if suspect is not None and len(suspect.crashes) == 1:
            await asyncio.sleep(_SAVE_DELAY_SECONDS)
        try:
            while name in self._table.unsaved:
                await self._try_save(name, self._table.suspects[name])
        finally:
            self._saving.discard(name)

    async def _try_save(self, name: str, suspect: Suspect) -> None:
        try:
            async with self._calls:
                await self._registry.save(name, suspect)
        except StoreError as error:
            self._log_failure(name, error)
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
        else:
            self._table.record_saved(name, suspect)

    async def _remove(self, name: str) -> None:
        while name in self._saving:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        try:
            async with self._calls:
                await self._registry.remove(name)
        except StoreError as error:
            self._log_failure(name, error)
        self._table.cleared.discard(name)

    def _log_failure(self, name: str, error: StoreError) -> None:
        self._journal.write(
            events.SUSPECT_NOT_SAVED, fingerprint=name, why=str(error)
        )

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
