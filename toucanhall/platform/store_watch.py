"""Reads and watches the tables of the platform's store."""

import asyncio
import random
from typing import Final

from toucanhall.fleet.tables import FleetTables
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform import names
from toucanhall.platform.store import (
    HistoryLostError,
    Store,
    StoreError,
    Table,
)
from toucanhall.platform.table_loader import WATCHED_KINDS, TableLoader

__all__ = ('StoreWatch',)

# Well below half of the 20 s of history that the store keeps.
_WATCH_SECONDS: Final = 8.0
_MIN_RETRY_DELAY_SECONDS: Final = 0.1
_MAX_RETRY_DELAY_SECONDS: Final = 1.0
# A watch may miss that the store was unavailable. Targets expire after 3 s of
# that at the earliest: two heartbeats of 1.5 s and the rest of the current
# one. A cheap read every second, with a timeout of 1 s, notices it before.
_PROBE_INTERVAL_SECONDS: Final = 1.0
_PROBE: Final = 'probe'
_READ: Final = 'read'
_WATCH: Final = 'watch'

# After a change: further changes in this time are read by the same call.
_BATCH_DELAY_SECONDS: Final = {
    names.CONFIGURATION_KIND: 0.05,
    names.TARGET_KIND: 0.2,
    names.EVACUATION_KIND: 0.05,
}


class StoreWatch:
    """Keeps the tables of a VM up to date with the store."""

    def __init__(
        self,
        *,
        store: Store,
        fleet_tables: FleetTables,
        journal: Journal,
        lapse_seconds: float,
    ) -> None:
        """Load tables into `fleet_tables`.

        No target expires while the store is unavailable for less than
        `lapse_seconds`.
        """
        self._lapse_seconds = lapse_seconds
        self._store = store
        self._fleet_tables = fleet_tables
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        # When each table was last answered, if its last call failed.
        self._failing_since: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}
        self._is_store_unavailable = False
        self._last_answer_at = self._loop.time()
        self._revisions: dict[str, int] = {}
        self._tables = TableLoader(
            fleet_tables=fleet_tables,
            journal=journal,
            clock=self._loop.time,
        )

    @property
    def is_watching(self) -> bool:
        """Whether this VM watches the store."""
        return bool(self._tasks)

    async def read_all(self) -> None:
        """Read each table once; raise StoreError if a call fails."""
        await asyncio.gather(*(self._read(kind) for kind in WATCHED_KINDS))

    def start(self) -> None:
        """Start to watch the store."""
        if not self._tasks:
            self._journal.write(events.WATCH_STARTED)
            self._tasks = [
                self._loop.create_task(self._watch_kind(kind))
                for kind in WATCHED_KINDS
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
        self._failing_since = {}
        self._answered_at = {}
        self._is_store_unavailable = False

    async def _watch_kind(self, kind: str) -> None:
        delay = _MIN_RETRY_DELAY_SECONDS
        while True:
            try:
                await self._read_or_watch(kind)
            except StoreError as error:
                self._record_failure(kind, self._get_call(kind), error)
                # Reading is answered at once, watching only on a change.
                self._revisions.pop(kind, None)
                await asyncio.sleep(delay * random.uniform(0.5, 1.5))
                delay = min(_MAX_RETRY_DELAY_SECONDS, delay * 2)
            except Exception as error:  # noqa: BLE001
                # One malformed object must not end the watch of the others.
                self._journal.write(
                    events.UNEXPECTED,
                    why=repr(error),
                    where=kind,
                )
                self._revisions.pop(kind, None)
                await asyncio.sleep(_MAX_RETRY_DELAY_SECONDS)
            else:
                delay = _MIN_RETRY_DELAY_SECONDS

    async def _probe(self) -> None:
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_SECONDS)
            try:
                await self._store.read(names.EVACUATION_KIND, may_be_stale=True)
            except StoreError as error:
                self._record_failure(_PROBE, _PROBE, error)
            else:
                self._record_answer(_PROBE, _PROBE)

    async def _read_or_watch(self, kind: str) -> None:
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
        self._record_answer(kind, _WATCH)
        if table.changes:
            self._log_table(kind, _WATCH, table)
            self._tables.take(kind, table, is_whole=False)
        self._revisions[kind] = max(revision, table.revision)
        if table.changes:
            await asyncio.sleep(_BATCH_DELAY_SECONDS[kind])

    async def _read(self, kind: str) -> None:
        table = await self._store.read(kind)
        self._record_answer(kind, _READ)
        self._log_table(kind, _READ, table)
        self._tables.take(kind, table, is_whole=True)
        self._revisions[kind] = table.revision

    def _get_call(self, kind: str) -> str:
        return _WATCH if kind in self._revisions else _READ

    def _log_table(self, kind: str, call: str, table: Table) -> None:
        self._journal.write(
            events.TABLE_READ,
            table=kind,
            call=call,
            revision=table.revision,
            objects=len(table.changes),
        )

    def _record_failure(self, kind: str, call: str, error: StoreError) -> None:
        if kind not in self._failing_since:
            since = self._answered_at.get(kind, self._last_answer_at)
            self._failing_since[kind] = since
            self._journal.write(
                events.STORE_LOST,
                table=kind,
                call=call,
                why=str(error),
                silent=round(self._loop.time() - since, 2),
            )
        if not self._is_store_unavailable:
            self._is_store_unavailable = True
            self._fleet_tables.start_store_outage()

    def _record_answer(self, kind: str, call: str) -> None:
        now = self._loop.time()
        self._answered_at[kind] = now
        failing_since = self._failing_since.pop(kind, None)
        if failing_since is not None:
            self._journal.write(
                events.STORE_RECOVERED,
                table=kind,
                call=call,
                silent=round(now - failing_since, 2),
            )
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            outage_seconds = now - self._last_answer_at
            self._fleet_tables.end_store_outage(
                now,
                may_have_expired=outage_seconds > self._lapse_seconds,
            )
        self._last_answer_at = now
