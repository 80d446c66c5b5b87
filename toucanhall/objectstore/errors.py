"""Errors of calls to the platform."""

from typing import NamedTuple, TypeAlias

__all__ = ('Ambiguous', 'Conflict', 'PlatformError', 'Unavailable')


class Unavailable(NamedTuple):
    """The call had no effect, or it was a read without a response."""

    what: str


class Conflict(NamedTuple):
    """The object has another version than expected; nothing was written."""

    name: str
    expected: int


class Ambiguous(NamedTuple):
    """A write got no response; it may have taken effect."""

    name: str
    what: str


PlatformError: TypeAlias = Unavailable | Conflict | Ambiguous
