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
            'Part of every limit that the zone holds; all sum to at most 1.',
        ),
    },
)
_TARGET: Final = make_record(
    {
        'zone': describe(NAME, 'Availability zone of the target.'),
        'service': describe(NAME, 'Service that the target runs.'),
        'address': describe(make_text('endpoint'), 'IPv4 address and port.'),
        'slots': describe(COUNT, 'Requests that it runs at the same time.'),
        'connections': describe(COUNT, 'Connections that it accepts.'),
    },
)
_ROUTE: Final = make_record(
    {
        'path': describe(make_text('path'), 'Path prefix; the longest wins.'),
        'owner': describe(NAME, 'Who answers for the route.'),
        'service': describe(NAME, 'Service whose targets serve the route.'),
        'kind': describe(
            {'enum': list(ROUTE_KINDS)},
            '`read`, `bulk` (large and shared) or `once` (must not run twice).',
        ),
    },
    {
        'public': describe({'type': 'boolean'}, 'Open without a key; false.'),
        'deadline_seconds': describe(
            POSITIVE,
            'Seconds until a request is given up; 10.',
        ),
    },
)
_TEAM: Final = make_record(
    {
        'rate': describe(POSITIVE, 'Requests per second over the whole fleet.'),
        'burst': describe(POSITIVE, 'Requests at once over the whole fleet.'),
    },
    {'weight': describe(POSITIVE, 'Part of scarce slots; 1.')},
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
        'mbit_per_second': describe(POSITIVE, 'Capacity each way.'),
    },
)
_DRAINS: Final = make_record(
    {},
    {
        'targets': describe(NAMES, 'Targets that take no new work.'),
        'vms': describe(NAMES, 'Entry VMs that callers are not sent to.'),
        'zones': describe(NAMES, 'Availability zones that take no new work.'),
    },
)
_CHANGE: Final = make_record(
    {
        'id': describe(_TEXT, 'Identifier of the change.'),
        'operator': describe(NAME, 'Who made the change.'),
        'at': describe(_TEXT, 'When, in UTC by the clock of the VM.'),
        'revision': describe(COUNT, 'Revision that the change made.'),
        'what': describe(make_array(_TEXT), 'Entries that it changed.'),
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
            'What is drained; kept by `catalogue apply` when absent.',
        ),
        'slots_per_zone': describe(
            {'type': 'integer', 'minimum': 1, 'maximum': 256},
            'Parts into which a zone divides its limits; 12.',
        ),
        'hold_seconds': describe(
            POSITIVE,
            'Seconds that callers rely on an answer about entry VMs; 5.',
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
            'Part of its slots by which a zone takes more work of others; 0.2.',
        ),
        'blocks': describe(
            {'type': 'object', 'additionalProperties': NAME},
            'Nearest availability zone by block of client addresses.',
        ),
    },
)
