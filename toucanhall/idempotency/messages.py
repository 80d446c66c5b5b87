"""What can happen to a claim, and what is to be done about it."""

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
    """A write took effect and gave the object a version."""

    version: int


class Conflicted(NamedTuple):
    """A write found another version and had no effect."""


class ReplyLost(NamedTuple):
    """A write got no reply; it took effect, never will, or will later."""


class StoreUnreachable(NamedTuple):
    """The store was not reached; the call had no effect."""


class ReadDone(NamedTuple):
    """The store was read."""

    found: Found | None


class Connected(NamedTuple):
    """A connection stands and the first byte can leave."""


class Abandoned(NamedTuple):
    """The request was given up before the first byte."""


class Disclaimed(NamedTuple):
    """The entry VM that got the request truly said it did not run it."""


class ResponseReceived(NamedTuple):
    """A whole answer came."""

    outcome: Outcome


class ResponseMissing(NamedTuple):
    """No whole answer came after the first byte."""


class Retry(NamedTuple):
    """It is time to try a write again that was put off."""


class Write(NamedTuple):
    """Write a claim on the condition that its version is the expected."""

    claim: Claim
    expected: int


class Read(NamedTuple):
    """Read what lies in the store."""


class Send(NamedTuple):
    """Send the first byte."""


class Notify(NamedTuple):
    """Notify the request path how the claim stands."""

    verdict: Verdict
    claim: Claim


class ScheduleRetry(NamedTuple):
    """Come back with `Retry` after a while."""


StoreEvent: TypeAlias = (
    Written | Conflicted | ReplyLost | StoreUnreachable | ReadDone | Retry
)
RequestEvent: TypeAlias = (
    Connected | Abandoned | Disclaimed | ResponseReceived | ResponseMissing
)
Event: TypeAlias = StoreEvent | RequestEvent
Effect: TypeAlias = Write | Read | Send | Notify | ScheduleRetry


class Transition(NamedTuple):
    """The state after an event, and what is to be done now."""

    attempt: Attempt
    effects: tuple[Effect, ...] = ()
