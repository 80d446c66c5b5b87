"""Counts the parts of messages that only later builds know, and logs them."""

from collections import Counter
from collections.abc import Mapping
from typing import Final

from toucanhall.observe import events
from toucanhall.observe.journal import Journal

__all__ = ('UnknownParts',)

_MAX_NAMES: Final = 32


class UnknownParts:
    """The unknown fields of each record, logged once by the record's name."""

    def __init__(self, *, journal: Journal) -> None:
        """Start without any."""
        self._journal = journal
        self._counts: Counter[str] = Counter()

    @property
    def total(self) -> int:
        """How many unknown fields were passed over since the start."""
        return self._counts.total()

    def record(self, counts: Mapping[str, int]) -> None:
        """Count the unknown fields of a message, by the names of records."""
        for name, count in counts.items():
            if name not in self._counts and len(self._counts) < _MAX_NAMES:
                self._journal.write(
                    events.UNKNOWN_FIELDS, record=name, fields=count
                )
            self._counts[name] += count
