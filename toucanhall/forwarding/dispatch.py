"""Sends one request to one address and reads back the whole answer."""

from collections.abc import Iterator
from typing import Final, NamedTuple

import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)
from urllib3.util import SKIP_HEADER

from toucanhall.forwarding.records import Answer, Headers, Request

__all__ = ('Dispatcher', 'SendError')

_CONNECT_SECONDS: Final = 1.0
# Answers up to this size are read whole before any byte is returned.
_WHOLE_BYTES: Final = 65536
_CHUNK_BYTES: Final = 65536
_CONNECTIONS: Final = 64
_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_NO_BODY: Final = frozenset((204, 304))


class SendError(NamedTuple):
    """No whole answer came; `sent` says whether the target may have run it."""

    address: str
    sent: bool
    what: str


class Dispatcher:
    """Connections to targets and to entry VMs of other zones."""

    def __init__(self) -> None:
        """Start with no connection."""
        self._pool = urllib3.PoolManager(
            num_pools=256,
            maxsize=_CONNECTIONS,
            retries=False,
        )

    def send(
        self,
        address: str,
        request: Request,
        seconds: float,
        *,
        fresh: bool,
    ) -> Result[Answer, SendError]:
        """Send a request; `fresh` uses a connection that nobody used before."""
        pool = self._make_pool(address) if fresh else self._find_pool(address)
        try:
            response = pool.urlopen(
                request.method,
                request.target,
                body=request.body or None,
                headers=_prepare_headers(request.headers),
                timeout=urllib3.Timeout(connect=_CONNECT_SECONDS, read=seconds),
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
            return Success(_read_answer(request.method, response))
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Failure(SendError(address, sent=False, what=str(error)))
        except HTTPError as error:
            return Failure(SendError(address, sent=True, what=str(error)))

    def _make_pool(self, address: str) -> urllib3.HTTPConnectionPool:
        host, port = address.split(':')
        return urllib3.HTTPConnectionPool(host, int(port), maxsize=1)

    def _find_pool(self, address: str) -> urllib3.HTTPConnectionPool:
        host, port = address.split(':')
        return self._pool.connection_from_host(host, int(port), 'http')


def _prepare_headers(headers: Headers) -> urllib3.HTTPHeaderDict:
    prepared = urllib3.HTTPHeaderDict()
    for name, content in _drop_hop_by_hop(headers):
        prepared.add(name, content)
    for name in ('Accept-Encoding', 'User-Agent'):
        if name not in prepared:
            prepared.add(name, SKIP_HEADER)
    return prepared


def _drop_hop_by_hop(headers: Headers) -> Headers:
    named = {
        token.strip().lower()
        for name, content in headers
        if name.lower() == 'connection'
        for token in content.split(',')
    }
    return tuple(
        (name, content)
        for name, content in headers
        if name.lower() not in _HOP_BY_HOP and name.lower() not in named
    )


def _read_answer(
    method: str,
    response: urllib3.BaseHTTPResponse,
) -> Answer:
    headers = _drop_hop_by_hop(tuple(response.headers.items()))
    length = response.headers.get('Content-Length', '')
    has_body = method != 'HEAD' and response.status not in _NO_BODY
    body: Iterator[bytes] | tuple[bytes, ...] = ()
    if has_body and length.isdigit() and int(length) <= _WHOLE_BYTES:
        body = (response.read(),)
    elif has_body:
        return Answer(
            response.status,
            response.reason or '',
            headers,
            _stream(response),
        )
    response.release_conn()
    return Answer(response.status, response.reason or '', headers, body)


def _stream(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    is_whole = False
    try:
        yield from response.stream(_CHUNK_BYTES)
        is_whole = True
    finally:
        if is_whole:
            response.release_conn()
        else:
            response.close()
