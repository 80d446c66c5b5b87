"""Executes the claim protocol against the platform's object store."""

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

_MAX_OUTCOME_BYTES: Final = 262144
_MAX_UNSETTLED_CLAIMS: Final = 4096
_MAX_SETTLED_PER_ROUND: Final = 64


class Begun(NamedTuple):
    """The verdict, the claim it rests on, and the state to continue from."""

    verdict: Verdict
    claim: Claim
    name: str
    attempt: Attempt


class Keeper:
    """Makes, finishes and releases claims.

    In memory are only claims whose last write has yet to reach the store.
    """

    def __init__(self, *, platform: Client) -> None:
        """Store claims through a client of the platform."""
        self._platform = platform
        self._unsettled: deque[tuple[str, Attempt]] = deque(
            maxlen=_MAX_UNSETTLED_CLAIMS
        )

    def begin(self, name: str, digest: str, give_up_at: float) -> Begun:
        """Make a claim; the request may be sent only if the verdict is MINE."""
        claim = Claim(runtime.make_id(), digest)
        attempt, notified = self._run(name, protocol.start(claim, give_up_at))
        verdict = notified.verdict if notified else Verdict.UNCLAIMED
        return Begun(
            verdict, notified.claim if notified else claim, name, attempt
        )

    def finish(self, begun: Begun, outcome: Outcome) -> None:
        """Store the outcome of a request that ran, without a body too large."""
        if len(outcome.body) > _MAX_OUTCOME_BYTES:
            outcome = outcome._replace(body=b'', is_kept=False)
        self._apply_event(begun, messages.ResponseReceived(outcome))

    def release(self, begun: Begun) -> None:
        """Release a claim whose request was never sent."""
        self._apply_event(begun, messages.Abandoned())

    def settle(self) -> None:
        """Retry pending writes to the store until one fails again."""
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
