"""Decodes and encodes the objects of the store."""

from collections.abc import Iterable, Mapping
from typing import Any, Final

import msgspec

from toucanhall.fleet.model import (
    ClientLimits,
    Configuration,
    Route,
    Service,
    Target,
    Team,
    VmContact,
    WeightedService,
)
from toucanhall.platform.store_objects import UndecodableSpec
from toucanhall.platform.units import read_seconds, read_version
from toucanhall.platform.values import (
    read_finite_number,
    read_integer,
    read_ip,
    read_ip_address,
    read_names,
    read_non_empty_string,
    read_optional_seconds,
    read_string,
)

__all__ = (
    'InvalidDocumentError',
    'decode_configuration',
    'decode_target',
    'decode_vm',
    'encode_vm',
)

# Uploads may run once only, as all types that are not named here.
_IDEMPOTENT_TYPES: Final = frozenset(('idempotent', 'download'))
_LARGE_BODY_TYPES: Final = frozenset(('upload', 'download'))
_IS_DRAINING_BY_STATE: Final = {'ready': False, 'draining': True}
_DEFAULT_ATTEMPTS: Final = 1

Document = Mapping[str, Any]

# Raised by decoding if a field is missing, mistyped or out of range.
_DECODE_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    msgspec.MsgspecError,
)
_MAX_ERROR_CHARACTERS: Final = 200


class InvalidDocumentError(ValueError):
    """An object of the store cannot be decoded."""


def decode_configuration(spec: Document) -> Configuration:
    """Decode a configuration; raise InvalidDocumentError on failure."""
    try:
        configuration = _decode_configuration(spec)
        _check_message(configuration)
    except _DECODE_ERRORS as error:
        raise InvalidDocumentError(
            f'configuration cannot be decoded: {_explain(spec, error)}'
        ) from error
    return configuration


def decode_target(name: str, spec: Document, revision: int) -> Target:
    """Decode the entry of a target; raise InvalidDocumentError on failure."""
    try:
        return Target(
            id=name,
            service=read_non_empty_string(spec['service']),
            address=read_ip_address(spec['address']),
            zone=read_non_empty_string(spec['zone']),
            slots=read_integer(spec['slots'], minimum=1),
            is_draining=_IS_DRAINING_BY_STATE[spec['state']],
            cold_seconds=read_seconds(spec.get('cold_left', '0ms')),
            started_at=read_integer(spec.get('born', 0), minimum=0),
            revision=revision,
            sequence=read_integer(spec.get('sequence', 0), minimum=0),
            version=_read_version_name(spec.get('version')),
        )
    except _DECODE_ERRORS as error:
        raise InvalidDocumentError(
            f'target {name} cannot be decoded: {_explain(spec, error)}'
        ) from error


def decode_vm(name: str, spec: Document) -> VmContact:
    """Decode the entry of a VM; raise InvalidDocumentError on failure."""
    try:
        return VmContact(
            vm=name,
            zone=read_non_empty_string(spec['zone']),
            ip=read_ip(spec['ip']),
        )
    except _DECODE_ERRORS as error:
        raise InvalidDocumentError(
            f'VM {name} cannot be decoded: {_explain(spec, error)}'
        ) from error


def encode_vm(contact: VmContact) -> Document:
    """Encode the entry of a VM by which other VMs find it."""
    return {'zone': contact.zone, 'ip': contact.ip}


def _check_message(configuration: Configuration) -> None:
    """Raise an error unless VMs can pass a configuration to each other.

    One that they cannot would keep all their tables from each other.
    """
    message = msgspec.msgpack.encode(configuration)
    msgspec.msgpack.decode(message, type=Configuration)


def _read_version_name(content: object) -> str:
    """Return the name of a software version, empty if it is malformed."""
    return content if isinstance(content, str) else ''


def _explain(spec: object, error: Exception) -> str:
    if isinstance(spec, UndecodableSpec):
        return spec.why[:_MAX_ERROR_CHARACTERS]
    return repr(error)[:_MAX_ERROR_CHARACTERS]


def _decode_configuration(spec: Document) -> Configuration:
    limits = spec.get('limits') or {}
    teams = spec.get('tenants') or ()
    return Configuration(
        version=read_version(spec['version']),
        hosts={
            read_non_empty_string(entry['host']).lower(): _decode_routes(entry)
            for entry in spec['virtual_hosts']
        },
        services={
            read_non_empty_string(entry['name']): _decode_service(entry)
            for entry in spec['services']
        },
        teams={
            read_non_empty_string(entry['name']): _decode_team(entry)
            for entry in teams
        },
        keys={
            read_non_empty_string(key): entry['name']
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
        name=read_string(rule['name']),
        host=host,
        prefix=read_string(rule['path_prefix']),
        is_idempotent=rule['route_type'] in _IDEMPOTENT_TYPES,
        timeout=read_optional_seconds(rule.get('timeout')),
        objective=read_optional_seconds(rule.get('target_latency')),
        priority=int(rule.get('priority') or 0),
        weighted_services=_decode_parts(rule),
        attempts=max(1, int(rule.get('attempts') or _DEFAULT_ATTEMPTS)),
        is_public=bool(rule.get('public')),
        homes=read_names(rule.get('home_regions')),
        has_large_bodies=rule['route_type'] in _LARGE_BODY_TYPES,
    )


def _decode_parts(rule: Document) -> tuple[WeightedService, ...]:
    split: Iterable[Document] = rule.get('traffic_split') or ()
    parts = tuple(
        WeightedService(
            read_non_empty_string(part['service']),
            read_finite_number(part['weight']),
        )
        for part in split
        if part['weight'] > 0
    )
    return parts or (
        WeightedService(read_non_empty_string(rule['service']), 1.0),
    )


def _decode_service(entry: Document) -> Service:
    return Service(
        name=entry['name'],
        health_path=entry.get('health_path') or '/health',
        cold_seconds=read_optional_seconds(entry.get('cold_start')) or 0.0,
        cold_per_second=read_finite_number(entry.get('cold_per_s') or 0),
    )


def _decode_team(entry: Document) -> Team:
    rate = read_finite_number(entry.get('rate_per_s') or 0)
    priority = entry.get('priority')
    return Team(
        name=entry['name'],
        priority=None if priority is None else int(priority),
        rate=rate or None,
        burst=read_finite_number(entry.get('burst') or 0),
        homes=read_names(entry.get('home_regions')),
    )
