"""Compares a configuration with the version in force.

Both are compared as VMs decode them. What callers may notice is grouped.
"""

import hashlib
from collections.abc import Iterator, Mapping
from typing import Final, TypeVar

from toucanhall.configuration_check.findings import Difference
from toucanhall.fleet.model import Configuration, Route, Team

__all__ = ('GROUPS', 'compare')

_ROUTES: Final = 'routes gone or new'
_SERVICES: Final = 'other services or weights'
_LIMITS: Final = 'limits lower or higher'
_KEYS: Final = 'keys gone or new'
_TIMES: Final = 'times'
_HANDLING: Final = 'other handling of requests'
GROUPS: Final = (_ROUTES, _SERVICES, _LIMITS, _KEYS, _TIMES, _HANDLING)
_DIGEST_DIGITS: Final = 12  # enough to tell the keys of a configuration apart
_ROUTE_FIELDS: Final = {
    'timeout': _TIMES,
    'objective': _TIMES,
    'is_idempotent': _HANDLING,
    'has_large_bodies': _HANDLING,
    'priority': _HANDLING,
    'attempts': _HANDLING,
    'is_public': _HANDLING,
    'homes': _HANDLING,
}
_LIMIT_FIELDS: Final = {
    'head_bytes': _LIMITS,
    'body_bytes': _LIMITS,
    'head_seconds': _TIMES,
    'idle_seconds': _TIMES,
}
_SERVICE_FIELDS: Final = {
    'health_path': _HANDLING,
    'cold_seconds': _TIMES,
    'cold_per_second': _LIMITS,
}
_TEAM_FIELDS: Final = {
    'priority': _HANDLING,
    'homes': _HANDLING,
}

_Key = TypeVar('_Key')
_Entry = TypeVar('_Entry')


def compare(
    current: Configuration, changed: Configuration
) -> tuple[Difference, ...]:
    """Return what callers may notice, in the order of the groups."""
    found = (
        *_compare_routes(current, changed),
        *_compare_services(current, changed),
        *_compare_teams(current, changed),
        *_compare_keys(current.keys, changed.keys),
        *_compare_fields(
            'callers', current.limits, changed.limits, _LIMIT_FIELDS
        ),
    )
    return tuple(sorted(found, key=lambda entry: GROUPS.index(entry.group)))


def _pair(
    current: Mapping[_Key, _Entry], changed: Mapping[_Key, _Entry]
) -> Iterator[tuple[_Key, _Entry | None, _Entry | None]]:
    for name in dict.fromkeys((*current, *changed)):
        yield name, current.get(name), changed.get(name)


def _compare_routes(
    current: Configuration, changed: Configuration
) -> Iterator[Difference]:
    pairs = _pair(_index_routes(current), _index_routes(changed))
    for place, before, after in pairs:
        if before is None or after is None:
            yield Difference(_ROUTES, f'{_tell(before)}: {place}')
            continue
        if _describe_split(before) != _describe_split(after):
            yield _make_change(
                _SERVICES,
                place,
                _describe_split(before),
                _describe_split(after),
            )
        yield from _compare_fields(place, before, after, _ROUTE_FIELDS)


def _compare_services(
    current: Configuration, changed: Configuration
) -> Iterator[Difference]:
    pairs = _pair(current.services, changed.services)
    for name, before, after in pairs:
        place = f'service {name}'
        if before is None or after is None:
            yield Difference(_SERVICES, f'{_tell(before)}: {place}')
        else:
            yield from _compare_fields(place, before, after, _SERVICE_FIELDS)


def _compare_teams(
    current: Configuration, changed: Configuration
) -> Iterator[Difference]:
    for name, before, after in _pair(current.teams, changed.teams):
        place = f'team {name}'
        if before is None or after is None:
            yield Difference(_KEYS, f'{_tell(before)}: {place}')
            continue
        if _describe_limit(before) != _describe_limit(after):
            yield _make_change(
                _LIMITS,
                f'{place} {_compare_rates(before, after)}',
                _describe_limit(before),
                _describe_limit(after),
            )
        yield from _compare_fields(place, before, after, _TEAM_FIELDS)


def _compare_keys(
    current: Mapping[str, str], changed: Mapping[str, str]
) -> Iterator[Difference]:
    """Compare keys; they are secret, so a digest stands for each."""
    for key, before, after in _pair(current, changed):
        digest = hashlib.sha256(key.encode()).hexdigest()[:_DIGEST_DIGITS]
        place = f'key with SHA-256 {digest}'
        if before is None or after is None:
            text = f'{_tell(before)}: {place} of team {before or after}'
            yield Difference(_KEYS, text)
        elif before != after:
            yield _make_change(_KEYS, place, f'team {before}', f'team {after}')


def _compare_fields(
    place: str, before: object, after: object, groups: Mapping[str, str]
) -> Iterator[Difference]:
    for field, group in groups.items():
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            direction = ''
            if group == _LIMITS:
                direction = ' lower' if new < old else ' higher'
            yield _make_change(
                group, f'{place} {field}{direction}', _show(old), _show(new)
            )


def _make_change(group: str, place: str, old: str, new: str) -> Difference:
    return Difference(group, f'{place}: {old} -> {new}')


def _tell(before: object) -> str:
    return 'new' if before is None else 'gone'


def _index_routes(configuration: Configuration) -> dict[str, Route]:
    """Return the routes by host and prefix; the first of a prefix is used."""
    routes: dict[str, Route] = {}
    for host, listed in configuration.hosts.items():
        for route in listed:
            routes.setdefault(f'{host}{route.prefix}', route)
    return routes


def _describe_split(route: Route) -> str:
    total = sum(part.weight for part in route.weighted_services)
    return ', '.join(
        f'{part.service} {part.weight / total:.1%}'
        for part in route.weighted_services
    )


def _describe_limit(team: Team) -> str:
    if team.rate is None:
        return 'none'
    return f'{team.rate:g}/s, burst {team.burst:g}'


def _compare_rates(before: Team, after: Team) -> str:
    old = (float('inf') if before.rate is None else before.rate, before.burst)
    new = (float('inf') if after.rate is None else after.rate, after.burst)
    return 'lower' if new < old else 'higher'


def _show(value: object) -> str:
    if isinstance(value, frozenset):
        return ', '.join(sorted(value)) or 'any'
    if isinstance(value, float):
        return f'{value:g}'
    return 'none' if value is None else str(value)
