"""Follows the catalogue object in the store and repairs an older one."""

import threading
from typing import Final

from returns.pipeline import is_successful

from toucanhall import events
from toucanhall.catalogue import Holder
from toucanhall.platform import Client, Stored
from toucanhall.platform.model import ABSENT
from toucanhall.spread.actor import log_invalid
from toucanhall.spread.record import CATALOGUE_NAME, decode, encode

__all__ = ('Watcher',)

_WAIT_SECONDS: Final = 10.0
_PAUSE_SECONDS: Final = 1.0


class Watcher:
    """A thread that waits on the store for changes of the catalogue."""

    def __init__(
        self,
        *,
        platform: Client,
        holder: Holder,
        stopping: threading.Event,
    ) -> None:
        """Offer what the store holds to the holder until stopping is set."""
        self._platform = platform
        self._holder = holder
        self._stopping = stopping
        self._available = True

    def start(self) -> None:
        """Begin to follow the store."""
        thread = threading.Thread(target=self._run, name='watcher', daemon=True)
        thread.start()

    def _run(self) -> None:
        known = -1
        while not self._stopping.is_set():
            watched = self._platform.watch(CATALOGUE_NAME, known, _WAIT_SECONDS)
            self._note_available(available=is_successful(watched))
            if is_successful(watched):
                stored = watched.unwrap()
                known = stored.version
                self._take(stored)
            else:
                self._stopping.wait(_PAUSE_SECONDS)

    def _take(self, stored: Stored) -> None:
        if stored.version == ABSENT:
            self._restore(stored)
            return
        decoded = decode(stored.content)
        decoded.alt(log_invalid)
        if not is_successful(decoded):
            return
        revision = decoded.unwrap()
        held = self._holder.current
        if held and revision.number < held.number:
            self._restore(stored)
            return
        self._holder.offer(revision)

    def _restore(self, stored: Stored) -> None:
        held = self._holder.current
        if held is None:
            return
        content = encode(held.number, held.change, held.document)
        written = self._platform.write(CATALOGUE_NAME, content, stored.version)
        if is_successful(written):
            events.log(events.CATALOGUE_RESTORED, revision=held.number)

    def _note_available(self, *, available: bool) -> None:
        if available == self._available:
            return
        self._available = available
        events.log(
            events.PLATFORM_AVAILABLE
            if available
            else events.PLATFORM_UNAVAILABLE,
        )
