"""Routes of the operators' API, for the server and its generated page."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from returns.result import Failure, Result, Success

__all__ = ('PREFIX', 'ROUTES', 'Match', 'Mismatch', 'Route', 'match')

PREFIX: Final = '/.toucanhall/admin/v1/'

_ALL_ROLES: Final = ('read', 'owner', 'operate', 'administer')
_KEY_ROLES: Final = ('owner', 'operate', 'administer')
_DRAIN_ROLES: Final = ('operate', 'administer')
_WRITE_STATUSES: Final = (200, 400, 401, 403, 412, 503)


class Route(NamedTuple):
    """A method and path, the roles allowed to use it, and its statuses."""

    method: str
    path: str
    summary: str
    roles: tuple[str, ...] = _ALL_ROLES
    statuses: tuple[int, ...] = (200, 401)
    body: str = ''


class Match(NamedTuple):
    """A matching route and the names in the path."""

    route: Route
    names: tuple[str, ...]


class Mismatch(NamedTuple):
    """No route matches; `allowed` are the methods of the path, if any."""

    allowed: tuple[str, ...]


ROUTES: Final = (
    Route('GET', 'catalogue', 'Show the catalogue in force'),
    Route(
        'PUT', 'catalogue', 'Replace the revision that If-Match names',
        _KEY_ROLES, (*_WRITE_STATUSES, 428), 'Catalogue',
    ),
    Route(
        'GET', 'history', 'List accepted changes; ?change=ID finds one',
        statuses=(200, 401, 503),
    ),
    Route('GET', 'status', 'Show the fleet as this VM sees it'),
    Route('GET', 'keys', 'List granted keys by name, team and digest'),
    Route(
        'PUT', 'keys/{name}', 'Grant a key, given its team and digest',
        _KEY_ROLES, _WRITE_STATUSES, 'Key',
    ),
    Route(
        'DELETE', 'keys/{name}', 'Withdraw a key',
        _KEY_ROLES, _WRITE_STATUSES,
    ),
    Route('GET', 'drains', 'List drained targets, VMs and zones'),
    Route(
        'PUT', 'drains/{kind}/{name}',
        'Start a drain of targets, vms or zones',
        _DRAIN_ROLES, _WRITE_STATUSES,
    ),
    Route(
        'DELETE', 'drains/{kind}/{name}', 'End a drain',
        _DRAIN_ROLES, _WRITE_STATUSES,
    ),
)  # fmt: skip


def match(method: str, path: str) -> Result[Match, Mismatch]:
    """Find the route of a method and a path below the prefix."""
    found = tuple(_list_matches(path))
    for matched in found:
        if matched.route.method == method:
            return Success(matched)
    return Failure(Mismatch(tuple(entry.route.method for entry in found)))


def _list_matches(path: str) -> Iterator[Match]:
    segments = path.split('/')
    for route in ROUTES:
        pattern = route.path.split('/')
        if len(pattern) != len(segments):
            continue
        pairs = tuple(zip(pattern, segments, strict=True))
        if all(_matches_segment(*pair) for pair in pairs):
            names = tuple(
                segment
                for expected, segment in pairs
                if expected.startswith('{')
            )
            yield Match(route, names)


def _matches_segment(expected: str, segment: str) -> bool:
    return expected.startswith('{') or expected == segment
