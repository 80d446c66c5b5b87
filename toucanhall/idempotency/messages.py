"""Events and effects of the claim protocol."""

from typing import NamedTuple, TypeAlias

from toucanhall.idempotency.attempt import Attempt, Verdict
from toucanhall.idempotency.claims import Claim, Found, Outcome

__all__ = (
    'Abandoned',
    'Conflicted',
    'Connected',
    'Disclaimed',
    'Effect',
    'Event',
    'Notify',
    'Read',
    'ReadDone',
    'ReplyLost',
    'ResponseMissing',
    'ResponseReceived',
    'Retry',
    'ScheduleRetry',
    'Send',
    'StoreUnreachable',
    'Transition',
    'Write',
    'Written',
)


class Written(NamedTuple):
    """A write took effect; the object now has this version."""

    version: int


class Conflicted(NamedTuple):
    """A write found another version than expected and had no effect."""


class ReplyLost(NamedTuple):
    """A write got no reply; it may have taken effect, or may do so later."""


class StoreUnreachable(NamedTuple):
    """The store could not be reached; the call had no effect."""


class ReadDone(NamedTuple):
    """The store was read; `found` is None if it holds no claim."""

    found: Found | None


class Connected(NamedTuple):
    """A connection is open and the first byte can be sent."""


class Abandoned(NamedTuple):
    """The request was given up before its first byte was sent."""


class Disclaimed(NamedTuple):
    """The entry VM that received the request proved that it did not run it."""


class ResponseReceived(NamedTuple):
    """A complete response was received."""

    outcome: Outcome


class ResponseMissing(NamedTuple):
    """The request was sent, but no complete response was received."""


class Retry(NamedTuple):
    """A postponed write is due."""


class Write(NamedTuple):
    """Write a claim if the version of its object is the expected one."""

    claim: Claim
    expected: int


class Read(NamedTuple):
    """Read the claim from the store."""


class Send(NamedTuple):
    """Send the request."""


class Notify(NamedTuple):
    """Return a verdict, and the claim that it rests on, to the request path."""

    verdict: Verdict
    claim: Claim


class ScheduleRetry(NamedTuple):
    """Deliver `Retry` later."""


StoreEvent: TypeAlias = (
    Written | Conflicted | ReplyLost | StoreUnreachable | ReadDone | Retry
)
RequestEvent: TypeAlias = (
    Connected | Abandoned | Disclaimed | ResponseReceived | ResponseMissing
)
Event: TypeAlias = StoreEvent | RequestEvent
Effect: TypeAlias = Write | Read | Send | Notify | ScheduleRetry


class Transition(NamedTuple):
    """The state after an event, and the effects to execute."""

    attempt: Attempt
    effects: tuple[Effect, ...] = ()
