"""Names that left a table, so that a peer can be told changes alone."""

from collections.abc import Mapping
from typing import Final

__all__ = ('Removals',)

# Some 150 kB; a peer that lacks more than these gets the whole table.
_MOST_NAMES: Final = 1024


class Removals:
    """The removals that followed a revision, each with its own revision."""

    def __init__(self, *, max_names: int = _MOST_NAMES) -> None:
        """Know nothing; the oldest names go when there are too many."""
        self._most_names = max_names
        self._removed: dict[str, int] = {}
        self._since = 0

    def restart(self, revision: int) -> None:
        """Start at a whole table: what came before it is not known."""
        self._removed.clear()
        self._since = revision

    def record(self, name: str, revision: int) -> None:
        """Note that a name was removed at a revision."""
        self._removed.pop(name, None)
        self._removed[name] = revision
        if len(self._removed) > self._most_names:
            oldest = next(iter(self._removed))
            self._since = max(self._since, self._removed.pop(oldest))

    def discard(self, name: str) -> None:
        """Note that a name is in the table again."""
        self._removed.pop(name, None)

    def knows_all_since(self, revision: int) -> bool:
        """Whether each removal after a revision is known."""
        return 0 < self._since <= revision

    def list_since(self, revision: int) -> Mapping[str, int]:
        """Return the names that were removed after a revision."""
        return {
            name: removed
            for name, removed in self._removed.items()
            if removed > revision
        }
