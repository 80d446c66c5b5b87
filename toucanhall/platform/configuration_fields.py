"""Names of the fields of a configuration, and a sample that has all of them."""

from typing import Any, Final

__all__ = (
    'ENTRY_NAME',
    'HOSTS',
    'HOST_NAME',
    'HOST_RULES',
    'KEYS',
    'LIMITS',
    'ROUTE_TYPE',
    'ROUTE_TYPES',
    'RULE_PREFIX',
    'RULE_SERVICE',
    'RULE_SPLIT',
    'RULE_TIMEOUT',
    'SAMPLE',
    'SERVICES',
    'SPLIT_WEIGHT',
    'TEAMS',
)

ENTRY_NAME: Final = 'name'  # of services, rules and teams
HOSTS: Final = 'virtual_hosts'
HOST_NAME: Final = 'host'
HOST_RULES: Final = 'path_rules'
KEYS: Final = 'api_keys'
LIMITS: Final = 'limits'
ROUTE_TYPE: Final = 'route_type'
ROUTE_TYPES: Final = ('idempotent', 'non_idempotent', 'upload', 'download')
RULE_PREFIX: Final = 'path_prefix'
RULE_SERVICE: Final = 'service'
RULE_SPLIT: Final = 'traffic_split'
RULE_TIMEOUT: Final = 'timeout'
SERVICES: Final = 'services'
SPLIT_WEIGHT: Final = 'weight'
TEAMS: Final = 'tenants'

_RULE: Final[dict[str, Any]] = {
    ENTRY_NAME: 'guide',
    RULE_PREFIX: '/',
    ROUTE_TYPE: 'idempotent',
    RULE_TIMEOUT: '2s',
    'target_latency': '500ms',
    'priority': 1,
    RULE_SERVICE: 'guide',
    RULE_SPLIT: [{'service': 'guide', SPLIT_WEIGHT: 1}],
    'attempts': 2,
    'public': False,
    'sticky': True,
    'home_regions': ['east'],
}
# Each list has one entry.
SAMPLE: Final[dict[str, Any]] = {
    'version': '1',
    SERVICES: [
        {
            ENTRY_NAME: 'guide',
            'health_path': '/health',
            'max_conns': 1,
            'cold_start': '1s',
            'cold_per_s': 1,
        }
    ],
    HOSTS: [{HOST_NAME: 'tours.example', HOST_RULES: [_RULE]}],
    TEAMS: [
        {
            ENTRY_NAME: 'guides',
            KEYS: ['key'],
            'priority': 1,
            'rate_per_s': 1,
            'burst': 1,
            'home_regions': ['east'],
        }
    ],
    LIMITS: {
        'max_header_bytes': 16384,
        'max_body_bytes': 1048576,
        'header_timeout': '5s',
        'idle_timeout': '30s',
    },
}
