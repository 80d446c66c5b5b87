"""Logs headers of answers for which this program has no name."""

from typing import Final

from toucanhall.events import Event
from toucanhall.observe.journal import Journal
from toucanhall.web.messages import Headers

__all__ = ('UnknownHeaders',)

_MAX_NAMES: Final = 32
_MAX_LOGGED_CHARACTERS: Final = 80


class UnknownHeaders:
    """The names of unknown headers that were logged since the start."""

    def __init__(self, *, journal: Journal, event: Event) -> None:
        """Start without any name; log each one by `event`."""
        self._journal = journal
        self._event = event
        self._names: set[bytes] = set()

    def record(self, headers: Headers, **origin: object) -> None:
        """Log each header whose name was not logged before, with its origin."""
        for name, content in headers:
            if name in self._names or len(self._names) >= _MAX_NAMES:
                continue
            self._names.add(name)
            self._journal.write(
                self._event,
                header=_shorten(name),
                content=_shorten(content),
                **origin,
            )


def _shorten(content: bytes) -> str:
    return content[:_MAX_LOGGED_CHARACTERS].decode('latin-1')
