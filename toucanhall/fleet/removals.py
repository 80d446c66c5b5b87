"""Names that were removed from a table, to send a peer only the changes."""

from collections.abc import Mapping
from typing import Final

__all__ = ('Removals',)

# Some 150 kB; a peer that lacks more removals gets the whole table.
_MAX_NAMES: Final = 1024


class Removals:
    """The removals after a revision, each with its own revision."""

    def __init__(self, *, max_names: int = _MAX_NAMES) -> None:
        """Start empty; beyond the maximum, the oldest names are dropped."""
        self._max_names = max_names
        self._removed: dict[str, int] = {}
        self._since = 0

    def restart(self, revision: int) -> None:
        """Start from a whole table: earlier removals are not known."""
        self._removed.clear()
        self._since = revision

    def record(self, name: str, revision: int) -> None:
        """Record that a name was removed at a revision."""
        self._removed.pop(name, None)
        self._removed[name] = revision
        if len(self._removed) > self._max_names:
            oldest = next(iter(self._removed))
            self._since = max(self._since, self._removed.pop(oldest))

    def discard(self, name: str) -> None:
        """Drop the removal of a name that is in the table again."""
        self._removed.pop(name, None)

    def knows_all_since(self, revision: int) -> bool:
        """Whether all removals after a revision are known."""
        return 0 < self._since <= revision

    def list_since(self, revision: int) -> Mapping[str, int]:
        """Return the names that were removed after a revision."""
        return {
            name: removed_at
            for name, removed_at in self._removed.items()
            if removed_at > revision
        }
