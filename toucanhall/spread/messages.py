"""Messages of the spread of revisions."""

from typing import NamedTuple

__all__ = ('Offer',)


class Offer(NamedTuple):
    """A whole revision for a peer that may not have it."""

    number: int
    change: str
    document: bytes
