"""Schema of the settings file."""

from typing import Final

from toucanhall.documents import Document
from toucanhall.schemas import (
    DIGEST,
    NAME,
    NAMES,
    describe,
    make_array,
    make_record,
    make_text,
)

__all__ = ('ROLES', 'SCHEMA')

ROLES: Final = ('read', 'owner', 'operate', 'administer')

_PORT: Final = {'type': 'integer', 'minimum': 1, 'maximum': 65535}
_PATHS: Final[Document] = {
    **make_array(make_text('path')),
    'uniqueItems': True,
}


def _make_limit(minimum: int, maximum: int, text: str) -> Document:
    limit = {'type': 'integer', 'minimum': minimum, 'maximum': maximum}
    return describe(limit, text)


_OPERATOR: Final = make_record(
    {
        'name': describe(NAME, 'Name of the operator in logs and history.'),
        'digest': describe(DIGEST, 'SHA-256 digest of the token.'),
        'role': describe(
            {'enum': list(ROLES)},
            'What the operator may change: nothing, what it owns, keys and '
            'drains, or everything.',
        ),
    },
    {
        'teams': describe(NAMES, 'Teams that a role of `owner` owns.'),
        'routes': describe(_PATHS, 'Paths of routes that an `owner` owns.'),
    },
)
_STATSD: Final = make_record(
    {
        'host': describe(make_text('address'), 'Address of the statsd server.'),
        'port': describe(_PORT, 'UDP port of the statsd server.'),
    },
)
_BOUNDS: Final = make_record(
    {},
    {
        'header_bytes': _make_limit(
            1024, 1048576, 'Maximum bytes of a request header; 16384.',
        ),
        'body_bytes': _make_limit(
            0, 1073741824, 'Maximum bytes of a request body; 1048576.',
        ),
        'idle_seconds': _make_limit(
            1, 86400, 'Seconds after which an idle connection is closed; 20.',
        ),
        'threads': _make_limit(
            2, 512, 'Requests that are handled at the same time; 48.',
        ),
        'linger_seconds': _make_limit(
            0, 3600, 'Seconds that a stopping VM still accepts requests; 6.',
        ),
    },
)  # fmt: skip

SCHEMA: Final[Document] = make_record(
    {
        'vm': describe(NAME, 'Name of this VM, as the platform lists it.'),
        'zone': describe(NAME, 'Availability zone of this VM.'),
        'address': describe(make_text('address'), 'IPv4 address of this VM.'),
        'caller_port': describe(_PORT, 'Port for callers and operators.'),
        'peer_port': describe(_PORT, 'Port for other entry VMs.'),
        'platform': describe(make_text('base'), 'URL of the platform.'),
        'secret_variable': describe(
            {'type': 'string', 'minLength': 1, 'maxLength': 255},
            'Environment variable that holds the secret of the fleet.',
        ),
        'operators': describe(
            make_array(_OPERATOR),
            'Credentials of operators.',
        ),
    },
    {
        'statsd': describe(
            _STATSD, 'Server that counters are sent to; none if absent.'
        ),
        'bounds': describe(
            _BOUNDS, 'Limits on requests and connections of callers.'
        ),
        'log_level': describe(
            {'enum': ['debug', 'info', 'warning', 'error']},
            'Minimum level of logged events; info.',
        ),
    },
)
