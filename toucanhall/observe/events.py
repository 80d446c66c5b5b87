"""Numbered log events of a VM on the platform."""

import logging
from typing import Final

from toucanhall.events import Event

STARTED: Final = Event(100, logging.INFO, 'VM started')
STOPPING: Final = Event(101, logging.INFO, 'VM is stopping')
STOPPED: Final = Event(102, logging.INFO, 'VM stopped')
RELOADED: Final = Event(103, logging.INFO, 'settings reloaded')
RELOAD_FAILED: Final = Event(104, logging.ERROR, 'settings cannot be read')
RESUMED: Final = Event(105, logging.WARNING, 'VM did not run for a while')
LINES_DROPPED: Final = Event(106, logging.WARNING, 'log lines were dropped')
UNEXPECTED: Final = Event(107, logging.ERROR, 'unexpected error')
STORE_LOST: Final = Event(300, logging.WARNING, 'store is out of reach')
STORE_RECOVERED: Final = Event(301, logging.INFO, 'store answers again')
HISTORY_LOST: Final = Event(302, logging.WARNING, 'store dropped its history')
WATCH_STARTED: Final = Event(303, logging.INFO, 'store is watched')
WATCH_ENDED: Final = Event(304, logging.INFO, 'store is not watched any more')
ENTRY_IGNORED: Final = Event(305, logging.WARNING, 'object cannot be read')
TARGETS_EXPIRED: Final = Event(306, logging.INFO, 'targets did not come back')
ENTRY_DELETED: Final = Event(307, logging.INFO, 'entry of a VM deleted')
CONFIGURATION_APPLIED: Final = Event(
    310, logging.INFO, 'configuration in force'
)
TARGETS_CHANGED: Final = Event(311, logging.INFO, 'list of targets changed')
EVACUATIONS_CHANGED: Final = Event(312, logging.INFO, 'evacuated zones changed')
PEER_JOINED: Final = Event(400, logging.INFO, 'VM is alive')
PEER_LOST: Final = Event(401, logging.WARNING, 'VM fell silent')
SERVING_CHANGED: Final = Event(
    402, logging.INFO, 'VMs that take requests changed',
)  # fmt: skip
MESSAGE_DROPPED: Final = Event(403, logging.WARNING, 'message of a VM dropped')
SNAPSHOT_APPLIED: Final = Event(404, logging.INFO, 'tables taken from a VM')
SNAPSHOT_FAILED: Final = Event(405, logging.WARNING, 'VM sent no tables')
REQUEST_REFUSED: Final = Event(600, logging.INFO, 'request refused')
REQUEST_FAILED: Final = Event(601, logging.WARNING, 'request failed')
ATTEMPT_FAILED: Final = Event(602, logging.WARNING, 'attempt failed')
REQUEST_SERVED: Final = Event(603, logging.INFO, 'request served')
RETRY_REFUSED: Final = Event(
    605, logging.INFO, 'no repeat left in the budget',
)  # fmt: skip
CALLER_DISCONNECTED: Final = Event(604, logging.INFO, 'caller left')
REQUEST_CRASHED: Final = Event(610, logging.ERROR, 'request path failed')
TARGET_SUSPENDED: Final = Event(620, logging.WARNING, 'target suspended')
TARGET_RESUMED: Final = Event(621, logging.INFO, 'target in use again')

CATALOGUE: Final[tuple[Event, ...]] = tuple(
    found for found in tuple(globals().values()) if isinstance(found, Event)
)
