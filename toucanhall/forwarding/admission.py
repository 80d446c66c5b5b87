"""Admits requests of callers and of other entry VMs, or refuses them."""

from returns.result import Result, Success

from toucanhall import runtime
from toucanhall.catalogue import Catalogue, Route
from toucanhall.forwarding import hops
from toucanhall.forwarding.credentials import (
    Caller,
    contains_key,
    identify,
    strip_key,
)
from toucanhall.forwarding.jobs import RETRY_AFTER_SECONDS, Job, Parts
from toucanhall.forwarding.problems import Refusal, refuse
from toucanhall.forwarding.records import Request, find_header
from toucanhall.steering import Origin

__all__ = ('admit', 'find_route')


def find_route(catalogue: Catalogue, path: str) -> Route | None:
    """Return the route with the longest path that contains a request's path.

    The routes of a catalogue are sorted by length, the longest path first.
    """
    for route in catalogue.routes:
        prefix = route.path.rstrip('/')
        if path == route.path or path.startswith(f'{prefix}/'):
            return route
    return None


def admit(parts: Parts, request: Request) -> Result[Job, Refusal]:
    """Return the job of a request that may run, or why it is refused."""
    revision = parts.holder.current
    if revision is None or not parts.holder.is_ready():
        return refuse('not-ready', 'no catalogue yet', RETRY_AFTER_SECONDS)
    catalogue = revision.catalogue
    route = find_route(catalogue, request.path)
    if route is None:
        return refuse('no-route', 'see the routes of the catalogue')
    if not route.public and not parts.holder.may_rely_on_keys():
        return refuse('not-ready', 'keys may be outdated', RETRY_AFTER_SECONDS)
    token = find_header(request.headers, hops.HOP_HEADER)
    if token:
        return _admit_hop(parts, request, catalogue, route)
    return identify(catalogue, route, request).bind(
        lambda caller: _admit_caller(parts, request, catalogue, route, caller),
    )


def _admit_caller(
    parts: Parts,
    request: Request,
    catalogue: Catalogue,
    route: Route,
    caller: Caller,
) -> Result[Job, Refusal]:
    if contains_key(request.target.split('?', 1)[0], caller.key):
        return refuse('bad-request', 'the path holds the key')
    if caller.team:
        wait_seconds = parts.ledger.admit(caller.team)
        if wait_seconds is not None:
            retry_after = max(wait_seconds, RETRY_AFTER_SECONDS)
            return refuse('rate', f'team {caller.team!r}', retry_after)
    return Success(
        Job(
            request=strip_key(request, caller.key),
            caller=caller,
            route=route,
            catalogue=catalogue,
            request_id=runtime.make_id(),
            give_up_at=runtime.read_clock() + route.deadline_seconds,
            is_from_entry_vm=False,
        ),
    )


def _admit_hop(
    parts: Parts,
    request: Request,
    catalogue: Catalogue,
    route: Route,
) -> Result[Job, Refusal]:
    token = find_header(request.headers, hops.HOP_HEADER)
    hop_read = hops.read_token(parts.identity.secret, token)
    if not isinstance(hop_read, Success):
        parts.counters.add(f'hop.dropped.{hop_read.failure().reason}')
        return refuse('bad-request', 'hop is not authentic')
    hop = hop_read.unwrap()
    if (hop.method, hop.target) != (request.method, request.target):
        return refuse('bad-request', 'hop is for another request')
    granted = catalogue.keys.get(hop.key_digest)
    if not route.public and (granted is None or granted.team != hop.team):
        return refuse('key-unknown', f'route {route.path!r}')
    headers = tuple(
        entry
        for entry in request.headers
        if entry[0].lower() != hops.HOP_HEADER
    )
    return Success(
        Job(
            request=request._replace(headers=headers),
            caller=Caller(hop.team, ''),
            route=route,
            catalogue=catalogue,
            request_id=hop.request_id,
            give_up_at=runtime.read_clock()
            + min(route.deadline_seconds, hop.seconds),
            is_from_entry_vm=True,
            origin=Origin.SIBLING if hop.zone == parts.zone else Origin.ZONE,
            is_retry=hop.is_retry,
        ),
    )
