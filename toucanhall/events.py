"""Numbered log events, and the logger that writes them as JSON lines."""

import logging
import sys
import time
from typing import Final, NamedTuple

from pythonjsonlogger.json import JsonFormatter

__all__ = ('CATALOGUE', 'Event', 'configure', 'log')


class Event(NamedTuple):
    """A log event: its number, level and text."""

    number: int
    level: int
    text: str


ENTRY_STARTED: Final = Event(100, logging.INFO, 'entry VM started')
ENTRY_LEAVING: Final = Event(101, logging.INFO, 'entry VM is shutting down')
ENTRY_STOPPED: Final = Event(102, logging.INFO, 'entry VM stopped')
UNEXPECTED_ERROR: Final = Event(
    110, logging.ERROR, 'unexpected error; the thread continues',
)  # fmt: skip
CATALOGUE_APPLIED: Final = Event(200, logging.INFO, 'revision applied')
CATALOGUE_STALE: Final = Event(201, logging.WARNING, 'older revision rejected')
CATALOGUE_INVALID: Final = Event(202, logging.ERROR, 'revision is invalid')
CATALOGUE_RESTORED: Final = Event(
    203, logging.WARNING, 'store had an older revision; wrote the one in force',
)  # fmt: skip
CATALOGUE_COLLISION: Final = Event(
    210, logging.ERROR, 'two changes have the same revision number',
)  # fmt: skip
CHANGE_OUTCOME_UNKNOWN: Final = Event(
    211, logging.WARNING, 'outcome unknown; change may have been accepted',
)  # fmt: skip
FRESHNESS_LOST: Final = Event(
    212, logging.WARNING, 'keys are not relied on until revisions are compared',
)  # fmt: skip
FRESHNESS_GAINED: Final = Event(
    213, logging.INFO, 'revisions compared; keys are relied on'
)
STORE_UNAVAILABLE: Final = Event(300, logging.WARNING, 'store unavailable')
STORE_AVAILABLE: Final = Event(301, logging.INFO, 'store available')
PEER_JOINED: Final = Event(400, logging.INFO, 'peer is alive')
PEER_SUSPECTED: Final = Event(401, logging.WARNING, 'peer is suspected')
PEER_LEAVING: Final = Event(402, logging.INFO, 'peer is shutting down')
MESSAGE_DROPPED: Final = Event(403, logging.WARNING, 'peer message dropped')
SLOTS_CLAIMED: Final = Event(500, logging.INFO, 'slots of the zone claimed')
SHARE_UNCONFIRMED: Final = Event(
    510, logging.WARNING, 'share of the limits is not confirmed'
)
SHARE_CONFIRMED: Final = Event(
    511, logging.INFO, 'share of the limits confirmed'
)
REQUEST_REFUSED: Final = Event(600, logging.INFO, 'request refused')
TARGET_FAILED: Final = Event(601, logging.WARNING, 'request to target failed')
RESPONSE_INCOMPLETE: Final = Event(
    602, logging.WARNING, 'answer of target is incomplete'
)
REQUEST_CRASHED: Final = Event(
    610, logging.ERROR, 'unexpected error while serving a request'
)
CLAIM_UNSETTLED: Final = Event(
    700, logging.WARNING, 'claim not written; retrying'
)
CLAIM_INVALID: Final = Event(710, logging.ERROR, 'claim cannot be decoded')
CHANGE_ACCEPTED: Final = Event(800, logging.INFO, 'operator change accepted')
CHANGE_REFUSED: Final = Event(801, logging.INFO, 'operator change rejected')
AUDIT_DELAYED: Final = Event(
    810, logging.WARNING, 'audit not copied; retrying with next change'
)

CATALOGUE: Final[tuple[Event, ...]] = tuple(
    found for found in tuple(globals().values()) if isinstance(found, Event)
)

_LOGGER: Final = logging.getLogger('toucanhall')
_LEVELS: Final = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def configure(level: str, vm: str) -> None:
    """Log events as JSON lines to standard error, with the name of the VM."""
    formatter = JsonFormatter(
        '%(asctime)s %(levelname)s %(message)s',
        datefmt='%Y-%m-%dT%H:%M:%SZ',
        static_fields={'vm': vm},
    )
    formatter.converter = time.gmtime
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    _LOGGER.handlers.clear()
    _LOGGER.addHandler(handler)
    _LOGGER.setLevel(_LEVELS[level])
    _LOGGER.propagate = False


def log(event: Event, **fields: object) -> None:
    """Log an event with its fields, which must not contain secrets."""
    _LOGGER.log(
        event.level,
        event.text,
        extra={'event': event.number, 'fields': fields},
    )
