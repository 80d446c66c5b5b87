"""Carries out the steps of claims in the platform's store."""

from collections import deque
from typing import Final, NamedTuple

import msgspec
from returns.result import Success

from toucanhall import events, runtime
from toucanhall.idempotency import messages, protocol
from toucanhall.idempotency.attempt import Attempt, Verdict
from toucanhall.idempotency.claims import Claim, Found, Outcome
from toucanhall.idempotency.messages import Moved
from toucanhall.objectstore import (
    Ambiguous,
    Client,
    Conflict,
    Stored,
    Unavailable,
)
from toucanhall.objectstore.errors import PlatformError
from toucanhall.objectstore.model import ABSENT

__all__ = ('Begun', 'Keeper')

_LARGEST_OUTCOME: Final = 262144  # bytes of an answer kept for repeats
_LARGEST_BACKLOG: Final = 4096  # claims whose last write is still owed
_SETTLED_PER_ROUND: Final = 64


class Begun(NamedTuple):
    """How a claim stands, the claim found, and what continues it."""

    verdict: Verdict
    claim: Claim
    name: str
    attempt: Attempt


class Keeper:
    """Runs claims; holds only what could not be written to the store yet."""

    def __init__(self, *, platform: Client) -> None:
        """Keep claims in a platform's store."""
        self._platform = platform
        self._owed: deque[tuple[str, Attempt]] = deque(maxlen=_LARGEST_BACKLOG)

    def begin(self, name: str, digest: str, give_up_at: float) -> Begun:
        """Claim a name; the request may be sent only if the verdict is MINE."""
        claim = Claim(runtime.make_id(), digest)
        attempt, told = self._run(name, protocol.start(claim, give_up_at))
        verdict = told.verdict if told else Verdict.UNCLAIMED
        return Begun(verdict, told.claim if told else claim, name, attempt)

    def finish(self, begun: Begun, outcome: Outcome) -> None:
        """Store the outcome of a request that ran."""
        if len(outcome.body) > _LARGEST_OUTCOME:
            outcome = outcome._replace(body=b'', is_kept=False)
        self._advance(begun, messages.Answered(outcome))

    def release(self, begun: Begun) -> None:
        """Give up a claim whose request was never sent."""
        self._advance(begun, messages.Unsent())

    def settle(self) -> None:
        """Try again to write what is owed to the store."""
        for _ in range(min(_SETTLED_PER_ROUND, len(self._owed))):
            name, attempt = self._owed.popleft()
            owed = len(self._owed)
            now = runtime.read_clock()
            self._run(name, protocol.step(attempt, messages.Retry(), now))
            if len(self._owed) > owed:
                return

    def _advance(self, begun: Begun, event: messages.Event) -> None:
        now = runtime.read_clock()
        moved = protocol.step(begun.attempt, event, now)
        self._run(begun.name, moved)

    def _run(
        self,
        name: str,
        moved: Moved,
    ) -> tuple[Attempt, messages.Tell | None]:
        told: messages.Tell | None = None
        while True:
            for effect in moved.effects:
                if isinstance(effect, messages.Tell):
                    told = effect
            event = self._perform(name, moved)
            if event is None:
                return moved.attempt, told
            moved = protocol.step(moved.attempt, event, runtime.read_clock())

    def _perform(self, name: str, moved: Moved) -> messages.Event | None:
        event: messages.Event | None = None
        for effect in moved.effects:
            if isinstance(effect, messages.Write):
                event = self._write(name, effect)
            elif isinstance(effect, messages.Look):
                event = self._look(name)
            elif isinstance(effect, messages.Later):
                self._owe(name, moved.attempt)
        return event

    def _owe(self, name: str, attempt: Attempt) -> None:
        self._owed.append((name, attempt))
        events.log(events.CLAIM_UNSETTLED, claim=name)

    def _write(self, name: str, effect: messages.Write) -> messages.Event:
        written = self._platform.write(
            name,
            msgspec.json.encode(effect.claim),
            effect.expected,
        )
        if isinstance(written, Success):
            return messages.Written(written.unwrap())
        return _WRITE_EVENTS[type(written.failure())]

    def _look(self, name: str) -> messages.Event:
        read = self._platform.read(name)
        if not isinstance(read, Success):
            return messages.Down()
        return _decode(read.unwrap())


def _decode(stored: Stored) -> messages.Event:
    if stored.version == ABSENT:
        return messages.Seen(None)
    try:
        claim = msgspec.json.decode(stored.content, type=Claim)
    except msgspec.MsgspecError as error:
        events.log(events.CLAIM_INVALID, claim=stored.name, what=str(error))
        return messages.Down()
    return messages.Seen(Found(claim, stored.version))


_WRITE_EVENTS: Final[dict[type[PlatformError], messages.Event]] = {
    Conflict: messages.Conflicted(),
    Ambiguous: messages.Lost(),
    Unavailable: messages.Down(),
}
