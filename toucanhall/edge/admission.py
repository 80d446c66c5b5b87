"""Decides whether a request may be sent to a target, and what binds it."""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

from toucanhall.edge import refusals
from toucanhall.edge.refusals import Refusal
from toucanhall.fleet.tables import find_route
from toucanhall.fleet.model import Configuration, Route, Service, Team
from toucanhall.limits.quota import Quotas
from toucanhall.platform.headers import CallerHeaders
from toucanhall.web.messages import Request

__all__ = ('AdmittedRequest', 'admit')

_DEFAULT_OBJECTIVE: Final = 1.0  # seconds, of routes that name none
_DEFAULT_PATIENCE: Final = 10.0  # seconds, of callers that name none


class AdmittedRequest(NamedTuple):
    """A request that may be sent to a target; times of the loop's clock.

    `homes` are the regions that may serve it, none of them for all.
    """

    request: Request
    marks: CallerHeaders
    route: Route
    team: Team | None
    service: Service
    homes: frozenset[str]
    priority: int
    received_at: float
    deadline: float
    objective_at: float

    @property
    def object_key(self) -> str:
        """The object that the request concerns, or its own id."""
        return self.marks.object_key or self.marks.request_id.decode('latin-1')

    @property
    def objective(self) -> float:
        """Seconds within which an answer is wanted."""
        return self.objective_at - self.received_at


def admit(
    request: Request,
    marks: CallerHeaders,
    configuration: Configuration | None,
    quotas: Quotas,
    now: float,
) -> AdmittedRequest | Refusal:
    """Admit a request, or tell why not."""
    if configuration is None:
        return refusals.NO_CONFIGURATION
    route = find_route(configuration, marks.host, marks.path)
    if route is None:
        return refusals.NO_ROUTE
    team = _find_team(configuration, marks.key)
    needs_key = bool(configuration.teams) and not route.is_public
    if needs_key and team is None:
        return refusals.UNKNOWN_KEY
    wait = quotas.admit(team, now) if team else 0.0
    if team and wait:
        return refusals.make_over_quota(
            team.name,
            wait,
            quotas.describe_refusal(team.name, now),
        )
    return _bind(request, marks, configuration, route, team, now)


def _bind(
    request: Request,
    marks: CallerHeaders,
    configuration: Configuration,
    route: Route,
    team: Team | None,
    now: float,
) -> AdmittedRequest | Refusal:
    homes = _join_homes(route, team)
    service = configuration.services.get(_pick_part(route))
    if homes is None or service is None:
        return refusals.NO_TARGET
    patience = marks.remaining_seconds or _DEFAULT_PATIENCE
    return AdmittedRequest(
        request=request,
        marks=marks,
        route=route,
        team=team,
        service=service,
        homes=homes,
        priority=_pick_priority(route, team),
        received_at=now,
        deadline=now + min(patience, route.timeout or patience),
        objective_at=now + (route.objective or _DEFAULT_OBJECTIVE),
    )


def _pick_priority(route: Route, team: Team | None) -> int:
    if team is None or team.priority is None:
        return route.priority
    return team.priority


def _find_team(configuration: Configuration, key: str | None) -> Team | None:
    name = configuration.keys.get(key or '')
    return configuration.teams.get(name or '')


def _join_homes(route: Route, team: Team | None) -> frozenset[str] | None:
    """Return the regions allowed, empty for all, None for none of them."""
    if team is None or not team.homes:
        return route.homes
    if not route.homes:
        return team.homes
    return (route.homes & team.homes) or None


def _pick_part(
    route: Route,
    draw: Callable[[], float] = random.random,
) -> str:
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    point = draw() * sum(part.weight for part in route.weighted_services)
    for part in route.weighted_services:
        point -= part.weight
        if point < 0:
            return part.service
    return route.weighted_services[-1].service
