"""Decodes what operators and targets wrote to the store."""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Final

from toucanhall.fleet.addresses import is_ip
from toucanhall.fleet.model import (
    Address,
    ClientLimits,
    Configuration,
    VmContact,
    WeightedService,
    Route,
    Service,
    Target,
    Team,
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

_IDEMPOTENT: Final = 'idempotent'
_STATES: Final = {'ready': False, 'draining': True}
_DEFAULT_ATTEMPTS: Final = 1
_MOST_PORT: Final = 65535

Document = Mapping[str, Any]

# What decoding raises when a field is missing or of another type.
_WRONG: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)


class InvalidDocumentError(ValueError):
    """An object of the store that cannot be used."""


def decode_configuration(spec: Document) -> Configuration:
    """Decode a configuration; raise BadDocument when it cannot be read."""
    try:
        return _decode_configuration(spec)
    except _WRONG as error:
        raise InvalidDocumentError(f'configuration: {error!r}') from error


def decode_target(name: str, spec: Document, revision: int) -> Target:
    """Decode the entry of a target; raise BadDocument if it names none."""
    try:
        return Target(
            id=name,
            service=_read_text(spec['service']),
            address=_read_ip_address(spec['address']),
            zone=_read_text(spec['zone']),
            slots=_read_positive(spec['slots']),
            is_draining=_STATES[spec['state']],
            cold_seconds=read_seconds(spec.get('cold_left', '0ms')),
            started_at=int(spec.get('born') or 0),
            revision=revision,
        )
    except _WRONG as error:
        raise InvalidDocumentError(f'target {name}: {error!r}') from error


def decode_vm(name: str, spec: Document) -> VmContact:
    """Decode the entry of a VM; raise BadDocument if it names none."""
    try:
        return VmContact(
            vm=name,
            zone=_read_text(spec['zone']),
            ip=_read_ip(spec['ip']),
        )
    except _WRONG as error:
        raise InvalidDocumentError(f'VM {name}: {error!r}') from error


def encode_vm(introduction: VmContact) -> Document:
    """Encode the entry by which other VMs find this one."""
    return {'zone': introduction.zone, 'ip': introduction.ip}


def _decode_configuration(spec: Document) -> Configuration:
    limits = spec.get('limits') or {}
    teams = spec.get('tenants') or ()
    return Configuration(
        version=read_version(spec['version']),
        hosts={
            _read_text(entry['host']).lower(): _decode_routes(entry)
            for entry in spec['virtual_hosts']
        },
        services={
            _read_text(entry['name']): _decode_service(entry)
            for entry in spec['services']
        },
        teams={
            _read_text(entry['name']): _decode_team(entry) for entry in teams
        },
        keys={
            _read_text(key): entry['name']
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
        name=_read_any_text(rule['name']),
        host=host,
        prefix=_read_any_text(rule['path_prefix']),
        is_idempotent=rule['route_type'] == _IDEMPOTENT,
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
            _read_text(part['service']), _read_amount(part['weight'])
        )
        for part in split
        if part['weight'] > 0
    )
    return parts or (WeightedService(_read_text(rule['service']), 1.0),)


def _decode_service(entry: Document) -> Service:
    return Service(
        name=entry['name'],
        health_path=entry.get('health_path') or '/health',
        cold_seconds=_read_optional_seconds(entry.get('cold_start')) or 0.0,
        cold_per_second=_read_amount(entry.get('cold_per_s') or 0),
    )


def _decode_team(entry: Document) -> Team:
    rate = _read_amount(entry.get('rate_per_s') or 0)
    priority = entry.get('priority')
    return Team(
        name=entry['name'],
        priority=None if priority is None else int(priority),
        rate=rate or None,
        burst=_read_amount(entry.get('burst') or 0),
        homes=_read_names(entry.get('home_regions')),
    )


def _read_optional_seconds(text: object) -> float | None:
    return read_seconds(text) if text else None


def _read_text(found: object) -> str:
    if not found:
        raise ValueError('a text is empty')
    return _read_any_text(found)


def _read_any_text(found: object) -> str:
    """Read a text that may be empty, as the prefix of all paths is."""
    if not isinstance(found, str):
        raise TypeError(f'{found!r} is not a text')
    return found


def _read_names(found: object) -> frozenset[str]:
    if found is not None and not isinstance(found, list | tuple):
        raise TypeError(f'{found!r} is not a list of names')
    return frozenset(map(_read_text, found or ()))


def _read_ip_address(found: Any) -> Address:
    address = read_address(found)
    if not is_ip(address.host) or not 0 < address.port <= _MOST_PORT:
        raise ValueError(f'{found!r} is not an address and port')
    return address


def _read_ip(found: object) -> str:
    text = _read_text(found)
    if not is_ip(text):
        raise ValueError(f'{text!r} is not an address')
    return text


def _read_amount(found: Any) -> float:
    amount = float(found)
    if not 0 <= amount < math.inf:
        raise ValueError(f'{found!r} is not an amount')
    return amount


def _read_positive(found: object) -> int:
    if not isinstance(found, int) or isinstance(found, bool) or found < 1:
        raise TypeError(f'{found!r} is not a positive number')
    return found
