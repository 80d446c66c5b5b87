"""Claims on idempotency keys, and how a stored claim affects a request."""

import enum
import hashlib
from typing import NamedTuple

__all__ = ('Claim', 'Found', 'Outcome', 'Standing', 'judge', 'name_claim')


class Outcome(NamedTuple):
    """The stored response of a request that ran.

    `is_kept` is false, and `body` empty, if the body was too large to store.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_kept: bool = True


class Claim(NamedTuple):
    """The claimant, the digest of the request, and its outcome if known.

    `released` says that the claimant gave up before it sent the first byte.
    """

    claim_id: str
    digest: str
    released: bool = False
    outcome: Outcome | None = None


class Standing(enum.Enum):
    """What a stored claim means for a request."""

    MINE = 'mine'
    FREE = 'free'
    DONE = 'done'
    OPEN = 'open'
    MISMATCH = 'mismatch'


class Found(NamedTuple):
    """A stored claim and the version of its object."""

    claim: Claim
    version: int


def judge(claim: Claim, claim_id: str, digest: str) -> Standing:
    """Return what a stored claim means for a request."""
    if claim.claim_id == claim_id:
        return Standing.MINE
    if claim.digest != digest:
        return Standing.MISMATCH
    if claim.outcome is not None:
        return Standing.DONE
    if claim.released:
        return Standing.FREE
    return Standing.OPEN


def name_claim(team: str, path: str, key: str) -> str:
    """Return the name of the claim object of a team's idempotency key.

    It is made of the request's path, not the route's: a new revision of the
    catalogue may change the route's path, and a retry would then run again.
    """
    text = '\0'.join((team, path, key))
    return f'claims/{hashlib.sha256(text.encode()).hexdigest()}'
