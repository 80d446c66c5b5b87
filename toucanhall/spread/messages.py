"""Messages by which VMs exchange revisions."""

from typing import NamedTuple

__all__ = ('RevisionQuery', 'Delta', 'Offer', 'RevisionAnswer')


class RevisionQuery(NamedTuple):
    """Asks a peer to compare revisions; `nonce` identifies the query."""

    nonce: int
    address: str
    number: int
    change: str


class RevisionAnswer(NamedTuple):
    """The answer to a `RevisionQuery`.

    `age` is the number of seconds since the peer's revision was known to be
    the newest of the store, or None when the peer may not rely on it itself.
    """

    nonce: int
    number: int
    change: str
    age: float | None


class Offer(NamedTuple):
    """A whole revision, for a peer that may lack it."""

    number: int
    change: str
    document: bytes


class Delta(NamedTuple):
    """A merge patch from a base revision; `digest` verifies the result."""

    number: int
    change: str
    base_number: int
    base_change: str
    patch: bytes
    digest: bytes
