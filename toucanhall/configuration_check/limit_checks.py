"""Finds limits, weights and times that contradict each other."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

from toucanhall.configuration_check.entries import (
    list_entries,
    list_parts,
    list_rules,
)
from toucanhall.configuration_check.findings import (
    Finding,
    make_error,
    make_warning,
)
from toucanhall.fleet.model import Configuration, Route
from toucanhall.platform import configuration_fields as fields
from toucanhall.platform.documents import decode_configuration

__all__ = ('find_limit_faults',)

# A connection, a request and its answer within a region (edge/sender.py).
_MIN_TIMEOUT_SECONDS: Final = 0.002
# Of callers that send no deadline (edge/admission.py).
_DEFAULT_DEADLINE_SECONDS: Final = 10.0


def find_limit_faults(
    document: Mapping[str, Any], configuration: Configuration
) -> Iterator[Finding]:
    """Find contradictions in a document that VMs accept."""
    for check in _CHECKS:
        yield from check(document, configuration)


def _find_idle_weights(
    document: Mapping[str, Any], _configuration: Configuration
) -> Iterator[Finding]:
    for _host, rule in list_rules(document):
        parts = tuple(list_parts(rule))
        idle = [
            part for part in parts if not part.content[fields.SPLIT_WEIGHT] > 0
        ]
        for path, content in idle:
            service = content[fields.RULE_SERVICE]
            text = f'service {service!r} gets no request: its weight is 0'
            yield make_warning(
                'zero-weight', (*path, fields.SPLIT_WEIGHT), text
            )
        if parts and len(idle) == len(parts):
            text = 'all weights are 0: VMs use the service of the rule'
            yield make_error(
                'zero-weights', (*rule.path, fields.RULE_SPLIT), text
            )


def _find_odd_types(
    document: Mapping[str, Any], _configuration: Configuration
) -> Iterator[Finding]:
    for _host, rule in list_rules(document):
        kind = rule.content[fields.ROUTE_TYPE]
        if kind not in fields.ROUTE_TYPES:
            known = ', '.join(fields.ROUTE_TYPES)
            text = f'{kind!r} is read as non_idempotent; known are {known}'
            yield make_warning(
                'unknown-route-type', (*rule.path, fields.ROUTE_TYPE), text
            )


def _find_odd_times(
    document: Mapping[str, Any], _configuration: Configuration
) -> Iterator[Finding]:
    for _host, rule in list_rules(document):
        route = _decode_route(rule.content)
        for reason, text in _judge_times(route):
            yield make_warning(reason, (*rule.path, fields.RULE_TIMEOUT), text)


def _decode_route(rule: Mapping[str, Any]) -> Route:
    """Return a rule as VMs decode it."""
    host = {fields.HOST_NAME: 'host', fields.HOST_RULES: [rule]}
    alone = decode_configuration({**fields.SAMPLE, fields.HOSTS: [host]})
    return alone.hosts['host'][0]


def _judge_times(route: Route) -> Iterator[tuple[str, str]]:
    timeout, objective = route.timeout, route.objective
    if timeout is None:
        return
    if not timeout:
        yield 'zero-timeout', 'VMs read a timeout of 0 as none'
    elif timeout < _MIN_TIMEOUT_SECONDS:
        text = f'no request ends in {timeout:g} s: a connection takes longer'
        yield 'unkeepable-timeout', text
    elif objective is not None and objective > timeout:
        text = f'the objective of {objective:g} s is above it, {timeout:g} s'
        yield 'objective-above-timeout', text
    if timeout > _DEFAULT_DEADLINE_SECONDS:
        text = (
            f'{timeout:g} s are above the deadline of callers that send none, '
            f'{_DEFAULT_DEADLINE_SECONDS:g} s'
        )
        yield 'timeout-above-deadline', text


def _find_odd_teams(
    document: Mapping[str, Any], configuration: Configuration
) -> Iterator[Finding]:
    for path, entry in list_entries(document, fields.TEAMS):
        team = configuration.teams[entry[fields.ENTRY_NAME]]
        if team.rate is None and team.burst:
            text = 'a burst without a rate: the team has no limit'
            yield make_warning('burst-without-rate', (*path, 'burst'), text)
        if not entry.get(fields.KEYS):
            text = f'team {team.name!r} has no key: no request is its own'
            yield make_warning('team-without-key', path, text)
        apart = sorted(
            f'{route.host}{route.prefix}'
            for routes in configuration.hosts.values()
            for route in routes
            if team.homes and route.homes and not team.homes & route.homes
        )
        if apart:
            text = f'no region in common with the routes {", ".join(apart)}'
            yield make_warning('homes-apart', path, text)


def _find_odd_services(
    document: Mapping[str, Any], configuration: Configuration
) -> Iterator[Finding]:
    for path, entry in list_entries(document, fields.SERVICES):
        service = configuration.services[entry[fields.ENTRY_NAME]]
        if service.cold_seconds and not service.cold_per_second:
            text = 'a cold start without a rate: VMs send at any rate'
            yield make_warning('cold-without-rate', path, text)


def _find_odd_limits(
    _document: Mapping[str, Any], configuration: Configuration
) -> Iterator[Finding]:
    limits = configuration.limits
    for name, amount in zip(fields.SAMPLE[fields.LIMITS], limits, strict=True):
        if amount <= 0:
            text = f'{amount:g} lets nothing through'
            yield make_warning('zero-limit', (fields.LIMITS, name), text)
    if limits.head_seconds > limits.idle_seconds:
        text = 'the time of a head is above that of an idle connection'
        yield make_warning('head-above-idle', (fields.LIMITS,), text)


_Check = Callable[[Mapping[str, Any], Configuration], Iterator[Finding]]
_CHECKS: Final[tuple[_Check, ...]] = (
    _find_idle_weights,
    _find_odd_types,
    _find_odd_times,
    _find_odd_teams,
    _find_odd_services,
    _find_odd_limits,
)
