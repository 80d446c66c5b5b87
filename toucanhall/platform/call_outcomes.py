"""Records the outcomes of calls to the store and logs when they change."""

import asyncio
from typing import Final

from toucanhall.fleet.tables import FleetTables
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform.store import StoreError

__all__ = ('CHECK', 'PROBE', 'READ', 'WATCH', 'CallOutcomes')

READ: Final = 'read'
WATCH: Final = 'watch'
PROBE: Final = 'probe'
CHECK: Final = 'check'  # a probe by a VM that does not watch


class CallOutcomes:
    """Which calls of a watch fail, since when, and whether the store is away.

    Targets are held while it is: no target expires while the store is
    unavailable for less than `lapse_seconds`.
    """

    def __init__(
        self,
        *,
        fleet_tables: FleetTables,
        journal: Journal,
        lapse_seconds: float,
    ) -> None:
        """Tell `fleet_tables` when outages of the store start and end."""
        self._fleet_tables = fleet_tables
        self._journal = journal
        self._lapse_seconds = lapse_seconds
        self._loop = asyncio.get_running_loop()
        self._last_answer_at = self._loop.time()
        self._is_store_unavailable = False
        # When each table was last answered, if its last call failed.
        self._failing_since: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}

    @property
    def has_failing_tables(self) -> bool:
        """Whether the last call for any table failed."""
        return bool(self._failing_since)

    def is_failing(self, table: str) -> bool:
        """Whether the last call for a table failed."""
        return table in self._failing_since

    def forget_calls(self) -> None:
        """Drop what is known of calls: this VM does not watch any more."""
        self._failing_since = {}
        self._answered_at = {}

    def end_outage(self) -> None:
        """End an outage: the store answers another VM of the zone."""
        self._end_outage(may_have_expired=True)

    def record_failure(self, table: str, call: str, error: StoreError) -> None:
        """Record a failed call; the first failure of a table is logged."""
        if table not in self._failing_since:
            since = self._answered_at.get(table, self._last_answer_at)
            self._failing_since[table] = since
            self._journal.write(
                events.STORE_LOST,
                table=table,
                call=call,
                why=str(error),
                silent=round(self._loop.time() - since, 2),
            )
        if not self._is_store_unavailable:
            self._is_store_unavailable = True
            self._fleet_tables.start_store_outage()

    def record_answer(self, table: str, call: str) -> None:
        """Record an answered call; it ends an outage."""
        now = self._loop.time()
        self._answered_at[table] = now
        failing_since = self._failing_since.pop(table, None)
        if failing_since is not None:
            self._journal.write(
                events.STORE_RECOVERED,
                table=table,
                call=call,
                silent=round(now - failing_since, 2),
            )
        outage_seconds = now - self._last_answer_at
        self._end_outage(may_have_expired=outage_seconds > self._lapse_seconds)
        self._last_answer_at = now

    def _end_outage(self, *, may_have_expired: bool) -> None:
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            self._fleet_tables.end_store_outage(
                self._loop.time(),
                may_have_expired=may_have_expired,
            )
