"""Numbered log events of a VM on the platform."""

import logging
from typing import Final

from toucanhall.events import Event

STARTED: Final = Event(100, logging.INFO, 'VM started')
STOPPING: Final = Event(101, logging.INFO, 'VM is stopping')
STOPPED: Final = Event(102, logging.INFO, 'VM stopped')
RELOADED: Final = Event(103, logging.INFO, 'settings reloaded')
RELOAD_FAILED: Final = Event(
    104, logging.ERROR, 'settings not reloaded; the previous ones stay in force'
)
RESUMED: Final = Event(105, logging.WARNING, 'process resumed after a pause')
LINES_DROPPED: Final = Event(106, logging.WARNING, 'log lines were dropped')
UNEXPECTED: Final = Event(107, logging.ERROR, 'unexpected error')
BUDGET_EXCEEDED: Final = Event(
    108, logging.WARNING, 'connection closed: the memory for messages is spent'
)
NO_ROOM: Final = Event(
    109, logging.WARNING, 'message not read: no room in the memory for messages'
)
STORE_LOST: Final = Event(300, logging.WARNING, 'store unreachable')
STORE_RECOVERED: Final = Event(301, logging.INFO, 'store answers again')
HISTORY_LOST: Final = Event(
    302, logging.WARNING, 'store dropped the watched revision; table read anew'
)
WATCH_STARTED: Final = Event(303, logging.INFO, 'watch of the store started')
WATCH_ENDED: Final = Event(304, logging.INFO, 'watch of the store ended')
ENTRY_IGNORED: Final = Event(
    305, logging.WARNING, 'malformed object of the store ignored'
)
TARGETS_EXPIRED: Final = Event(
    306,
    logging.INFO,
    'targets dropped: not registered again after a store outage',
)
ENTRY_DELETED: Final = Event(307, logging.INFO, 'entry of a VM deleted')
TABLE_READ: Final = Event(308, logging.INFO, 'table read from the store')
STORE_HEADER: Final = Event(
    309, logging.WARNING, 'store sent a header that is not known'
)
CONFIGURATION_APPLIED: Final = Event(
    310, logging.INFO, 'configuration in force'
)
TARGETS_CHANGED: Final = Event(311, logging.INFO, 'list of targets changed')
EVACUATIONS_CHANGED: Final = Event(312, logging.INFO, 'evacuated zones changed')
STORE_CHECKED: Final = Event(
    313, logging.INFO, 'store asked: no VM of the zone reported its answers'
)
ERA_CHANGED: Final = Event(
    314, logging.WARNING, 'store came back from a copy: it is in a new era'
)
EVACUATIONS_EXPIRED: Final = Event(
    315,
    logging.INFO,
    'zones in use again: not evacuated again after the store lost the entries',
)
PEER_JOINED: Final = Event(400, logging.INFO, 'VM is alive')
PEER_LOST: Final = Event(
    401, logging.WARNING, 'VM is silent and no longer counts as alive'
)
SERVING_CHANGED: Final = Event(
    402, logging.INFO, 'VMs that take requests changed',
)  # fmt: skip
MESSAGE_DROPPED: Final = Event(
    403, logging.WARNING, 'message between VMs lost or dropped'
)
SNAPSHOT_APPLIED: Final = Event(
    404, logging.INFO, 'tables read from another VM'
)
SNAPSHOT_FAILED: Final = Event(
    405, logging.WARNING, 'tables not read from another VM'
)
UNKNOWN_FIELDS: Final = Event(
    406, logging.WARNING, 'VM of a later build sent fields that are not known'
)
REQUEST_REFUSED: Final = Event(600, logging.INFO, 'request refused')
REQUEST_FAILED: Final = Event(601, logging.WARNING, 'request failed')
ATTEMPT_FAILED: Final = Event(602, logging.WARNING, 'attempt failed')
REQUEST_SERVED: Final = Event(603, logging.INFO, 'request served')
RETRY_REFUSED: Final = Event(
    605, logging.INFO, 'no retry: the retry budget is spent',
)  # fmt: skip
CALLER_DISCONNECTED: Final = Event(604, logging.INFO, 'caller disconnected')
REQUEST_REJECTED: Final = Event(
    606, logging.WARNING, 'connection closed before its request was complete'
)
REQUEST_CRASHED: Final = Event(
    610, logging.ERROR, 'unexpected error while handling a request'
)
TARGET_SUSPENDED: Final = Event(620, logging.WARNING, 'target suspended')
TARGET_RESUMED: Final = Event(621, logging.INFO, 'target in use again')
UNKNOWN_HEADER: Final = Event(
    622, logging.WARNING, 'target sent a header that is not known'
)
LIMIT_CHANGED: Final = Event(
    623, logging.INFO, 'target named, changed or ended its limit'
)
MALFORMED_LIMIT: Final = Event(
    624, logging.WARNING, 'limit of a target is malformed and ignored'
)
TARGET_LEAVES: Final = Event(
    625, logging.INFO, 'target says that it leaves: no more requests go to it'
)
TARGET_PAUSES: Final = Event(
    626, logging.INFO, 'target wants no requests for a time'
)
TARGET_ENDED: Final = Event(
    627, logging.WARNING, 'target crashed while requests were in flight'
)
REQUEST_SUSPECTED: Final = Event(
    628, logging.WARNING, 'request was in flight at a target that crashed'
)
TRIAL_STARTED: Final = Event(
    629, logging.WARNING, 'request that was held back is sent as a trial'
)
REQUEST_CLEARED: Final = Event(
    630, logging.INFO, 'request is not suspected any more: it was served'
)
SUSPECT_NOT_SAVED: Final = Event(
    631, logging.WARNING, 'entry of a suspected request not written'
)
CUT_OFF: Final = Event(
    632, logging.WARNING, 'VM reaches no target: other VMs serve its callers'
)
REACHABLE: Final = Event(633, logging.INFO, 'VM reaches targets again')
REQUEST_RELAYED: Final = Event(
    634, logging.INFO, 'request of a VM without targets served for it'
)
ANSWERS_SKIPPED: Final = Event(
    635, logging.WARNING, 'target sent answers to other requests: skipped'
)
HEAD_UNFINISHED: Final = Event(
    636, logging.WARNING, 'wait ended before the head of an answer did'
)
CAPACITY_LEARNED: Final = Event(
    645, logging.INFO, 'target is slower or faster than it was'
)

CATALOGUE: Final[tuple[Event, ...]] = tuple(
    found for found in tuple(globals().values()) if isinstance(found, Event)
)
