"""Reads and watches the tables of the platform's store."""

import asyncio
import random
from typing import Final

from toucanhall.fleet.knowledge import Knowledge
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform import names
from toucanhall.platform.store import HistoryLost, Store, StoreError
from toucanhall.platform.tables import KINDS, Tables

__all__ = ('Follower',)

# Well below half of the 20 s of history that the store keeps.
_WATCH_SECONDS: Final = 8.0
_FIRST_WAIT_SECONDS: Final = 0.1
_LONGEST_WAIT_SECONDS: Final = 1.0
# A watch may miss that the store was unavailable. Targets expire after 3 s of
# that at the earliest: two heartbeats of 1.5 s and the rest of the current
# one. A cheap read every second, with a timeout of 1 s, notices it before.
_PROBE_SECONDS: Final = 1.0
_PROBE: Final = 'probe'

# After a change: further changes in this time are read by the same call.
_GATHER_SECONDS: Final = {
    names.CONFIGURATIONS: 0.05,
    names.TARGETS: 0.2,
    names.EVACUATIONS: 0.05,
}


class Follower:
    """Keeps the tables of a VM up to date with the store."""

    def __init__(
        self,
        *,
        store: Store,
        knowledge: Knowledge,
        journal: Journal,
        lapse_seconds: float,
    ) -> None:
        """Load tables into `knowledge`.

        No target expires while the store is unavailable for less than
        `lapse_seconds`.
        """
        self._lapse_seconds = lapse_seconds
        self._store = store
        self._knowledge = knowledge
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        self._failing: set[str] = set()
        self._is_away = False
        self._answered_at = self._loop.time()
        self._revisions: dict[str, int] = {}
        self._tables = Tables(
            knowledge=knowledge,
            journal=journal,
            clock=self._loop.time,
        )

    @property
    def is_watching(self) -> bool:
        """Whether this VM watches the store."""
        return bool(self._tasks)

    async def read_all(self) -> None:
        """Read each table once; raise StoreError if a call fails."""
        await asyncio.gather(*(self._read(kind) for kind in KINDS))

    def start(self) -> None:
        """Start to watch the store."""
        if not self._tasks:
            self._journal.write(events.WATCH_STARTED)
            self._tasks = [
                self._loop.create_task(self._follow(kind)) for kind in KINDS
            ]
            self._tasks.append(self._loop.create_task(self._probe()))

    def stop(self) -> None:
        """Stop watching the store."""
        if self._tasks:
            self._journal.write(events.WATCH_ENDED)
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self._revisions = {}
        self._failing = set()
        self._is_away = False

    async def _follow(self, kind: str) -> None:
        wait = _FIRST_WAIT_SECONDS
        while True:
            try:
                await self._step(kind)
            except StoreError as error:
                self._fail(kind, error)
                # Reading is answered at once, watching only on a change.
                self._revisions.pop(kind, None)
                await asyncio.sleep(wait * random.uniform(0.5, 1.5))
                wait = min(_LONGEST_WAIT_SECONDS, wait * 2)
            except Exception as error:  # noqa: BLE001
                # One malformed object must not end the watch of the others.
                self._journal.write(
                    events.UNEXPECTED,
                    why=repr(error),
                    where=kind,
                )
                self._revisions.pop(kind, None)
                await asyncio.sleep(_LONGEST_WAIT_SECONDS)
            else:
                wait = _FIRST_WAIT_SECONDS

    async def _probe(self) -> None:
        while True:
            await asyncio.sleep(_PROBE_SECONDS)
            try:
                await self._store.read(names.EVACUATIONS, is_stale=True)
            except StoreError as error:
                self._fail(_PROBE, error)
            else:
                self._recover(_PROBE)

    async def _step(self, kind: str) -> None:
        revision = self._revisions.get(kind)
        if revision is None:
            await self._read(kind)
            return
        try:
            table = await self._store.watch(kind, revision, _WATCH_SECONDS)
        except HistoryLost:
            self._journal.write(events.HISTORY_LOST, table=kind)
            await self._read(kind)
            return
        self._recover(kind)
        if table.changes:
            self._tables.take(kind, table, is_whole=False)
        self._revisions[kind] = max(revision, table.revision)
        if table.changes:
            await asyncio.sleep(_GATHER_SECONDS[kind])

    async def _read(self, kind: str) -> None:
        table = await self._store.read(kind)
        self._recover(kind)
        self._tables.take(kind, table, is_whole=True)
        self._revisions[kind] = table.revision

    def _fail(self, kind: str, error: StoreError) -> None:
        if not self._failing:
            self._journal.write(events.STORE_LOST, table=kind, why=str(error))
        self._failing.add(kind)
        if not self._is_away:
            self._is_away = True
            self._knowledge.start_lapse()

    def _recover(self, kind: str) -> None:
        now = self._loop.time()
        if kind in self._failing:
            self._failing.discard(kind)
            if not self._failing:
                self._journal.write(events.STORE_REGAINED)
        if self._is_away:
            self._is_away = False
            away = now - self._answered_at
            self._knowledge.end_lapse(
                now,
                may_have_lapsed=away > self._lapse_seconds,
            )
        self._answered_at = now
