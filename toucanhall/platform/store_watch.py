"""Reads and watches the tables of the platform's store."""

import asyncio
import random
from collections.abc import Iterable
from typing import Final

from toucanhall.fleet.revisions import Revision
from toucanhall.fleet.tables import FleetTables
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform import names
from toucanhall.platform.call_outcomes import PROBE, READ, WATCH, CallOutcomes
from toucanhall.platform.store import (
    HistoryLostError,
    Store,
    StoreError,
    Table,
)
from toucanhall.platform.store_probe import StoreProbe
from toucanhall.platform.table_loader import WATCHED_KINDS, TableLoader

__all__ = ('StoreWatch',)

# Well below half of the 20 s of history that the store keeps.
_WATCH_SECONDS: Final = 8.0
_MIN_RETRY_DELAY_SECONDS: Final = 0.1
_MAX_RETRY_DELAY_SECONDS: Final = 1.0
# After a change: further changes in this time are read by the same call.
_BATCH_DELAY_SECONDS: Final = {
    names.CONFIGURATION_KIND: 0.05,
    names.TARGET_KIND: 0.2,
    names.EVACUATION_KIND: 0.05,
    names.SUSPECT_KIND: 0.05,
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
        self._store = store
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._outcomes = CallOutcomes(
            fleet_tables=fleet_tables,
            journal=journal,
            lapse_seconds=lapse_seconds,
        )
        self._revisions: dict[str, Revision] = {}
        self.probe = StoreProbe(
            store=store,
            outcomes=self._outcomes,
            on_lost=self.watch_anew,
            on_recovered=lambda: self._restart(
                filter(self._outcomes.is_failing, WATCHED_KINDS)
            ),
        )
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
        self.probe.record_answer()

    def start(self) -> None:
        """Start to watch the store."""
        if not self._tasks:
            self._journal.write(events.WATCH_STARTED)
            self._tasks[PROBE] = self._loop.create_task(self.probe.run())
            self.watch_anew()

    def stop(self) -> None:
        """Stop watching the store.

        An outage that this VM has noticed goes on until the store answers.
        """
        if not self._tasks:
            return
        self._journal.write(events.WATCH_ENDED)
        for task in self._tasks.values():
            task.cancel()
        self._tasks = {}
        self._revisions = {}
        self._outcomes.forget_calls()

    def end_outage(self) -> None:
        """End an outage: the store answers another VM of the zone."""
        self._outcomes.end_outage()

    def watch_anew(self) -> None:
        """Read each table again and watch it from there, if this VM watches.

        A watch that waits may never be answered once another call has failed,
        or tell only a part of the changes once the store came back from a copy.
        """
        self._revisions = {}
        self._restart(WATCHED_KINDS)

    def _restart(self, kinds: Iterable[str]) -> None:
        """Read some tables now and watch them from there, if it watches."""
        if not self._tasks:
            return
        for kind in kinds:
            current = self._tasks.pop(kind, None)
            if current is not None:
                current.cancel()
            self._tasks[kind] = self._loop.create_task(self._watch_kind(kind))

    async def _watch_kind(self, kind: str) -> None:
        delay = _MIN_RETRY_DELAY_SECONDS
        while True:
            call = WATCH if kind in self._revisions else READ
            try:
                await self._read_or_watch(kind)
            except StoreError as error:
                self._outcomes.record_failure(kind, call, error)
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
        self._outcomes.record_answer(kind, WATCH)
        has_news = bool(table.changes or table.unnamed)
        if has_news:
            self._log_table(kind, WATCH, table)
            self._tables.take(kind, table, is_whole=False)
        # A new era begins all watches anew.
        self._revisions[kind] = max(revision, table.revision)
        if has_news:
            await asyncio.sleep(_BATCH_DELAY_SECONDS[kind])

    async def _read(self, kind: str) -> None:
        table = await self._store.read(kind)
        self._outcomes.record_answer(kind, READ)
        self._log_table(kind, READ, table)
        self._tables.take(kind, table, is_whole=True)
        self._revisions[kind] = table.revision

    def _log_table(self, kind: str, call: str, table: Table) -> None:
        self._journal.write(
            events.TABLE_READ,
            table=kind,
            call=call,
            era=table.revision.era,
            revision=table.revision.number,
            objects=len(table.changes),
        )
