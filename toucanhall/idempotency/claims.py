"""Claims on idempotency keys, and the decision on one that was found."""

import enum
import hashlib
from typing import NamedTuple

__all__ = ('Claim', 'Found', 'Outcome', 'Standing', 'judge', 'name_claim')


class Outcome(NamedTuple):
    """The stored answer of a request that ran.

    A body that is too large for the store is not kept.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_kept: bool = True


class Claim(NamedTuple):
    """Who may run a request, the digest of it, and its outcome if known.

    `released` says that the claimant gave up before it sent the first byte.
    """

    claim_id: str
    digest: str
    released: bool = False
    outcome: Outcome | None = None


class Standing(enum.Enum):
    """How a claim that was found stands to this request."""

    MINE = 'mine'
    FREE = 'free'
    DONE = 'done'
    OPEN = 'open'
    MISMATCH = 'mismatch'


class Found(NamedTuple):
    """A claim as it lies in the store, with its version."""

    claim: Claim
    version: int


def judge(claim: Claim, claim_id: str, digest: str) -> Standing:
    """Decide what a found claim means for a request."""
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

    The path is that of the request: that of the route would change with a
    revision of the catalogue, and a repeat after it would run again.
    """
    text = '\0'.join((team, path, key))
    return f'claims/{hashlib.sha256(text.encode()).hexdigest()}'
