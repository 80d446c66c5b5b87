"""Connections to targets, the store and other VMs."""

import asyncio
import errno
import socket
from typing import Final, NamedTuple

import httptools

from toucanhall.fleet.model import Address
from toucanhall.web.memory import (
    PARSE_CHUNK_BYTES,
    AnswerBounds,
    FramingCounter,
    BufferBudget,
)
from toucanhall.web.messages import Headers, get_header

__all__ = (
    'IncompleteAnswerError',
    'OutOfDescriptorsError',
    'ConnectionSettings',
    'ReceivedAnswer',
    'ServerConnection',
    'UnreachableError',
    'open_connection',
)

# A peer that acknowledges no byte for this long is taken as gone (ms). Four
# retransmissions over the longest link between regions fit in.
_SILENCE_MILLISECONDS: Final = 1500
_PROBE_AFTER_SECONDS: Final = 1
_PROBES: Final = 2
_FINAL_STATUS: Final = 200
_REDIRECTED_STATUS: Final = 300


class UnreachableError(ConnectionError):
    """No connection was made: nothing was sent."""


class OutOfDescriptorsError(UnreachableError):
    """This process has no descriptor left: the server is not to blame."""


class IncompleteAnswerError(ConnectionError):
    """The connection ended before the whole answer was read."""


class ReceivedAnswer(NamedTuple):
    """A whole answer of a server."""

    status: int
    headers: Headers
    body: bytes
    is_keep_alive: bool


class ConnectionSettings(NamedTuple):
    """How connections to servers are made, and what is read of them.

    Answers are matched by `id_header`, which repeats the id of a request.
    """

    bounds: AnswerBounds
    buffer_budget: BufferBudget
    id_header: bytes = b''


class ServerConnection(asyncio.Protocol):
    """One connection on which one request at a time is answered.

    An answer that bears the id of another request is read past; after one the
    connection is not used again.
    """

    def __init__(self, *, settings: ConnectionSettings) -> None:
        """Read answers within the bounds of `settings`."""
        self._opening = settings
        self._framing = FramingCounter(max_bytes=settings.bounds.head_bytes)
        self._interim = 0
        self._stray = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[ReceivedAnswer] | None = None
        self._expected = b''
        self._excess = ''
        self._is_tainted = False
        self.idle_since = 0.0
        self.keep_alive_seconds: float | None = None
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
        if self._ends_by_close and _error is None and not self._excess:
            self.on_message_complete()
        if not waiter.done():
            waiter.set_exception(
                IncompleteAnswerError('connection ended without an answer')
            )

    def data_received(self, received: bytes) -> None:
        """Parse what came; bytes that nobody waits for end the connection."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        for start in range(0, len(received), PARSE_CHUNK_BYTES):
            why = self._feed(received[start : start + PARSE_CHUNK_BYTES])
            if why:
                self.terminate(why)
                return

    def terminate(self, why: str) -> None:
        """Fail the request under way and reset the connection."""
        if self._waiter and not self._waiter.done():
            self._waiter.set_exception(IncompleteAnswerError(why))
        self.abort()

    async def exchange(
        self, sent: bytes, request_id: bytes = b''
    ) -> ReceivedAnswer:
        """Send a request and return its answer.

        Raises Unreachable when nothing was sent and Broken when the request
        may have been received. A cancelled exchange closes the connection.
        """
        if not self.is_usable or self._transport is None:
            raise UnreachableError('connection is closed')
        self._expected = request_id
        self._interim = 0
        self._stray = 0
        self._framing.reset()
        waiter = asyncio.get_running_loop().create_future()
        self._waiter = waiter
        self._transport.write(sent)
        try:
            reply: ReceivedAnswer = await waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._drop_body()
        if not reply.is_keep_alive:
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
        self._fed_body += len(body)
        if self._size > self._opening.bounds.body_bytes:
            self._excess = (
                f'body is over {self._opening.bounds.body_bytes} bytes'
            )
        elif not self._excess and not self._is_answered():
            self._body += body
            self._opening.buffer_budget.set_usage(self, self._size)

    def on_message_complete(self) -> None:
        """Hand over a whole answer (called by the parser)."""
        status = self._parser.get_status_code()
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        headers = tuple(self._headers)
        if status < _FINAL_STATUS:
            self._interim += 1
        elif self._is_stray(headers):
            self._stray += 1
            self._is_tainted = True
        elif self._lacks_id(status, headers):
            waiter.set_exception(
                IncompleteAnswerError('answer without the id of a request')
            )
            self.abort()
        else:
            self._hand_over(status, headers, waiter)

    def _hand_over(
        self,
        status: int,
        headers: Headers,
        waiter: 'asyncio.Future[ReceivedAnswer]',
    ) -> None:
        keep = not self._ends_by_close and self._parser.should_keep_alive()
        self.keep_alive_seconds = _read_keep_alive(headers)
        waiter.set_result(
            ReceivedAnswer(
                status=status,
                headers=headers,
                body=bytes(self._body),
                is_keep_alive=bool(keep),
            ),
        )

    def _feed(self, piece: bytes) -> str:
        """Parse bytes; return why the answer is not read on, if so."""
        self._fed_body = 0
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return 'malformed answer'
        if self._is_answered():
            return ''
        bounds = self._opening.bounds
        if not self._framing.add(len(piece), self._fed_body):
            return f'head or framing is over {bounds.head_bytes} bytes'
        if self._interim > bounds.most_interim:
            return f'over {bounds.most_interim} interim answers'
        if self._stray > bounds.most_stray:
            return f'over {bounds.most_stray} answers to other requests'
        return self._excess

    def _is_answered(self) -> bool:
        return self._waiter is None or self._waiter.done()

    def _is_stray(self, headers: Headers) -> bool:
        if not self._expected:
            return False
        found = get_header(headers, self._opening.id_header)
        return found is not None and found != self._expected

    def _lacks_id(self, status: int, headers: Headers) -> bool:
        is_success = status < _REDIRECTED_STATUS
        expected = self._expected and self._opening.id_header
        return bool(
            is_success and expected and get_header(headers, expected) is None,
        )

    def _drop_body(self) -> None:
        self._body = bytearray()
        self._opening.buffer_budget.set_usage(self, 0)

    def _start(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._size = 0
        self._fed_body = 0
        self._excess = ''
        self._ends_by_close = False


async def open_connection(
    address: Address,
    *,
    seconds: float,
    settings: ConnectionSettings,
) -> ServerConnection:
    """Connect within some seconds; raise Unreachable otherwise."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds):
            _transport, connection = await loop.create_connection(
                lambda: ServerConnection(settings=settings),
                address.host,
                address.port,
            )
    except TimeoutError as error:
        raise UnreachableError(
            f'{address.host} did not accept in time'
        ) from error
    except OSError as error:
        is_own = error.errno in {errno.EMFILE, errno.ENFILE}
        kind = OutOfDescriptorsError if is_own else UnreachableError
        raise kind(f'{address.host}: {error.strerror}') from error
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
