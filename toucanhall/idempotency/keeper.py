"""Carries out the steps of claims in the platform's store."""

from collections import deque
from typing import Final, NamedTuple

import msgspec
from returns.result import Success

from toucanhall import events, runtime
from toucanhall.idempotency import messages, protocol
from toucanhall.idempotency.attempt import Attempt, Verdict
from toucanhall.idempotency.claims import Claim, Found, Outcome
from toucanhall.idempotency.messages import Transition
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

_MAX_OUTCOME_BYTES: Final = 262144  # bytes of an answer kept for repeats
_MAX_UNSETTLED_CLAIMS: Final = 4096  # claims whose last write is pending
_MAX_SETTLED_PER_ROUND: Final = 64


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
        self._unsettled: deque[tuple[str, Attempt]] = deque(
            maxlen=_MAX_UNSETTLED_CLAIMS
        )

    def begin(self, name: str, digest: str, give_up_at: float) -> Begun:
        """Claim a name; the request may be sent only if the verdict is MINE."""
        claim = Claim(runtime.make_id(), digest)
        attempt, notified = self._run(name, protocol.start(claim, give_up_at))
        verdict = notified.verdict if notified else Verdict.UNCLAIMED
        return Begun(
            verdict, notified.claim if notified else claim, name, attempt
        )

    def finish(self, begun: Begun, outcome: Outcome) -> None:
        """Store the outcome of a request that ran."""
        if len(outcome.body) > _MAX_OUTCOME_BYTES:
            outcome = outcome._replace(body=b'', is_kept=False)
        self._apply_event(begun, messages.ResponseReceived(outcome))

    def release(self, begun: Begun) -> None:
        """Give up a claim whose request was never sent."""
        self._apply_event(begun, messages.Abandoned())

    def settle(self) -> None:
        """Retry the pending writes to the store."""
        for _ in range(min(_MAX_SETTLED_PER_ROUND, len(self._unsettled))):
            name, attempt = self._unsettled.popleft()
            unsettled_count = len(self._unsettled)
            now = runtime.read_clock()
            self._run(name, protocol.step(attempt, messages.Retry(), now))
            if len(self._unsettled) > unsettled_count:
                return

    def _apply_event(self, begun: Begun, event: messages.Event) -> None:
        now = runtime.read_clock()
        transition = protocol.step(begun.attempt, event, now)
        self._run(begun.name, transition)

    def _run(
        self,
        name: str,
        transition: Transition,
    ) -> tuple[Attempt, messages.Notify | None]:
        notified: messages.Notify | None = None
        while True:
            for effect in transition.effects:
                if isinstance(effect, messages.Notify):
                    notified = effect
            event = self._perform(name, transition)
            if event is None:
                return transition.attempt, notified
            transition = protocol.step(
                transition.attempt, event, runtime.read_clock()
            )

    def _perform(
        self, name: str, transition: Transition
    ) -> messages.Event | None:
        event: messages.Event | None = None
        for effect in transition.effects:
            if isinstance(effect, messages.Write):
                event = self._write(name, effect)
            elif isinstance(effect, messages.Read):
                event = self._read(name)
            elif isinstance(effect, messages.ScheduleRetry):
                self._add_unsettled(name, transition.attempt)
        return event

    def _add_unsettled(self, name: str, attempt: Attempt) -> None:
        self._unsettled.append((name, attempt))
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

    def _read(self, name: str) -> messages.Event:
        read = self._platform.read(name)
        if not isinstance(read, Success):
            return messages.StoreUnreachable()
        return _decode(read.unwrap())


def _decode(stored: Stored) -> messages.Event:
    if stored.version == ABSENT:
        return messages.ReadDone(None)
    try:
        claim = msgspec.json.decode(stored.content, type=Claim)
    except msgspec.MsgspecError as error:
        events.log(events.CLAIM_INVALID, claim=stored.name, what=str(error))
        return messages.StoreUnreachable()
    return messages.ReadDone(Found(claim, stored.version))


_WRITE_EVENTS: Final[dict[type[PlatformError], messages.Event]] = {
    Conflict: messages.Conflicted(),
    Ambiguous: messages.ReplyLost(),
    Unavailable: messages.StoreUnreachable(),
}
