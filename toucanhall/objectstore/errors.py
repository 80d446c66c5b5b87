"""Errors of the platform client."""

from typing import NamedTuple, TypeAlias

__all__ = ('Ambiguous', 'Conflict', 'PlatformError', 'Unavailable')


class Unavailable(NamedTuple):
    """The call had no effect, or it was a read that got no answer."""

    what: str


class Conflict(NamedTuple):
    """A conditional write found another version; nothing was written."""

    name: str
    expected: int


class Ambiguous(NamedTuple):
    """A write got no answer: it may have taken effect."""

    name: str
    what: str


PlatformError: TypeAlias = Unavailable | Conflict | Ambiguous
