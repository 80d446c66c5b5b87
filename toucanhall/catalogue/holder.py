"""Holds the revision in force; never replaces it by an older one."""

import enum
import threading
from collections.abc import Callable
from typing import Final

from toucanhall import events
from toucanhall.catalogue.model import Revision

__all__ = ('Holder', 'Verdict', 'get_verdict')


class Verdict(enum.Enum):
    """Result of comparing a received revision with the one in force."""

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
    """Decide whether a received revision replaces the one in force.

    Revisions are ordered by number, then by change id. Two revisions with the
    same number exist only if the store lost a revision that no reachable VM
    had; because of the order all VMs converge on the same one.
    """
    if held is None or number > held.number:
        return Verdict.TAKE
    if number < held.number:
        return Verdict.STALE
    if change == held.change:
        return Verdict.KNOWN
    return Verdict.REPLACE if change > held.change else Verdict.CONFLICT


class Holder:
    """The revision in force in this process; reads take no lock."""

    def __init__(
        self,
        *,
        is_settled: Callable[[], bool] | None = None,
        may_serve: Callable[[float], bool] | None = None,
    ) -> None:
        """Start with no revision.

        `is_settled` returns whether revisions were compared with other VMs
        since the start or the latest pause; `may_serve` whether keys may be
        relied on, given the maximum age of the revision in seconds. Without
        them the revision in force is always relied on.
        """
        self._is_settled = is_settled
        self._may_serve = may_serve
        self._lock = threading.Lock()
        self._listeners: list[Callable[[Revision], None]] = []
        self.current: Revision | None = None

    def add_listener(self, listener: Callable[[Revision], None]) -> None:
        """Register a function to call with each revision that is applied."""
        self._listeners.append(listener)

    def is_ready(self) -> bool:
        """Return whether requests may be decided by the revision in force."""
        if self.current is None:
            return False
        return self._is_settled is None or self._is_settled()

    def may_rely_on_keys(self) -> bool:
        """Return whether keys of the revision in force may be relied on."""
        held = self.current
        if held is None or self._may_serve is None:
            return held is not None
        return self._may_serve(held.catalogue.key_hold_seconds)

    def offer(self, revision: Revision) -> Verdict:
        """Apply a revision if it is newer than the one in force."""
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
