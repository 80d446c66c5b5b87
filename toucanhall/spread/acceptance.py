"""Decides on an operator's change: when it may be written, when it counts."""

import enum
from typing import Final, NamedTuple, TypeAlias

from toucanhall.spread.record import Record

__all__ = (
    'Attempt',
    'ReadSucceeded',
    'Known',
    'ReadFailed',
    'BaseVerdict',
    'Step',
    'WriteUncertain',
    'WriteFailed',
    'WriteSucceeded',
    'check_base',
    'decide_step',
)

_MAX_TRIES: Final = 4


class BaseVerdict(enum.Enum):
    """Whether a change may be written on top of what the store holds."""

    OPEN = 'open'
    DONE = 'done'
    CONFLICT = 'conflict'
    STORE_BEHIND = 'store-behind'


class Step(enum.Enum):
    """What comes next for a change that is being written."""

    WRITE = 'write'
    READ = 'read'
    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class Known(NamedTuple):
    """The newest number that this VM holds or heard of, and its change."""

    number: int = 0
    change: str = ''


class Attempt(NamedTuple):
    """A change on its way: its base, the version it replaces, its tries.

    `is_sent` tells that an earlier try may still take effect.
    """

    change: str
    base_change: str
    version: int
    is_sent: bool = False
    tries: int = 0


class WriteSucceeded(NamedTuple):
    """The store told that the write took effect."""


class WriteFailed(NamedTuple):
    """This try had no effect; `conflict` tells that the version moved on."""

    conflict: bool


class WriteUncertain(NamedTuple):
    """The reply was lost: the write took effect, or may do so later."""


class ReadSucceeded(NamedTuple):
    """The store was read after a try."""

    version: int
    record: Record


class ReadFailed(NamedTuple):
    """The store could not be read after a try."""


Event: TypeAlias = (
    WriteSucceeded | WriteFailed | WriteUncertain | ReadSucceeded | ReadFailed
)


def check_base(
    expected: int,
    change: str,
    known: Known,
    stored: Record,
) -> BaseVerdict:
    """Judge a change that replaces revision `expected`.

    A store that came back older is repaired before it takes a change, so that
    no number is used twice.
    """
    if change in {stored.change, *stored.history}:
        return BaseVerdict.DONE
    if (stored.number, stored.change) < (known.number, known.change):
        return BaseVerdict.STORE_BEHIND
    if stored.number != expected:
        return BaseVerdict.CONFLICT
    return BaseVerdict.OPEN


def decide_step(attempt: Attempt, event: Event) -> tuple[Attempt, Step]:
    """Return the attempt and its next step after a reply of the store."""
    if isinstance(event, WriteSucceeded):
        return attempt, Step.ACCEPTED
    if isinstance(event, ReadSucceeded):
        return _check_read(attempt, event)
    if isinstance(event, WriteFailed) and not attempt.is_sent:
        return attempt, Step.CONFLICT if event.conflict else Step.REFUSED
    is_sent = attempt.is_sent or isinstance(event, WriteUncertain)
    return _retry_read(attempt._replace(is_sent=is_sent))


def _check_read(attempt: Attempt, read: ReadSucceeded) -> tuple[Attempt, Step]:
    record = read.record
    if attempt.change in {*record.history, record.change}:
        return attempt, Step.ACCEPTED
    if read.version == attempt.version:
        # Writing again is what keeps a delayed write from landing later.
        return attempt, Step.WRITE
    if attempt.base_change in record.history:
        return attempt, Step.CONFLICT
    # The store came back older; what it lost may be this change.
    return _retry_read(attempt)


def _retry_read(attempt: Attempt) -> tuple[Attempt, Step]:
    tried = attempt._replace(tries=attempt.tries + 1)
    return tried, Step.READ if tried.tries < _MAX_TRIES else Step.UNKNOWN
