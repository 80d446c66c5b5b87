"""Decides whether a change may be written and whether it was accepted."""

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
    """Whether a change may replace the revision in the store."""

    OPEN = 'open'
    DONE = 'done'
    CONFLICT = 'conflict'
    STORE_BEHIND = 'store-behind'


class Step(enum.Enum):
    """The next step, or the final outcome, of a change being written."""

    WRITE = 'write'
    READ = 'read'
    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class Known(NamedTuple):
    """Number and change id of the newest revision known; newer is greater."""

    number: int = 0
    change: str = ''


class Attempt(NamedTuple):
    """A change being written, its base and the store version it replaces.

    `is_sent` is set when an earlier write may still take effect.
    """

    change: str
    base_change: str
    version: int
    is_sent: bool = False
    tries: int = 0


class WriteSucceeded(NamedTuple):
    """The store confirmed the write."""


class WriteFailed(NamedTuple):
    """The write had no effect; `conflict`: the stored version differed."""

    conflict: bool


class WriteUncertain(NamedTuple):
    """The reply was lost: the write took effect, or may still do so."""


class ReadSucceeded(NamedTuple):
    """The store was read after a write."""

    version: int
    record: Record


class ReadFailed(NamedTuple):
    """The store could not be read after a write."""


Event: TypeAlias = (
    WriteSucceeded | WriteFailed | WriteUncertain | ReadSucceeded | ReadFailed
)


def check_base(
    expected: int,
    change: str,
    known: Known,
    stored: Record,
) -> BaseVerdict:
    """Return whether a change that replaces revision `expected` may be written.

    A store that was restored to an older revision is repaired before it
    accepts a change, so that no number is used twice.
    """
    if change in {stored.change, *stored.history}:
        return BaseVerdict.DONE
    if (stored.number, stored.change) < (known.number, known.change):
        return BaseVerdict.STORE_BEHIND
    if stored.number != expected:
        return BaseVerdict.CONFLICT
    return BaseVerdict.OPEN


def decide_step(attempt: Attempt, event: Event) -> tuple[Attempt, Step]:
    """Return the attempt and its next step after an event of the store."""
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
        # Writing again keeps a delayed write from taking effect later.
        return attempt, Step.WRITE
    if attempt.base_change in record.history:
        return attempt, Step.CONFLICT
    # The store was restored to older content and may have lost this change.
    return _retry_read(attempt)


def _retry_read(attempt: Attempt) -> tuple[Attempt, Step]:
    tried = attempt._replace(tries=attempt.tries + 1)
    return tried, Step.READ if tried.tries < _MAX_TRIES else Step.UNKNOWN
