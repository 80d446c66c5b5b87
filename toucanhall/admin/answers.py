"""Responses of the operators' API: JSON, or problem+json for errors."""

from collections.abc import Mapping
from typing import Any, Final, TypeAlias

import msgspec

from toucanhall.forwarding.records import Answer, Headers

__all__ = ('STORE_UNREACHABLE', 'Reply', 'make_error_body', 'render')

Reply: TypeAlias = tuple[int, Mapping[str, Any]]

STORE_UNREACHABLE: Final = 'the store cannot be reached'

_MIN_ERROR_STATUS: Final = 400
_PHRASES: Final = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    405: 'Method Not Allowed',
    412: 'Precondition Failed',
    428: 'Precondition Required',
    503: 'Service Unavailable',
}


def make_error_body(detail: str) -> Mapping[str, Any]:
    """Return the body of an error."""
    return {'detail': detail}


def render(reply: Reply, extra: Headers = ()) -> Answer:
    """Return the response for a reply; the ETag is the revision in it."""
    status, body = reply
    is_error = status >= _MIN_ERROR_STATUS
    kind = 'application/problem+json' if is_error else 'application/json'
    phrase = _PHRASES[status]
    described = (
        {'type': 'about:blank', 'title': phrase, 'status': status}
        if is_error
        else {}
    )
    content = msgspec.json.encode({**described, **body})
    headers = (
        ('Content-Type', kind),
        ('Content-Length', str(len(content))),
        *_make_tag(body),
        *extra,
    )
    return Answer(status, phrase, headers, (content,))


def _make_tag(body: Mapping[str, Any]) -> Headers:
    revision = body.get('accepted', body.get('revision'))
    return () if revision is None else (('ETag', f'"{revision}"'),)
