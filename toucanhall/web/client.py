"""Connections to targets, the store and other VMs."""

import asyncio
import socket
from typing import Final, NamedTuple

import httptools

from toucanhall.fleet.model import Address
from toucanhall.web.messages import Headers, get_header

__all__ = (
    'Broken',
    'Reply',
    'ServerConnection',
    'Unreachable',
    'open_connection',
)

# A peer that acknowledges no byte for this long is taken as gone (ms). Four
# retransmissions over the longest link between regions fit in.
_SILENCE_MILLISECONDS: Final = 1500
_PROBE_AFTER_SECONDS: Final = 1
_PROBES: Final = 2
_BODY_BYTES: Final = 1 << 26  # of an answer that is held whole
_BAD_STATUS_BELOW: Final = 200


class Unreachable(ConnectionError):
    """No connection was made: nothing was sent."""


class Broken(ConnectionError):
    """The connection ended before the whole answer was read."""


class Reply(NamedTuple):
    """A whole answer of a server."""

    status: int
    headers: Headers
    body: bytes
    keep: bool


class ServerConnection(asyncio.Protocol):
    """One connection on which one request at a time is answered.

    An answer that bears the id of another request is read past; after one the
    connection is not used again.
    """

    def __init__(self, *, id_header: bytes = b'') -> None:
        """Match answers by the header that repeats the id of a request."""
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[Reply] | None = None
        self._expected = b''
        self._is_tainted = False
        self.idle_since = 0.0
        self.idle_seconds: float | None = None
        self._start()

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self._transport is not None
            and not self._is_tainted
            and not self._transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; let silence of the peer end the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        limit_silence(transport.get_extra_info('socket'))

    def connection_lost(self, _error: Exception | None) -> None:
        """Fail the request under way unless its answer ends just here."""
        self._transport = None
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        if self._ends_by_close and _error is None:
            self.on_message_complete()
        if not waiter.done():
            waiter.set_exception(Broken('connection ended without an answer'))

    def data_received(self, received: bytes) -> None:
        """Parse what came; bytes that nobody waits for end the connection."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._waiter and not self._waiter.done():
                self._waiter.set_exception(Broken('malformed answer'))
            self.close()

    async def exchange(self, sent: bytes, request_id: bytes = b'') -> Reply:
        """Send a request and return its answer.

        Raises Unreachable when nothing was sent and Broken when the request
        may have been received. A cancelled exchange closes the connection.
        """
        if not self.is_usable or self._transport is None:
            raise Unreachable('connection is closed')
        self._expected = request_id
        waiter = asyncio.get_running_loop().create_future()
        self._waiter = waiter
        self._transport.write(sent)
        try:
            reply: Reply = await waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        if not reply.keep:
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection."""
        self._is_tainted = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._is_tainted = True
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Start an answer (called by the parser)."""
        if self._waiter is None or self._waiter.done():
            self._is_tainted = True
        self._start()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take a header (called by the parser)."""
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Tell whether the answer has an end of its own (by the parser)."""
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        coded = get_header(headers, b'transfer-encoding')
        length = get_header(headers, b'content-length')
        self._ends_by_close = (
            coded is None and length is None and status not in {204, 304}
        )

    def on_body(self, body: bytes) -> None:
        """Take a part of the body (called by the parser)."""
        self._size += len(body)
        self._body.append(body)
        if self._size > _BODY_BYTES:
            raise ValueError('answer is too large')

    def on_message_complete(self) -> None:
        """Hand over a whole answer (called by the parser)."""
        status = self._parser.get_status_code()
        waiter = self._waiter
        if status < _BAD_STATUS_BELOW or waiter is None or waiter.done():
            return
        headers = tuple(self._headers)
        if self._is_stray(headers):
            self._is_tainted = True
            return
        keep = not self._ends_by_close and self._parser.should_keep_alive()
        self.idle_seconds = _read_keep_alive(headers)
        waiter.set_result(
            Reply(
                status=status,
                headers=headers,
                body=b''.join(self._body),
                keep=bool(keep),
            ),
        )

    def _is_stray(self, headers: Headers) -> bool:
        if not self._expected:
            return False
        found = get_header(headers, self._id_header)
        return found is not None and found != self._expected

    def _start(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._ends_by_close = False


async def open_connection(
    address: Address,
    *,
    seconds: float,
    id_header: bytes = b'',
) -> ServerConnection:
    """Connect within some seconds; raise Unreachable otherwise."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds):
            _transport, connection = await loop.create_connection(
                lambda: ServerConnection(id_header=id_header),
                address.host,
                address.port,
            )
    except TimeoutError as error:
        raise Unreachable(f'{address.host} did not accept in time') from error
    except OSError as error:
        raise Unreachable(f'{address.host}: {error.strerror}') from error
    return connection


def limit_silence(sock: socket.socket) -> None:
    """Let the kernel end a connection whose peer fell silent."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_AFTER_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _SILENCE_MILLISECONDS,
        ),
    )
    for level, name, setting in options:
        sock.setsockopt(level, name, setting)


def _read_keep_alive(headers: Headers) -> float | None:
    content = get_header(headers, b'keep-alive')
    for part in (content or b'').split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.isdigit():
            return float(seconds)
    return None
