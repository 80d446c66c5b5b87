"""Schema of the catalogue document."""

from typing import Any, Final

from toucanhall.documents import Document

__all__ = ('ROUTE_KINDS', 'SCHEMA')

ROUTE_KINDS: Final = ('read', 'bulk', 'once')

_NAME: Final[Document] = {
    'type': 'string',
    'pattern': '^[a-z0-9][a-z0-9-]{0,62}$',
}
_POSITIVE: Final[Document] = {'type': 'number', 'exclusiveMinimum': 0}
_COUNT: Final[Document] = {'type': 'integer', 'minimum': 1}
_NAMES: Final[Document] = {
    'type': 'array',
    'items': _NAME,
    'uniqueItems': True,
}


def _record(
    required: dict[str, Document],
    optional: dict[str, Document] | None = None,
) -> dict[str, Any]:
    return {
        'type': 'object',
        'additionalProperties': False,
        'required': list(required),
        'properties': required | (optional or {}),
    }


def _table(record: Document) -> Document:
    return {
        'type': 'object',
        'propertyNames': {'pattern': _NAME['pattern']},
        'additionalProperties': record,
    }


_ZONE: Final = _record(
    {
        'region': _NAME,
        'fraction': {'type': 'number', 'minimum': 0, 'maximum': 1},
    }
)
_TARGET: Final = _record(
    {
        'zone': _NAME,
        'service': _NAME,
        'address': {
            'type': 'string',
            'pattern': '^([0-9]{1,3}[.]){3}[0-9]{1,3}:[0-9]{1,5}$',
        },
        'slots': _COUNT,
        'connections': _COUNT,
    }
)
_ROUTE: Final = _record(
    {
        'path': {'type': 'string', 'pattern': '^/'},
        'owner': _NAME,
        'service': _NAME,
        'kind': {'enum': list(ROUTE_KINDS)},
    },
    {
        'public': {'type': 'boolean'},
        'deadline_seconds': _POSITIVE,
    },
)
_TEAM: Final = _record(
    {'rate': _POSITIVE, 'burst': _POSITIVE},
    {'weight': _POSITIVE},
)
_KEY: Final = _record(
    {
        'team': _NAME,
        'digest': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'},
    }
)
_LINK: Final = _record(
    {
        'regions': {
            'type': 'array',
            'items': _NAME,
            'minItems': 2,
            'maxItems': 2,
            'uniqueItems': True,
        },
        'mbit_per_second': _POSITIVE,
    }
)
_DRAINS: Final = _record(
    {},
    {'targets': _NAMES, 'vms': _NAMES, 'zones': _NAMES},
)

SCHEMA: Final[Document] = _record(
    {
        'zones': _table(_ZONE),
        'targets': _table(_TARGET),
        'routes': {'type': 'array', 'items': _ROUTE},
        'teams': _table(_TEAM),
    },
    {
        'keys': _table(_KEY),
        'links': {'type': 'array', 'items': _LINK},
        'drains': _DRAINS,
        'slots_per_zone': {'type': 'integer', 'minimum': 1, 'maximum': 256},
        'hold_seconds': _POSITIVE,
        'shift_share_per_second': _POSITIVE,
        'blocks': {'type': 'object', 'additionalProperties': _NAME},
    },
)
