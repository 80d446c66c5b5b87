"""Finds the API key of a request, looks up its team and removes the key."""

import hashlib
from typing import Final, NamedTuple
from urllib.parse import parse_qsl, unquote, unquote_plus

from returns.result import Failure, Result, Success

from toucanhall.catalogue import Catalogue, Route
from toucanhall.forwarding.problems import Refusal, make_refusal
from toucanhall.forwarding.records import Request, find_header

__all__ = ('Caller', 'contains_key', 'digest_key', 'identify', 'strip_key')

_KEY_HEADERS: Final = frozenset(('authorization', 'x-api-key'))
_KEY_QUERY_FIELD: Final = 'key'
_BEARER_PREFIX: Final = 'bearer '
_PUBLIC_TEAM: Final = ''


class Caller(NamedTuple):
    """The caller's team, '' on a public route, and its key as received."""

    team: str
    key: str


def digest_key(key: str) -> str:
    """Return the SHA-256 digest that the catalogue stores for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify(
    catalogue: Catalogue,
    route: Route,
    request: Request,
) -> Result[Caller, Refusal]:
    """Return the caller of a request on a route, or why it is refused."""
    key = find_key(request)
    if route.public:
        return Success(Caller(_PUBLIC_TEAM, key))
    if not key:
        return Failure(make_refusal('key-missing', f'route {route.path!r}'))
    granted = catalogue.keys.get(digest_key(key))
    if granted is None:
        return Failure(make_refusal('key-unknown', f'route {route.path!r}'))
    return Success(Caller(granted.team, key))


def find_key(request: Request) -> str:
    """Return the key in a bearer token, `X-Api-Key` or query field, or ''."""
    bearer = find_header(request.headers, 'authorization')
    if bearer.lower().startswith(_BEARER_PREFIX):
        return bearer[len(_BEARER_PREFIX) :].strip()
    header = find_header(request.headers, 'x-api-key')
    if header:
        return header.strip()
    return dict(parse_qsl(request.query)).get(_KEY_QUERY_FIELD, '')


def strip_key(request: Request, key: str) -> Request:
    """Return the request without its key in any header or query field."""
    headers = tuple(
        (name, content)
        for name, content in request.headers
        if name.lower() not in _KEY_HEADERS and not contains_key(content, key)
    )
    if not request.query:
        return request._replace(headers=headers)
    query = '&'.join(
        field
        for field in request.query.split('&')
        if not _field_contains_key(field, key)
    )
    path = request.target.split('?', 1)[0]
    return request._replace(
        headers=headers,
        query=query,
        target=f'{path}?{query}' if query else path,
    )


def contains_key(text: str, key: str) -> bool:
    """Return whether a text contains a key, percent-encoded up to twice."""
    if not key:
        return False
    if key in text:
        return True
    return any(key in form for form in _decode_up_to_twice(text))


def _field_contains_key(field: str, key: str) -> bool:
    name = field.split('=', 1)[0]
    return _KEY_QUERY_FIELD in {
        name,
        *_decode_up_to_twice(name),
    } or contains_key(field, key)


def _decode_up_to_twice(text: str) -> tuple[str, ...]:
    if '%' not in text and '+' not in text:
        return ()
    once = (unquote(text), unquote_plus(text))
    return (*once, *map(unquote, once), *map(unquote_plus, once))
