"""State of one VM's attempt to claim an idempotency key and run a request."""

import enum
from typing import Final, NamedTuple

from toucanhall.idempotency.claims import Claim
from toucanhall.objectstore.model import ABSENT

__all__ = ('Attempt', 'Stage', 'Verdict', 'may_send')

_MAX_TRIES: Final = 3


class Stage(enum.Enum):
    """Stages of an attempt."""

    WRITING = 'writing'
    READING = 'reading'
    HELD = 'held'
    SENT = 'sent'
    FINISHING = 'finishing'
    RELEASING = 'releasing'
    CHECKING = 'checking'
    ENDED = 'ended'


class Verdict(enum.Enum):
    """Result of an attempt; only MINE allows the request to be sent."""

    MINE = 'mine'
    DONE = 'done'
    OPEN = 'open'
    MISMATCH = 'mismatch'
    UNCLAIMED = 'unclaimed'
    LATE = 'late'


class Attempt(NamedTuple):
    """One VM's claim and the object version that its next write expects.

    Nothing is sent to a target from `give_up_at` on.

    `has_unconfirmed_write` says that a write got no reply and may still take
    effect.
    """

    claim: Claim
    give_up_at: float
    stage: Stage = Stage.WRITING
    expected: int = ABSENT
    remaining_tries: int = _MAX_TRIES
    has_unconfirmed_write: bool = False


def may_send(give_up_at: float, now: float) -> bool:
    """Return whether the first byte of a request may still be sent."""
    return now < give_up_at
