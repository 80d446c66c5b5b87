"""Starts and stops the watch of the store as the own zone needs it."""

import asyncio
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from toucanhall.fleet.reports import Member
from toucanhall.fleet.watchers import (
    ANSWER_EXPIRY_SECONDS,
    get_check_delay_seconds,
    pick_watcher,
)
from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.platform.store_watch import StoreWatch

__all__ = ('WatchDuty',)

# Between calls of a VM that the store does not answer, a random part of this.
_MAX_CHECK_PAUSE_SECONDS: Final = 1.0


class WatchDuty:
    """The part of this VM in watching the store for its zone.

    While no VM of the zone reports answers of the store, each asks it once
    in turn, so that one of those that it answers takes the watch over.
    """

    def __init__(
        self,
        *,
        own: str,
        store_watch: StoreWatch,
        list_zone: Callable[[], Sequence[Member]],
        list_answer_ages: Callable[[], Mapping[str, float]],
        is_stopping: Callable[[], bool],
        on_answer: Callable[[], None],
        journal: Journal,
    ) -> None:
        """Call `on_answer` when the store answers a check of this VM."""
        self._own = own
        self._store_watch = store_watch
        self._list_zone = list_zone
        self._list_answer_ages = list_answer_ages
        self._is_stopping = is_stopping
        self._on_answer = on_answer
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    def update(self) -> None:
        """Start or stop the watch as the state of the zone asks for it."""
        ages = self._list_answer_ages()
        watcher = pick_watcher(self._list_zone(), ages)
        if watcher.vm == self._own and not self._is_stopping():
            self._store_watch.start()
            return
        self._store_watch.stop()
        if min(ages.values(), default=math.inf) < ANSWER_EXPIRY_SECONDS:
            self._store_watch.end_outage()

    async def run(self) -> None:
        """Check the store whenever the zone has no answers of it."""
        while True:
            await asyncio.sleep(self._get_remaining_seconds())
            if self._get_remaining_seconds() > 0:
                continue
            await asyncio.sleep(
                get_check_delay_seconds(self._list_zone(), self._own)
            )
            if self._get_remaining_seconds() > 0:
                continue
            if not await self._check():
                await asyncio.sleep(
                    _MAX_CHECK_PAUSE_SECONDS * random.uniform(0.5, 1.0)
                )

    def _get_remaining_seconds(self) -> float:
        """Return when the newest answer in the zone expires, at least 0."""
        if self._is_stopping():
            return ANSWER_EXPIRY_SECONDS
        age = self._loop.time() - self._started_at
        newest = min(self._list_answer_ages().values(), default=age)
        return max(0.0, ANSWER_EXPIRY_SECONDS - min(age, newest))

    async def _check(self) -> bool:
        """Ask the store; take the watch over if no better VM can."""
        why = await self._store_watch.probe.check()
        self._journal.write(
            events.STORE_CHECKED,
            answered=not why,
            why=why,
            ages={
                vm: round(age, 2)
                for vm, age in self._list_answer_ages().items()
            },
        )
        if why:
            return False
        self.update()
        self._on_answer()
        return True
