"""Reads the platform's tables into what the VM knows, and follows them."""

import asyncio
import random
from typing import Final

from toucanhall.fleet.tables import FleetTables
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform import names
from toucanhall.platform.store import HistoryLostError, Store, StoreError
from toucanhall.platform.table_loader import WATCHED_KINDS, TableLoader

__all__ = ('StoreWatch',)

# A watch is renewed well before half of the store's 20 s of history is over.
_WATCH_SECONDS: Final = 8.0
_FIRST_WAIT_SECONDS: Final = 0.1
_LONGEST_WAIT_SECONDS: Final = 1.0
# A watch may outlast an absence of the store without a word. Targets lapse
# after 3 s of it at the soonest: two heartbeats of 1.5 s and the rest of one.
# A cheap read each second, given a second, notices it before.
_PROBE_SECONDS: Final = 1.0
_PROBE: Final = 'probe'

# Changes that follow one another within this time are read by one call.
_GATHER_SECONDS: Final = {
    names.CONFIGURATION_KIND: 0.05,
    names.TARGET_KIND: 0.2,
    names.EVACUATION_KIND: 0.05,
}


class StoreWatch:
    """Keeps the tables of a VM up to date from the store."""

    def __init__(
        self,
        *,
        store: Store,
        fleet_tables: FleetTables,
        journal: Journal,
        lapse_seconds: float,
    ) -> None:
        """Write what the store holds into `fleet_tables`.

        No target lapses in an absence of less than `lapse_seconds`.
        """
        self._lapse_seconds = lapse_seconds
        self._store = store
        self._fleet_tables = fleet_tables
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        self._failing: set[str] = set()
        self._is_away = False
        self._answered_at = self._loop.time()
        self._revisions: dict[str, int] = {}
        self._tables = TableLoader(
            fleet_tables=fleet_tables,
            journal=journal,
            clock=self._loop.time,
        )

    @property
    def is_watching(self) -> bool:
        """Whether the store is being watched."""
        return bool(self._tasks)

    async def read_all(self) -> None:
        """Read each table once; raise StoreError when one cannot be read."""
        await asyncio.gather(*(self._read(kind) for kind in WATCHED_KINDS))

    def start(self) -> None:
        """Watch the store from now on."""
        if not self._tasks:
            self._journal.write(events.WATCH_STARTED)
            self._tasks = [
                self._loop.create_task(self._follow(kind))
                for kind in WATCHED_KINDS
            ]
            self._tasks.append(self._loop.create_task(self._probe()))

    def stop(self) -> None:
        """Watch the store no longer."""
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
                # A list is answered at once, a watch only with a change.
                self._revisions.pop(kind, None)
                await asyncio.sleep(wait * random.uniform(0.5, 1.5))
                wait = min(_LONGEST_WAIT_SECONDS, wait * 2)
            except Exception as error:  # noqa: BLE001
                # What one object holds must not end the watch of the others.
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
                await self._store.read(names.EVACUATION_KIND, may_be_stale=True)
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
        except HistoryLostError:
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
            self._fleet_tables.start_store_outage()

    def _recover(self, kind: str) -> None:
        now = self._loop.time()
        if kind in self._failing:
            self._failing.discard(kind)
            if not self._failing:
                self._journal.write(events.STORE_RECOVERED)
        if self._is_away:
            self._is_away = False
            away = now - self._answered_at
            self._fleet_tables.end_store_outage(
                now,
                may_have_expired=away > self._lapse_seconds,
            )
        self._answered_at = now
