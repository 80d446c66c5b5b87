"""Decodes and encodes the objects of the store."""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Final

from toucanhall.fleet.addresses import is_ip
from toucanhall.fleet.model import (
    Address,
    ClientLimits,
    Configuration,
    Route,
    Service,
    Target,
    Team,
    VmContact,
    WeightedService,
)
from toucanhall.platform.settings_file import read_address
from toucanhall.platform.units import read_seconds, read_version

__all__ = (
    'InvalidDocumentError',
    'decode_configuration',
    'decode_target',
    'decode_vm',
    'encode_vm',
)

_IDEMPOTENT_TYPE: Final = 'idempotent'
_IS_DRAINING_BY_STATE: Final = {'ready': False, 'draining': True}
_DEFAULT_ATTEMPTS: Final = 1
_MAX_PORT: Final = 65535

Document = Mapping[str, Any]

# Raised by decoding if a field is missing, mistyped or out of range.
_DECODE_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)


class InvalidDocumentError(ValueError):
    """An object of the store cannot be decoded."""


def decode_configuration(spec: Document) -> Configuration:
    """Decode a configuration; raise InvalidDocumentError on failure."""
    try:
        return _decode_configuration(spec)
    except _DECODE_ERRORS as error:
        raise InvalidDocumentError(
            f'configuration cannot be decoded: {error!r}'
        ) from error


def decode_target(name: str, spec: Document, revision: int) -> Target:
    """Decode the entry of a target; raise InvalidDocumentError on failure."""
    try:
        return Target(
            id=name,
            service=_read_non_empty_string(spec['service']),
            address=_read_ip_address(spec['address']),
            zone=_read_non_empty_string(spec['zone']),
            slots=_read_integer(spec['slots'], minimum=1),
            is_draining=_IS_DRAINING_BY_STATE[spec['state']],
            cold_seconds=read_seconds(spec.get('cold_left', '0ms')),
            started_at=int(spec.get('born') or 0),
            revision=revision,
            sequence=_read_integer(spec.get('sequence', 0), minimum=0),
        )
    except _DECODE_ERRORS as error:
        raise InvalidDocumentError(
            f'target {name} cannot be decoded: {error!r}'
        ) from error


def decode_vm(name: str, spec: Document) -> VmContact:
    """Decode the entry of a VM; raise InvalidDocumentError on failure."""
    try:
        return VmContact(
            vm=name,
            zone=_read_non_empty_string(spec['zone']),
            ip=_read_ip(spec['ip']),
        )
    except _DECODE_ERRORS as error:
        raise InvalidDocumentError(
            f'VM {name} cannot be decoded: {error!r}'
        ) from error


def encode_vm(contact: VmContact) -> Document:
    """Encode the entry of a VM by which other VMs find it."""
    return {'zone': contact.zone, 'ip': contact.ip}


def _decode_configuration(spec: Document) -> Configuration:
    limits = spec.get('limits') or {}
    teams = spec.get('tenants') or ()
    return Configuration(
        version=read_version(spec['version']),
        hosts={
            _read_non_empty_string(entry['host']).lower(): _decode_routes(entry)
            for entry in spec['virtual_hosts']
        },
        services={
            _read_non_empty_string(entry['name']): _decode_service(entry)
            for entry in spec['services']
        },
        teams={
            _read_non_empty_string(entry['name']): _decode_team(entry)
            for entry in teams
        },
        keys={
            _read_non_empty_string(key): entry['name']
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
        name=_read_string(rule['name']),
        host=host,
        prefix=_read_string(rule['path_prefix']),
        is_idempotent=rule['route_type'] == _IDEMPOTENT_TYPE,
        timeout=_read_optional_seconds(rule.get('timeout')),
        objective=_read_optional_seconds(rule.get('target_latency')),
        priority=int(rule.get('priority') or 0),
        weighted_services=_decode_parts(rule),
        attempts=max(1, int(rule.get('attempts') or _DEFAULT_ATTEMPTS)),
        is_public=bool(rule.get('public')),
        homes=_read_names(rule.get('home_regions')),
    )


def _decode_parts(rule: Document) -> tuple[WeightedService, ...]:
    split: Iterable[Document] = rule.get('traffic_split') or ()
    parts = tuple(
        WeightedService(
            _read_non_empty_string(part['service']),
            _read_finite_number(part['weight']),
        )
        for part in split
        if part['weight'] > 0
    )
    return parts or (
        WeightedService(_read_non_empty_string(rule['service']), 1.0),
    )


def _decode_service(entry: Document) -> Service:
    return Service(
        name=entry['name'],
        health_path=entry.get('health_path') or '/health',
        cold_seconds=_read_optional_seconds(entry.get('cold_start')) or 0.0,
        cold_per_second=_read_finite_number(entry.get('cold_per_s') or 0),
    )


def _decode_team(entry: Document) -> Team:
    rate = _read_finite_number(entry.get('rate_per_s') or 0)
    priority = entry.get('priority')
    return Team(
        name=entry['name'],
        priority=None if priority is None else int(priority),
        rate=rate or None,
        burst=_read_finite_number(entry.get('burst') or 0),
        homes=_read_names(entry.get('home_regions')),
    )


def _read_optional_seconds(text: object) -> float | None:
    return read_seconds(text) if text else None


def _read_non_empty_string(value: object) -> str:
    if not value:
        raise ValueError(f'{value!r} is not a non-empty string')
    return _read_string(value)


def _read_string(value: object) -> str:
    """Read a string that may be empty, such as the prefix of all paths."""
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is not a string')
    return value


def _read_names(value: object) -> frozenset[str]:
    if value is not None and not isinstance(value, list | tuple):
        raise TypeError(f'{value!r} is not a list of strings')
    return frozenset(map(_read_non_empty_string, value or ()))


def _read_ip_address(value: Any) -> Address:
    address = read_address(value)
    if not is_ip(address.host) or not 0 < address.port <= _MAX_PORT:
        raise ValueError(
            f'{value!r} is not an IP address with a port of 1 to 65535'
        )
    return address


def _read_ip(value: object) -> str:
    text = _read_non_empty_string(value)
    if not is_ip(text):
        raise ValueError(f'{text!r} is not an IP address')
    return text


def _read_finite_number(value: Any) -> float:
    amount = float(value)
    if not 0 <= amount < math.inf:
        raise ValueError(f'{value!r} is not a finite number of at least 0')
    return amount


def _read_integer(value: object, *, minimum: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'{value!r} is not an integer')
    if value < minimum:
        raise ValueError(f'{value} is below {minimum}')
    return value
