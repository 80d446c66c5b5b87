"""Sends a request to one address and reads the answer."""

import math
from collections.abc import Iterator
from http.client import HTTPException
from itertools import chain
from typing import Final, NamedTuple

from returns.result import Failure, Result, Success

from toucanhall import events, runtime
from toucanhall.forwarding.bodies import TrackedBody
from toucanhall.forwarding.headers import (
    BrokenAnswer,
    check_framing,
    drop_hop_by_hop,
    make_request_headers,
    unfold_values,
)
from toucanhall.forwarding.lines import (
    Connection,
    ConnectionPool,
    FinalResponse,
    WaitLimits,
    open_connection,
)
from toucanhall.forwarding.records import Answer, Request, find_header
from toucanhall.idempotency import may_send

__all__ = ('ID_HEADER', 'Dispatcher', 'SendError')

ID_HEADER: Final = 'Toucanhall-Request-Id'
_CONNECT_TIMEOUT_SECONDS: Final = 1.0
# Up to this size, an answer is read whole before it is passed on.
_CHUNK_BYTES: Final = 65536
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))
# Fraction of the remaining time that a reused connection may stay silent.
_MAX_SILENCE_FRACTION: Final = 0.125
_EXCHANGE_ERRORS: Final = (OSError, HTTPException, ValueError)


class SendError(NamedTuple):
    """No complete answer; `sent` says if the request may have run."""

    address: str
    sent: bool
    what: str


class Dispatcher:
    """Sends requests to targets and to other entry VMs."""

    def __init__(self) -> None:
        """Start with an empty connection pool."""
        self._pool = ConnectionPool()

    def send(
        self,
        address: str,
        request: Request,
        seconds: float,
        *,
        fresh: bool,
    ) -> Result[Answer, SendError]:
        """Send a request; `fresh` forces a new connection.

        Other requests must be safe to send twice: if a pooled connection
        fails, the request is sent again on a new one.
        """
        give_up_at = runtime.read_clock() + seconds
        if fresh:
            return self._send_new(
                address, request, WaitLimits(give_up_at, seconds)
            )
        connection = self._pool.acquire(address)
        if connection is not None:
            limits = WaitLimits(give_up_at, seconds * _MAX_SILENCE_FRACTION)
            sent = self._exchange(address, connection, request, limits)
            if isinstance(sent, Success):
                return sent
        remaining = max(0, give_up_at - runtime.read_clock())
        limits = WaitLimits(give_up_at, remaining)
        return self._send_new(address, request, limits).alt(
            lambda error: error._replace(
                sent=error.sent or connection is not None
            ),
        )

    def _send_new(
        self,
        address: str,
        request: Request,
        limits: WaitLimits,
    ) -> Result[Answer, SendError]:
        remaining = limits.give_up_at - runtime.read_clock()
        if remaining <= 0:
            return Failure(SendError(address, sent=False, what='deadline'))
        try:
            connection = open_connection(
                address, min(_CONNECT_TIMEOUT_SECONDS, remaining)
            )
        except OSError as error:
            return Failure(SendError(address, sent=False, what=str(error)))
        if not may_send(limits.give_up_at, runtime.read_clock()):
            connection.close()
            return Failure(SendError(address, sent=False, what='deadline'))
        return self._exchange(address, connection, request, limits)

    def _exchange(
        self,
        address: str,
        connection: Connection,
        request: Request,
        limits: WaitLimits,
    ) -> Result[Answer, SendError]:
        connection.sock.limits = limits
        try:
            return Success(self._send_request(address, connection, request))
        except _EXCHANGE_ERRORS as error:
            connection.close()
            what = f'{type(error).__name__}: {error}'
            return Failure(SendError(address, sent=True, what=what))

    def _send_request(
        self, address: str, connection: Connection, request: Request
    ) -> Answer:
        connection.putrequest(
            request.method,
            request.target,
            skip_host=True,
            skip_accept_encoding=True,
        )
        for name, content in make_request_headers(request, address):
            connection.putheader(name, content)
        connection.endheaders(request.body or None)
        response = connection.read_head()
        _check_identity(request, response)
        has_body = (
            request.method != 'HEAD'
            and response.status not in _STATUSES_WITHOUT_BODY
        )
        check_framing(response, has_body=has_body)
        return Answer(
            response.status,
            response.reason or '',
            drop_hop_by_hop(unfold_values(tuple(response.headers.items()))),
            self._read_body(address, connection, response),
        )

    def _read_body(
        self,
        address: str,
        connection: Connection,
        response: FinalResponse,
    ) -> tuple[bytes, ...] | TrackedBody:
        first = _read_first_chunk(response)
        if response.isclosed():
            self._release_connection(address, connection, response)
            return (first,)
        # A slow caller may read a large body beyond the deadline; only the
        # silence of the sender is limited from here on.
        connection.sock.limits = connection.sock.limits._replace(
            give_up_at=math.inf
        )
        return TrackedBody(
            body=chain((first,), _stream(address, response)),
            on_end=lambda _: self._release_connection(
                address, connection, response
            ),
        )

    def _release_connection(
        self,
        address: str,
        connection: Connection,
        response: FinalResponse,
    ) -> None:
        is_whole = response.isclosed() and not response.length
        if (
            is_whole
            and not response.will_close
            and not response.has_unread_bytes
        ):
            self._pool.release(address, connection)
        else:
            connection.close()


def _read_first_chunk(response: FinalResponse) -> bytes:
    chunks = [_read_chunk(response)]
    size = len(chunks[0])
    while size < _CHUNK_BYTES and not response.isclosed():
        chunks.append(_read_chunk(response))
        size += len(chunks[-1])
    return b''.join(chunks)


def _stream(address: str, response: FinalResponse) -> Iterator[bytes]:
    try:
        while not response.isclosed():
            yield _read_chunk(response)
    except _EXCHANGE_ERRORS as error:
        events.log(events.RESPONSE_INCOMPLETE, address=address, what=str(error))
        raise BrokenAnswer(str(error)) from error


def _read_chunk(response: FinalResponse) -> bytes:
    chunk = response.read(_CHUNK_BYTES)
    if response.isclosed() and response.length:
        raise BrokenAnswer(f'{response.length} bytes are missing')
    return chunk


def _check_identity(request: Request, response: FinalResponse) -> None:
    own = find_header(request.headers, ID_HEADER.lower())
    echoed = set(response.headers.get_all(ID_HEADER, []))
    if own and echoed - {own}:
        raise BrokenAnswer('the answer belongs to another request')
