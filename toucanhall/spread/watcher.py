"""Watches the catalogue object in the store and repairs an older one."""

import threading
from collections.abc import Callable
from typing import Final

from returns.pipeline import is_successful
from returns.result import Success

from toucanhall import events, runtime
from toucanhall.catalogue import Holder
from toucanhall.objectstore import Client, Stored
from toucanhall.spread.actor import log_invalid, read_held
from toucanhall.spread.monitor import FreshnessMonitor
from toucanhall.spread.record import (
    CATALOGUE_NAME,
    Record,
    decode,
    encode,
    parse,
)

__all__ = ('Watcher',)

_WATCH_TIMEOUT_SECONDS: Final = 2.0
_RETRY_DELAY_SECONDS: Final = 1.0


class Watcher:
    """A thread that watches the store for changes of the catalogue."""

    def __init__(
        self,
        *,
        platform: Client,
        holder: Holder,
        monitor: FreshnessMonitor,
        may_watch: Callable[[], bool],
        stopping: threading.Event,
    ) -> None:
        """Offer stored revisions to the holder until `stopping` is set."""
        self._platform = platform
        self._holder = holder
        self._monitor = monitor
        self._may_watch = may_watch
        self._stopping = stopping
        self._is_available = True
        self._version = -1

    def start(self) -> None:
        """Start to watch the store."""
        thread = threading.Thread(target=self._run, name='watcher', daemon=True)
        thread.start()

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._may_watch() or not self._watch():
                self._stopping.wait(_RETRY_DELAY_SECONDS)

    def _watch(self) -> bool:
        started_at = runtime.read_clock()
        watched = self._platform.watch(
            CATALOGUE_NAME,
            self._version,
            _WATCH_TIMEOUT_SECONDS,
        )
        self._record_availability(is_available=is_successful(watched))
        if not isinstance(watched, Success):
            return False
        stored = watched.unwrap()
        if not self._apply_stored(stored):
            return False
        self._version = stored.version
        self._monitor.record_evidence(started_at)
        return True

    def _apply_stored(self, stored: Stored) -> bool:
        parsed = parse(stored.content)
        parsed.alt(log_invalid)
        if not isinstance(parsed, Success):
            return False
        record: Record = parsed.unwrap()
        rank = (record.number, record.change)
        if rank < read_held(self._holder):
            return self._restore(stored, record)
        if rank > read_held(self._holder):
            decoded = decode(stored.content, self._holder.current)
            decoded.alt(log_invalid)
            decoded.map(self._holder.offer)
        return read_held(self._holder) >= rank

    def _restore(self, stored: Stored, older: Record) -> bool:
        held = self._holder.current
        if held is None:
            return False
        content = encode(held.number, held.change, held.document, older)
        written = self._platform.write(CATALOGUE_NAME, content, stored.version)
        if is_successful(written):
            events.log(events.CATALOGUE_RESTORED, revision=held.number)
        return is_successful(written)

    def _record_availability(self, *, is_available: bool) -> None:
        if is_available == self._is_available:
            return
        self._is_available = is_available
        events.log(
            events.STORE_AVAILABLE
            if is_available
            else events.STORE_UNAVAILABLE,
        )
