"""Builders of the documents that operators, targets and VMs write."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

__all__ = (
    'make_configuration',
    'make_rule',
    'make_settings',
    'make_target_entry',
)

HOST: Final = 'tours.example'
KEY: Final = 'guide-key'


def make_rule(prefix: str, **fields: object) -> dict[str, Any]:
    """Return a path rule for idempotent requests to the service `guide`."""
    return {
        'name': prefix.strip('/'),
        'path_prefix': prefix,
        'route_type': 'idempotent',
        'timeout': '2000ms',
        'target_latency': '500ms',
        'priority': 1,
        'service': 'guide',
        'attempts': 2,
        'public': False,
        'sticky': True,
        'home_regions': [],
        **fields,
    }


def make_configuration(
    version: int = 1,
    *,
    rules: Sequence[Mapping[str, Any]] = (),
    teams: Sequence[Mapping[str, Any]] = (),
) -> dict[str, Any]:
    """Return a configuration, by default with a read and a booking route."""
    default_rules = (
        make_rule('/view/'),
        make_rule('/book/', route_type='non_idempotent'),
    )
    default_teams = (
        {
            'name': 'guides',
            'api_keys': [KEY],
            'rate_per_s': 0,
            'burst': 0,
            'home_regions': [],
        },
    )
    return {
        'version': f'{version:08x}',
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_conns': 800,
                'cold_start': '3s',
                'cold_per_s': 16.0,
            }
            for name in ('guide', 'feed')
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout': '3000ms',
            'idle_timeout': '15000ms',
        },
        'tenants': list(teams or default_teams),
        'virtual_hosts': [
            {'host': HOST, 'path_rules': list(rules or default_rules)},
        ],
    }


def make_target_entry(
    address: str,
    zone: str,
    **fields: object,
) -> dict[str, Any]:
    """Return the store entry of a ready target of the service `guide`."""
    return {
        'service': 'guide',
        'address': address,
        'zone': zone,
        'version': 'v1',
        'slots': 9,
        'state': 'ready',
        'cold_left': '0ms',
        'sequence': 1,
        'born': 1,
        **fields,
    }


def make_settings(
    vm: str,
    ip: str,
    zone: str,
    *,
    zones: Mapping[str, str],
    store: str,
    seeds: Sequence[str] = (),
    grace: str = '2s',
) -> dict[str, Any]:
    """Return the settings file of a VM as a document."""
    return {
        'node_name': vm,
        'ip': ip,
        'zone': zone,
        'region': zones[zone],
        'zones': dict(zones),
        'listen': {
            'front': f'{ip}:8388',
            'ready': f'{ip}:8384',
            'control': f'{ip}:8381',
            'directory': f'{ip}:8383',
        },
        'internal_port_range': [7560, 7575],
        'seeds': list(seeds),
        'limits': {'max_fds': 2870, 'memory_mb': 152},
        'bounds': {
            'grace': grace,
            'ttl_max': '5s',
            'retry_budget_ratio': 0.2,
            'budget_window': '10s',
            'budget_slack': 133,
            'quota_window': '5s',
            'cold_slack': 5,
        },
        'platform': {'address': store},
    }
