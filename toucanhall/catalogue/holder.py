"""Holds the revision in force; an older one is never taken."""

import enum
import threading
from collections.abc import Callable
from typing import Final

from toucanhall import events
from toucanhall.catalogue.model import Revision

__all__ = ('Holder', 'Verdict', 'get_verdict')


class Verdict(enum.Enum):
    """What becomes of a revision that arrived."""

    TAKE = 'take'
    KNOWN = 'known'
    STALE = 'stale'
    REPLACE = 'replace'
    CONFLICT = 'conflict'


_ACCEPTED: Final = frozenset((Verdict.TAKE, Verdict.REPLACE))
_COLLISIONS: Final = frozenset((Verdict.REPLACE, Verdict.CONFLICT))


def get_verdict(
    held: Revision | None,
    number: int,
    change: str,
) -> Verdict:
    """Decide whether an arriving revision replaces the one held.

    Revisions are ordered by number, then by change id. Two contents under one
    number can arise only when the store lost a revision that no VM within
    reach had; the order lets every VM end with the same one.
    """
    if held is None or number > held.number:
        return Verdict.TAKE
    if number < held.number:
        return Verdict.STALE
    if change == held.change:
        return Verdict.KNOWN
    return Verdict.REPLACE if change > held.change else Verdict.CONFLICT


class Holder:
    """The revision in force in this process, read without a lock."""

    def __init__(
        self,
        *,
        is_settled: Callable[[], bool] | None = None,
        may_serve: Callable[[float], bool] | None = None,
    ) -> None:
        """Start with no revision.

        `is_settled` tells whether revisions were compared since the start or
        the latest pause; `may_serve` whether keys hold for some seconds. A
        holder without them relies on what it holds.
        """
        self._is_settled = is_settled
        self._may_serve = may_serve
        self._lock = threading.Lock()
        self._listeners: list[Callable[[Revision], None]] = []
        self.current: Revision | None = None

    def add_listener(self, listener: Callable[[Revision], None]) -> None:
        """Call a function after each revision that comes into force."""
        self._listeners.append(listener)

    def is_ready(self) -> bool:
        """Return whether the revision in force may decide on requests."""
        if self.current is None:
            return False
        return self._is_settled is None or self._is_settled()

    def may_rely_on_keys(self) -> bool:
        """Return whether a key of the revision in force may be relied on."""
        held = self.current
        if held is None or self._may_serve is None:
            return held is not None
        return self._may_serve(held.catalogue.key_hold_seconds)

    def offer(self, revision: Revision) -> Verdict:
        """Take a revision into force when it is newer than the one held."""
        with self._lock:
            held = self.current
            verdict = get_verdict(held, revision.number, revision.change)
            if verdict in _ACCEPTED:
                self.current = revision
        if held and verdict in _COLLISIONS:
            events.log(
                events.CATALOGUE_COLLISION,
                revision=revision.number,
                change=revision.change,
                held_change=held.change,
            )
        if verdict in _ACCEPTED:
            self._notify_listeners(revision)
        elif verdict is Verdict.STALE:
            events.log(
                events.CATALOGUE_STALE,
                revision=revision.number,
                change=revision.change,
            )
        return verdict

    def _notify_listeners(self, revision: Revision) -> None:
        events.log(events.CATALOGUE_APPLIED, revision=revision.number)
        for listener in self._listeners:
            listener(revision)
