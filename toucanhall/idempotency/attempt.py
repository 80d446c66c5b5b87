"""The state of one VM's attempt to run a request once."""

import enum
from typing import Final, NamedTuple

from toucanhall.idempotency.claims import Claim
from toucanhall.objectstore.model import ABSENT

__all__ = ('Attempt', 'Stage', 'Verdict', 'may_send')

_MAX_TRIES: Final = 3


class Stage(enum.Enum):
    """Where an attempt to run a request once stands."""

    WRITING = 'writing'
    READING = 'reading'
    HELD = 'held'
    SENT = 'sent'
    FINISHING = 'finishing'
    RELEASING = 'releasing'
    CHECKING = 'checking'
    ENDED = 'ended'


class Verdict(enum.Enum):
    """What the caller is told, or MINE when the request may be sent."""

    MINE = 'mine'
    DONE = 'done'
    OPEN = 'open'
    MISMATCH = 'mismatch'
    UNCLAIMED = 'unclaimed'
    LATE = 'late'


class Attempt(NamedTuple):
    """One VM's attempt: its claim and the version its next write expects.

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
    """Return whether the first byte may leave now."""
    return now < give_up_at
