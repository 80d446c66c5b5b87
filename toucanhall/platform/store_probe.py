"""Asks the store by cheap reads whether it answers this VM."""

import asyncio
from collections.abc import Callable
from typing import Final

from toucanhall.platform import names
from toucanhall.platform.call_outcomes import CHECK, PROBE, CallOutcomes
from toucanhall.platform.store import Store, StoreError

__all__ = ('StoreProbe',)

# A watch may miss that the store was unavailable. Targets expire after 3 s of
# that at the earliest: two heartbeats of 1.5 s and the rest of the current
# one. A cheap read, with a timeout of 1 s, notices it before, and tells the
# zone that the store answers this VM.
_INTERVAL_SECONDS: Final = 0.5
# While it does not answer: what it lost is written again from its return on.
_RETRY_INTERVAL_SECONDS: Final = 0.2


class StoreProbe:
    """When the store last answered this VM."""

    def __init__(
        self,
        *,
        store: Store,
        outcomes: CallOutcomes,
        on_lost: Callable[[], None],
        on_recovered: Callable[[], None],
    ) -> None:
        """Call `on_lost` when a probe fails after one that did not.

        `on_recovered` is called when it is the other way round.
        """
        self._store = store
        self._outcomes = outcomes
        self._on_lost = on_lost
        self._on_recovered = on_recovered
        self._loop = asyncio.get_running_loop()
        self._answered_at: float | None = None

    @property
    def answer_age(self) -> float | None:
        """Seconds since the store last answered, None if it never did.

        While this VM watches, no call for a table has failed since.
        """
        if self._answered_at is None:
            return None
        return self._loop.time() - self._answered_at

    def record_answer(self) -> None:
        """Record that the store answers this VM."""
        self._answered_at = self._loop.time()

    async def check(self) -> str:
        """Ask the store once; return why it gave no answer, empty if it did."""
        try:
            await self._ask()
        except StoreError as error:
            self._outcomes.record_failure(PROBE, CHECK, error)
            return str(error)
        self._outcomes.record_answer(PROBE, CHECK)
        self.record_answer()
        return ''

    async def run(self) -> None:
        """Ask the store again and again."""
        while True:
            started_at = self._loop.time()
            await self._probe()
            interval = (
                _RETRY_INTERVAL_SECONDS
                if self._outcomes.is_failing(PROBE)
                else _INTERVAL_SECONDS
            )
            elapsed = self._loop.time() - started_at
            await asyncio.sleep(max(0.0, interval - elapsed))

    async def _probe(self) -> None:
        was_failing = self._outcomes.is_failing(PROBE)
        try:
            await self._ask()
        except StoreError as error:
            self._outcomes.record_failure(PROBE, PROBE, error)
            if not was_failing:
                self._on_lost()
            return
        self._outcomes.record_answer(PROBE, PROBE)
        if was_failing:
            self._on_recovered()
        if not self._outcomes.has_failing_tables:
            self.record_answer()

    async def _ask(self) -> None:
        await self._store.read(names.EVACUATION_KIND, may_be_stale=True)
