"""The last entries of targets that left, to know them in an older table."""

from collections.abc import Collection
from typing import Final

from toucanhall.fleet.model import Target

__all__ = ('Departures', 'is_newer_entry')

_MAX_TARGETS: Final = 1024


class Departures:
    """The targets that left, each as its last entry told of it."""

    def __init__(self, *, max_targets: int = _MAX_TARGETS) -> None:
        """Start empty; beyond the maximum, the oldest are dropped."""
        self._max_targets = max_targets
        self._departed: dict[str, Target] = {}

    def record(self, target: Target) -> None:
        """Record the entry of a target that left."""
        self._departed.pop(target.id, None)
        self._departed[target.id] = target
        if len(self._departed) > self._max_targets:
            self._departed.pop(next(iter(self._departed)))

    def discard(self, names: Collection[str]) -> None:
        """Drop targets that are in the table again."""
        for name in self._departed.keys() & names:
            self._departed.pop(name)

    def has_left(self, entry: Target) -> bool:
        """Whether a target has left since it wrote an entry."""
        departed = self._departed.get(entry.id)
        return departed is not None and not is_newer_entry(entry, departed)


def is_newer_entry(entry: Target, known: Target) -> bool:
    """Whether a target wrote an entry after another one.

    Targets count their writes from their start on, in any era of the store.
    """
    return (entry.started_at, entry.sequence) > (
        known.started_at,
        known.sequence,
    )
