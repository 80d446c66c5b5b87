"""Decodes what operators and targets wrote to the store."""

from collections.abc import Iterable, Mapping
from typing import Any, Final

from toucanhall.fleet.model import (
    ClientLimits,
    Configuration,
    Introduction,
    Part,
    Route,
    Service,
    Target,
    Team,
)
from toucanhall.platform.boot import read_address
from toucanhall.platform.units import read_seconds, read_version

__all__ = (
    'BadDocument',
    'decode_configuration',
    'decode_target',
    'decode_vm',
    'encode_vm',
)

_IDEMPOTENT: Final = 'idempotent'
_STATES: Final = {'ready': False, 'draining': True}
_DEFAULT_ATTEMPTS: Final = 1

Document = Mapping[str, Any]

# What decoding raises when a field is missing or of another type.
_WRONG: Final = (KeyError, TypeError, ValueError, AttributeError)


class BadDocument(ValueError):
    """An object of the store that cannot be used."""


def decode_configuration(spec: Document) -> Configuration:
    """Decode a configuration; raise BadDocument when it cannot be read."""
    try:
        return _decode_configuration(spec)
    except _WRONG as error:
        raise BadDocument(f'configuration: {error!r}') from error


def decode_target(name: str, spec: Document, revision: int) -> Target:
    """Decode the entry of a target; raise BadDocument if it names none."""
    try:
        return Target(
            id=name,
            service=_read_text(spec['service']),
            address=read_address(spec['address']),
            zone=_read_text(spec['zone']),
            slots=_read_positive(spec['slots']),
            is_draining=_STATES[spec['state']],
            cold_seconds=read_seconds(spec.get('cold_left', '0ms')),
            started_at=int(spec.get('born') or 0),
            revision=revision,
        )
    except _WRONG as error:
        raise BadDocument(f'target {name}: {error!r}') from error


def decode_vm(name: str, spec: Document) -> Introduction:
    """Decode the entry of a VM; raise BadDocument if it names none."""
    try:
        return Introduction(
            vm=name,
            zone=_read_text(spec['zone']),
            ip=_read_text(spec['ip']),
        )
    except _WRONG as error:
        raise BadDocument(f'VM {name}: {error!r}') from error


def encode_vm(introduction: Introduction) -> Document:
    """Encode the entry by which other VMs find this one."""
    return {'zone': introduction.zone, 'ip': introduction.ip}


def _decode_configuration(spec: Document) -> Configuration:
    limits = spec.get('limits') or {}
    teams = spec.get('tenants') or ()
    return Configuration(
        version=read_version(spec['version']),
        hosts={
            entry['host'].lower(): _decode_routes(entry)
            for entry in spec['virtual_hosts']
        },
        services={
            entry['name']: _decode_service(entry) for entry in spec['services']
        },
        teams={entry['name']: _decode_team(entry) for entry in teams},
        keys={
            key: entry['name']
            for entry in teams
            for key in entry.get('api_keys') or ()
        },
        limits=ClientLimits(
            head_bytes=int(limits.get('max_header_bytes', 16384)),
            body_bytes=int(limits.get('max_body_bytes', 1 << 20)),
            head_seconds=read_seconds(limits.get('header_timeout', '5s')),
            idle_seconds=read_seconds(limits.get('idle_timeout', '30s')),
        ),
    )


def _decode_routes(entry: Document) -> tuple[Route, ...]:
    routes = [
        _decode_route(entry['host'].lower(), rule)
        for rule in entry['path_rules']
    ]
    return tuple(sorted(routes, key=_get_prefix_length, reverse=True))


def _get_prefix_length(route: Route) -> int:
    return len(route.prefix)


def _decode_route(host: str, rule: Document) -> Route:
    return Route(
        name=rule['name'],
        host=host,
        prefix=rule['path_prefix'],
        is_idempotent=rule['route_type'] == _IDEMPOTENT,
        timeout=_read_optional_seconds(rule.get('timeout')),
        objective=_read_optional_seconds(rule.get('target_latency')),
        priority=int(rule.get('priority') or 0),
        parts=_decode_parts(rule),
        attempts=max(1, int(rule.get('attempts') or _DEFAULT_ATTEMPTS)),
        is_public=bool(rule.get('public')),
        homes=frozenset(rule.get('home_regions') or ()),
    )


def _decode_parts(rule: Document) -> tuple[Part, ...]:
    split: Iterable[Document] = rule.get('traffic_split') or ()
    parts = tuple(
        Part(part['service'], float(part['weight']))
        for part in split
        if part['weight'] > 0
    )
    return parts or (Part(rule['service'], 1.0),)


def _decode_service(entry: Document) -> Service:
    return Service(
        name=entry['name'],
        health_path=entry.get('health_path') or '/health',
        cold_seconds=_read_optional_seconds(entry.get('cold_start')) or 0.0,
        cold_per_second=float(entry.get('cold_per_s') or 0),
    )


def _decode_team(entry: Document) -> Team:
    rate = float(entry.get('rate_per_s') or 0)
    priority = entry.get('priority')
    return Team(
        name=entry['name'],
        priority=None if priority is None else int(priority),
        rate=rate or None,
        burst=float(entry.get('burst') or 0),
        homes=frozenset(entry.get('home_regions') or ()),
    )


def _read_optional_seconds(text: object) -> float | None:
    return read_seconds(text) if text else None


def _read_text(found: object) -> str:
    if not isinstance(found, str) or not found:
        raise TypeError(f'{found!r} is not a text')
    return found


def _read_positive(found: object) -> int:
    if not isinstance(found, int) or isinstance(found, bool) or found < 1:
        raise TypeError(f'{found!r} is not a positive number')
    return found
