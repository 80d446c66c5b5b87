"""Messages of the spread of revisions."""

from typing import NamedTuple

__all__ = ('RevisionQuery', 'Delta', 'Offer', 'RevisionAnswer')


class RevisionQuery(NamedTuple):
    """A VM asks a peer to compare revisions; `nonce` names the question."""

    nonce: int
    address: str
    number: int
    change: str


class RevisionAnswer(NamedTuple):
    """The answer to an `RevisionQuery`.

    `age` is how many seconds ago the peer's revision was known to be the
    newest of the store; none when the peer may not rely on it itself.
    """

    nonce: int
    number: int
    change: str
    age: float | None


class Offer(NamedTuple):
    """A whole revision for a peer that may not have it."""

    number: int
    change: str
    document: bytes


class Delta(NamedTuple):
    """A revision as a merge patch of the one before; `digest` checks it."""

    number: int
    change: str
    base_number: int
    base_change: str
    patch: bytes
    digest: bytes
