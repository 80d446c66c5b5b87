"""Schema of the catalogue document."""

from typing import Final

from toucanhall.documents import Document
from toucanhall.schemas import (
    COUNT,
    DIGEST,
    NAME,
    NAMES,
    POSITIVE,
    describe,
    make_array,
    make_record,
    make_table,
    make_text,
)

__all__ = ('ROUTE_KINDS', 'SCHEMA')

ROUTE_KINDS: Final = ('read', 'bulk', 'once')

_TEXT: Final[Document] = {'type': 'string', 'maxLength': 512}

_ZONE: Final = make_record(
    {
        'region': describe(NAME, 'Region of the availability zone.'),
        'fraction': describe(
            {'type': 'number', 'minimum': 0, 'maximum': 1},
            'Share of the zone in every limit; all sum to at most 1.',
        ),
    },
)
_TARGET: Final = make_record(
    {
        'zone': describe(NAME, 'Availability zone of the target.'),
        'service': describe(NAME, 'Service that the target runs.'),
        'address': describe(make_text('endpoint'), 'IPv4 address and port.'),
        'slots': describe(
            COUNT, 'Maximum requests in progress at the same time.'
        ),
        'connections': describe(COUNT, 'Maximum open connections.'),
    },
)
_ROUTE: Final = make_record(
    {
        'path': describe(
            make_text('path'), 'Path prefix; the longest match is used.'
        ),
        'owner': describe(NAME, 'Owner of the route.'),
        'service': describe(NAME, 'Service whose targets serve the route.'),
        'kind': describe(
            {'enum': list(ROUTE_KINDS)},
            '`read`, `bulk` (large and shared) or `once` (must not run twice).',
        ),
    },
    {
        'public': describe(
            {'type': 'boolean'}, 'Whether no key is needed; false.'
        ),
        'deadline_seconds': describe(
            POSITIVE,
            'Seconds until a request times out; 10.',
        ),
    },
)
_TEAM: Final = make_record(
    {
        'rate': describe(POSITIVE, 'Requests per second in the whole fleet.'),
        'burst': describe(
            POSITIVE, 'Maximum burst of requests in the whole fleet.'
        ),
    },
    {'weight': describe(POSITIVE, 'Weight when slots are scarce; 1.')},
)
_KEY: Final = make_record(
    {
        'team': describe(NAME, 'Team that the key belongs to.'),
        'digest': describe(DIGEST, 'SHA-256 digest of the key.'),
    },
)
_LINK: Final = make_record(
    {
        'regions': describe(
            {**NAMES, 'minItems': 2, 'maxItems': 2},
            'The two regions that the link joins.',
        ),
        'mbit_per_second': describe(POSITIVE, 'Capacity in each direction.'),
    },
)
_DRAINS: Final = make_record(
    {},
    {
        'targets': describe(NAMES, 'Targets that get no new work.'),
        'vms': describe(NAMES, 'Entry VMs that callers are not sent to.'),
        'zones': describe(NAMES, 'Availability zones that get no new work.'),
    },
)
_CHANGE: Final = make_record(
    {
        'id': describe(_TEXT, 'Identifier of the change.'),
        'operator': describe(NAME, 'Operator who made the change.'),
        'at': describe(_TEXT, 'Time in UTC, by the clock of the VM.'),
        'revision': describe(COUNT, 'Revision that the change made.'),
        'what': describe(make_array(_TEXT), 'Changed entries.'),
    },
)

SCHEMA: Final[Document] = make_record(
    {
        'zones': describe(make_table(_ZONE), 'Availability zones by name.'),
        'targets': describe(make_table(_TARGET), 'Targets by name.'),
        'routes': describe(make_array(_ROUTE), 'Routes, in any order.'),
        'teams': describe(make_table(_TEAM), 'Teams by name.'),
    },
    {
        'keys': describe(
            make_table(_KEY),
            'Granted keys by name; kept by `catalogue apply` when absent.',
        ),
        'links': describe(make_array(_LINK), 'Capacities between regions.'),
        'drains': describe(
            _DRAINS,
            'Drains; kept by `catalogue apply` when absent.',
        ),
        'slots_per_zone': describe(
            {'type': 'integer', 'minimum': 1, 'maximum': 256},
            'Slots into which a zone divides its limits; 12.',
        ),
        'hold_seconds': describe(
            POSITIVE,
            'Seconds that callers may use a list of entry VMs; 5.',
        ),
        'changes': describe(
            make_array(_CHANGE),
            'Newest changes; set by the system, ignored in a file.',
        ),
        'key_hold_seconds': describe(
            POSITIVE,
            'Seconds that a VM cut off from all others serves keys; 14400.',
        ),
        'shift_share_per_second': describe(
            POSITIVE,
            'Part of its slots by which work from other zones may grow; 0.2.',
        ),
        'blocks': describe(
            {'type': 'object', 'additionalProperties': NAME},
            'Nearest availability zone by block of client addresses.',
        ),
    },
)
