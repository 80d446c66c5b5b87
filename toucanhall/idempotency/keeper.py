"""Makes, settles and finishes claims in the platform's store."""

from typing import Final, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from toucanhall import events, runtime
from toucanhall.idempotency.claims import (
    Claim,
    Found,
    Outcome,
    Standing,
    judge,
)
from toucanhall.platform import Client, Conflict, Unavailable
from toucanhall.platform.errors import PlatformError
from toucanhall.platform.model import ABSENT

__all__ = ('Begun', 'Keeper')

_TRIES: Final = 3
_LARGEST_OUTCOME: Final = 262144  # bytes of an answer kept for repeats


class Begun(NamedTuple):
    """A claim that stands: whose it is, and what to write it with."""

    standing: Standing
    name: str
    claim: Claim
    version: int


class Keeper:
    """Holds no state of its own: every claim lies in the store."""

    def __init__(self, *, platform: Client) -> None:
        """Keep claims in a platform's store."""
        self._platform = platform

    def begin(self, name: str, digest: str) -> Result[Begun, PlatformError]:
        """Claim a name before the first byte is sent.

        A failure means that the request must not run. After a write whose
        reply was lost the same claim is written again: only one of the two
        writes can take effect, and both carry the same claim id.
        """
        claim = Claim(runtime.make_id(), digest)
        expected = ABSENT
        error: PlatformError = Unavailable(f'claim {name}')
        for _try in range(_TRIES):
            written = self._write(name, claim, expected)
            if isinstance(written, Success):
                version = written.unwrap()
                return Success(Begun(Standing.MINE, name, claim, version))
            error = written.failure()
            if isinstance(error, Unavailable):
                break
            found = self._find(name)
            if not isinstance(found, Success):
                return Failure(found.failure())
            begun = _settle(name, claim, found.unwrap())
            if begun.standing is not Standing.FREE:
                return Success(begun)
            expected = begun.version
        return Failure(error)

    def finish(self, begun: Begun, outcome: Outcome) -> None:
        """Store the outcome of a request that ran."""
        if len(outcome.body) > _LARGEST_OUTCOME:
            return
        self._replace(begun, begun.claim._replace(outcome=outcome))

    def release(self, begun: Begun) -> None:
        """Give up a claim whose request was never sent."""
        self._replace(begun, begun.claim._replace(released=True))

    def _replace(self, begun: Begun, claim: Claim) -> None:
        for _try in range(_TRIES):
            written = self._write(begun.name, claim, begun.version)
            if isinstance(written, Success):
                return
            if isinstance(written.failure(), Conflict):
                return
        events.log(events.CLAIM_UNSETTLED, claim=begun.name)

    def _write(
        self,
        name: str,
        claim: Claim,
        expected: int,
    ) -> Result[int, PlatformError]:
        return self._platform.write(name, msgspec.json.encode(claim), expected)

    def _find(self, name: str) -> Result[Found | None, PlatformError]:
        read = self._platform.read(name)
        if not isinstance(read, Success):
            return Failure(read.failure())
        stored = read.unwrap()
        if stored.version == ABSENT:
            return Success(None)
        try:
            claim = msgspec.json.decode(stored.content, type=Claim)
        except msgspec.MsgspecError as error:
            return Failure(Unavailable(f'claim {name} is damaged: {error}'))
        return Success(Found(claim, stored.version))


def _settle(name: str, claim: Claim, found: Found | None) -> Begun:
    if found is None:
        return Begun(Standing.FREE, name, claim, ABSENT)
    standing = judge(found.claim, claim.claim_id, claim.digest)
    return Begun(standing, name, found.claim, found.version)
