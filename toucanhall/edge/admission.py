"""Admits or refuses a request; resolves its route, team and deadline."""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

from toucanhall.edge import refusals
from toucanhall.edge.refusals import Refusal
from toucanhall.fleet.model import Configuration, Route, Service, Team
from toucanhall.fleet.tables import find_route
from toucanhall.limits.quota import Quotas
from toucanhall.platform.headers import CallerHeaders
from toucanhall.quarantine.fingerprints import compute_fingerprint
from toucanhall.web.messages import Request

__all__ = ('AdmittedRequest', 'admit')

_DEFAULT_OBJECTIVE_SECONDS: Final = 1.0  # of routes without an objective
_DEFAULT_DEADLINE_SECONDS: Final = 10.0  # of callers that send no deadline


class AdmittedRequest(NamedTuple):
    """A request that may be sent to a target; times are of the loop's clock.

    `homes` are the regions that may serve it; an empty set allows all. The
    `fingerprint` is that of all its repetitions.
    """

    request: Request
    headers: CallerHeaders
    route: Route
    team: Team | None
    service: Service
    homes: frozenset[str]
    priority: int
    received_at: float
    deadline: float
    objective_at: float
    fingerprint: str

    @property
    def object_key(self) -> str:
        """The key of the requested object, or else the request id."""
        return self.headers.object_key or self.headers.request_id.decode(
            'latin-1'
        )

    @property
    def objective_seconds(self) -> float:
        """Time after receipt within which an answer is wanted."""
        return self.objective_at - self.received_at


def admit(
    request: Request,
    headers: CallerHeaders,
    configuration: Configuration | None,
    quotas: Quotas | None,
    now: float,
) -> AdmittedRequest | Refusal:
    """Return the admitted request, or the refusal that answers it.

    Without `quotas`, another VM has counted it against the team's limit.
    """
    if configuration is None:
        return refusals.NO_CONFIGURATION
    route = find_route(configuration, headers.host, headers.path)
    if route is None:
        return refusals.NO_ROUTE
    team = _find_team(configuration, headers.key)
    needs_key = bool(configuration.teams) and not route.is_public
    if needs_key and team is None:
        return refusals.UNKNOWN_KEY
    if not headers.request_id:
        return refusals.NO_REQUEST_ID
    retry_after = quotas.admit(team, now) if team and quotas else 0.0
    if team and quotas and retry_after:
        return refusals.make_over_quota(
            team.name,
            retry_after,
            quotas.describe_refusal(team.name, now),
        )
    return _resolve(request, headers, configuration, route, team, now)


def _resolve(
    request: Request,
    headers: CallerHeaders,
    configuration: Configuration,
    route: Route,
    team: Team | None,
    now: float,
) -> AdmittedRequest | Refusal:
    homes = _intersect_regions(route, team)
    service = configuration.services.get(_pick_service_name(route))
    if homes is None or service is None:
        return refusals.NO_TARGET
    remaining = headers.remaining_seconds or _DEFAULT_DEADLINE_SECONDS
    return AdmittedRequest(
        request=request,
        headers=headers,
        route=route,
        team=team,
        service=service,
        homes=homes,
        priority=_get_priority(route, team),
        received_at=now,
        deadline=now + min(remaining, route.timeout or remaining),
        objective_at=now + (route.objective or _DEFAULT_OBJECTIVE_SECONDS),
        fingerprint=compute_fingerprint(
            request.method,
            headers.host,
            headers.path,
            team.name if team else '',
            request.body,
        ),
    )


def _get_priority(route: Route, team: Team | None) -> int:
    if team is None or team.priority is None:
        return route.priority
    return team.priority


def _find_team(configuration: Configuration, key: str | None) -> Team | None:
    name = configuration.keys.get(key or '')
    return configuration.teams.get(name or '')


def _intersect_regions(
    route: Route, team: Team | None
) -> frozenset[str] | None:
    """Return the regions that route and team both allow.

    An empty set allows all regions; None means that none is allowed.
    """
    if team is None or not team.homes:
        return route.homes
    if not route.homes:
        return team.homes
    return (route.homes & team.homes) or None


def _pick_service_name(
    route: Route,
    draw: Callable[[], float] = random.random,
) -> str:
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    remaining_weight = draw() * sum(
        part.weight for part in route.weighted_services
    )
    for part in route.weighted_services:
        remaining_weight -= part.weight
        if remaining_weight < 0:
            return part.service
    return route.weighted_services[-1].service
