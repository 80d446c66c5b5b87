"""Logs headers of targets for which this program has no name."""

from typing import Final

from toucanhall.observe import events
from toucanhall.observe.journal import Journal
from toucanhall.web.messages import Headers

__all__ = ('UnknownHeaders',)

_MAX_NAMES: Final = 32
_MAX_LOGGED_CHARACTERS: Final = 80


class UnknownHeaders:
    """The names of unknown headers that were logged since the start."""

    def __init__(self, *, journal: Journal) -> None:
        """Start without any name."""
        self._journal = journal
        self._names: set[bytes] = set()

    def record(self, target: str, headers: Headers) -> None:
        """Log each header whose name was not logged before."""
        for name, content in headers:
            if name in self._names or len(self._names) >= _MAX_NAMES:
                continue
            self._names.add(name)
            self._journal.write(
                events.UNKNOWN_HEADER,
                header=_shorten(name),
                content=_shorten(content),
                target=target,
            )


def _shorten(content: bytes) -> str:
    return content[:_MAX_LOGGED_CHARACTERS].decode('latin-1')
