"""Converts WSGI calls to requests and answers to WSGI responses."""

from collections.abc import Callable, Iterable, Iterator
from http.client import responses
from typing import Any, Final, TypeAlias

from toucanhall.forwarding.records import Answer, Headers, Request

__all__ = ('Application', 'Serve', 'make_application', 'read_request')

Environ: TypeAlias = dict[str, Any]
Application: TypeAlias = Callable[
    [Environ, Callable[..., Any]], Iterable[bytes]
]
Serve: TypeAlias = Callable[[Request], Answer]

_HEADER_PREFIX: Final = 'HTTP_'
_UNPREFIXED_HEADERS: Final = ('CONTENT_TYPE', 'CONTENT_LENGTH')


def make_application(serve: Serve) -> Application:
    """Return a WSGI application that answers by calling `serve`."""

    def application(
        environ: Environ,
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        answer = serve(read_request(environ))
        phrase = answer.reason or responses.get(answer.status, 'Unknown')
        start_response(f'{answer.status} {phrase}', list(answer.headers))
        return answer.body

    return application


def read_request(environ: Environ) -> Request:
    """Return the request of a WSGI environment."""
    return Request(
        method=environ['REQUEST_METHOD'],
        target=environ['REQUEST_URI'],
        path=environ['PATH_INFO'],
        query=environ.get('QUERY_STRING', ''),
        headers=_read_headers(environ),
        body=environ['wsgi.input'].read(),
    )


def _read_headers(environ: Environ) -> Headers:
    return tuple(_list_headers(environ))


def _list_headers(environ: Environ) -> Iterator[tuple[str, str]]:
    for name, content in environ.items():
        if name.startswith(_HEADER_PREFIX):
            yield _format_name(name[len(_HEADER_PREFIX) :]), content
        elif name in _UNPREFIXED_HEADERS and content:
            yield _format_name(name), content


def _format_name(name: str) -> str:
    return name.replace('_', '-').title()
