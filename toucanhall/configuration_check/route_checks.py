"""Finds routes that no request can match, and names that mean nothing."""

from collections.abc import Callable, Iterator, Mapping
from itertools import chain
from typing import Any, Final

from toucanhall.configuration_check.entries import (
    Entry,
    list_entries,
    list_keys,
    list_parts,
    list_rules,
)
from toucanhall.configuration_check.findings import (
    Finding,
    format_path,
    make_error,
    make_warning,
)
from toucanhall.fleet.model import Configuration, Route
from toucanhall.fleet.tables import find_route
from toucanhall.platform import configuration_fields as fields
from toucanhall.platform.documents import decode_configuration

__all__ = ('find_route_faults',)


def find_route_faults(
    document: Mapping[str, Any], configuration: Configuration
) -> Iterator[Finding]:
    """Find faults of names and routes in a document that VMs accept."""
    for check in _CHECKS:
        yield from check(document, configuration)


def _find_unmatched(
    document: Mapping[str, Any], _configuration: Configuration
) -> Iterator[Finding]:
    """Find routes that are not the route of any path.

    A route is found for its own prefix, if for any path: only a longer prefix
    goes before it, or the same one.
    """
    marked = decode_configuration(_mark_rules(document))
    for host, rule in list_rules(document):
        prefix = rule.content[fields.RULE_PREFIX]
        yield from _judge_prefix(rule, prefix, find_route(marked, host, prefix))


def _judge_prefix(
    rule: Entry, prefix: str, found: Route | None
) -> Iterator[Finding]:
    """Judge a prefix by the route that VMs find for it."""
    path = (*rule.path, fields.RULE_PREFIX)
    if prefix and not prefix.startswith('/'):
        text = f'{prefix!r} begins no path: it has no slash in front'
        yield make_error('unmatched-route', path, text)
    elif found is None or found.name != format_path(rule.path):
        text = _explain_unmatched(prefix, found)
        yield make_error('unmatched-route', path, text)
    elif prefix and not prefix.endswith('/'):
        text = f'{prefix!r} ends without a slash: it matches {prefix}x too'
        yield make_warning('open-prefix', path, text)


def _explain_unmatched(prefix: str, found: Route | None) -> str:
    """Tell why a rule is not the route of its prefix, but another or none."""
    if found is not None and found.prefix == prefix:
        return f'no request matches: {found.name} has the same prefix'
    return 'no request matches: the host is listed again below'


def _mark_rules(document: Mapping[str, Any]) -> dict[str, Any]:
    """Return a document whose rules have their paths for names."""
    hosts = []
    for path, host in list_entries(document, fields.HOSTS):
        rules = [
            {
                **rule,
                fields.ENTRY_NAME: format_path(
                    (*path, fields.HOST_RULES, position)
                ),
            }
            for position, rule in enumerate(host[fields.HOST_RULES])
        ]
        hosts.append({**host, fields.HOST_RULES: rules})
    return {**document, fields.HOSTS: hosts}


def _find_odd_hosts(
    document: Mapping[str, Any], _configuration: Configuration
) -> Iterator[Finding]:
    for path, host in list_entries(document, fields.HOSTS):
        name = host[fields.HOST_NAME]
        if ':' in name:
            yield make_error(
                'unmatched-host',
                (*path, fields.HOST_NAME),
                f'{name!r} has a port: requests are matched without theirs',
            )


def _find_repeated_names(
    document: Mapping[str, Any], _configuration: Configuration
) -> Iterator[Finding]:
    """Find entries of one name: VMs keep the last one only."""
    for section, field in (
        (fields.HOSTS, fields.HOST_NAME),
        (fields.SERVICES, fields.ENTRY_NAME),
        (fields.TEAMS, fields.ENTRY_NAME),
    ):
        seen: dict[str, Entry] = {}
        for entry in list_entries(document, section):
            name = entry.content[field]
            known = name.lower() if section == fields.HOSTS else name
            before = seen.get(known)
            if before is not None:
                first = format_path(before.path)
                yield make_error(
                    'repeated-name',
                    (*entry.path, field),
                    f'{name!r} is listed before: VMs drop {first}',
                )
            seen[known] = entry


def _find_shared_keys(
    document: Mapping[str, Any], _configuration: Configuration
) -> Iterator[Finding]:
    """Find keys that are listed twice; the text does not show them."""
    teams: dict[str, str] = {}
    for team, (path, key) in list_keys(document):
        first = teams.setdefault(key, team)
        if first == team:
            continue
        text = (
            f'the key is that of team {first!r} too: VMs take it for {team!r}'
        )
        yield make_error('shared-key', path, text)


def _find_unlisted_services(
    document: Mapping[str, Any], configuration: Configuration
) -> Iterator[Finding]:
    for _host, rule in list_rules(document):
        named = [
            Entry((*part.path, fields.RULE_SERVICE), part.content)
            for part in list_parts(rule)
            if part.content[fields.SPLIT_WEIGHT] > 0
        ]
        for path, content in named or (
            Entry((*rule.path, fields.RULE_SERVICE), rule.content),
        ):
            service = content[fields.RULE_SERVICE]
            if service not in configuration.services:
                text = f'service {service!r} is not listed'
                yield make_error('unlisted-service', path, text)


def _find_unused_services(
    document: Mapping[str, Any], configuration: Configuration
) -> Iterator[Finding]:
    routes = chain.from_iterable(configuration.hosts.values())
    used = {
        part.service for route in routes for part in route.weighted_services
    }
    for path, service in list_entries(document, fields.SERVICES):
        name = service[fields.ENTRY_NAME]
        if name not in used:
            yield make_warning(
                'unused-service',
                (*path, fields.ENTRY_NAME),
                f'no route uses service {name!r}',
            )


_Check = Callable[[Mapping[str, Any], Configuration], Iterator[Finding]]
_CHECKS: Final[tuple[_Check, ...]] = (
    _find_unmatched,
    _find_odd_hosts,
    _find_repeated_names,
    _find_shared_keys,
    _find_unlisted_services,
    _find_unused_services,
)
