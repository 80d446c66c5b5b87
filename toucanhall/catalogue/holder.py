"""Holds the revision in force; an older one is never taken."""

import enum
import threading
from collections.abc import Callable

from toucanhall import events
from toucanhall.catalogue.model import Revision

__all__ = ('Holder', 'Verdict', 'judge')


class Verdict(enum.Enum):
    """What becomes of a revision that arrived."""

    TAKE = 'take'
    KNOWN = 'known'
    STALE = 'stale'
    CONFLICT = 'conflict'


def judge(
    held: Revision | None,
    number: int,
    change: str,
) -> Verdict:
    """Decide whether an arriving revision replaces the one held."""
    if held is None or number > held.number:
        return Verdict.TAKE
    if number < held.number:
        return Verdict.STALE
    if change == held.change:
        return Verdict.KNOWN
    return Verdict.CONFLICT


class Holder:
    """The revision in force in this process, read without a lock."""

    def __init__(self) -> None:
        """Start with no revision."""
        self._lock = threading.Lock()
        self._listeners: list[Callable[[Revision], None]] = []
        self.current: Revision | None = None

    def listen(self, listener: Callable[[Revision], None]) -> None:
        """Call a function after each revision that comes into force."""
        self._listeners.append(listener)

    def offer(self, revision: Revision) -> Verdict:
        """Take a revision into force when it is newer than the one held."""
        with self._lock:
            verdict = judge(self.current, revision.number, revision.change)
            if verdict is Verdict.TAKE:
                self.current = revision
        if verdict is Verdict.TAKE:
            events.log(events.CATALOGUE_TAKEN, revision=revision.number)
            for listener in self._listeners:
                listener(revision)
        elif verdict is not Verdict.KNOWN:
            events.log(
                events.CATALOGUE_STALE,
                revision=revision.number,
                change=revision.change,
            )
        return verdict
