"""Server connections with pipelining.

Requests of one connection run concurrently; answers keep their order.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import httptools

from toucanhall.web.buffer_budget import BufferBudget, BufferKind
from toucanhall.web.memory import (
    MAX_HEADER_FIELDS,
    PARSE_CHUNK_BYTES,
    FramingCounter,
    compute_header_bytes,
)
from toucanhall.web.messages import (
    Answer,
    HeaderList,
    Request,
    encode_answer,
    get_header,
    make_answer,
)

__all__ = ('Connection', 'Handler', 'ServerLimits')

# Of one connection at the same time; further requests stay unread.
_MAX_PIPELINED_REQUESTS: Final = 16
# Of the allowed connections: with more open, each answer closes its own.
_CROWDED_FRACTION: Final = 0.5
# Of the open connections: closed at once, if idle, to admit a new one.
_EVICTED_FRACTION: Final = 0.1
_CHECK_INTERVAL_SECONDS: Final = 0.5  # of the idle and header timeouts


class ServerLimits(NamedTuple):
    """Limits of the requests and connections of callers."""

    max_head_bytes: int
    max_body_bytes: int
    max_head_seconds: float
    max_idle_seconds: float


def _ignore(_status: int, _reason: str) -> None:
    """Take no notice."""


class Handler(NamedTuple):
    """Callbacks, limits and state that the connections of a server share.

    `answer_error` makes the answer after `serve` raised an error,
    `is_cancellable` returns whether a request is cancelled when its caller
    disconnects, and `is_lagging` whether the event loop is late. `on_rejected`
    is called with the status and the reason when a request is answered before
    it is complete, which closes its connection. Beyond `max_connections`, the
    connections that are idle longest are closed in
    favour of new ones.
    """

    serve: Callable[[Request], Awaitable[Answer]]
    answer_error: Callable[[Exception], Answer]
    is_cancellable: Callable[[Request], bool]
    get_limits: Callable[[], ServerLimits]
    is_stopping: Callable[[], bool]
    is_lagging: Callable[[], bool]
    connections: set['Connection']
    buffer_budget: BufferBudget
    max_connections: int
    on_rejected: Callable[[int, str], object] = _ignore


class _Exchange:
    """A request in flight and its answer, once available."""

    __slots__ = ('answer', 'held_bytes', 'is_keep_alive', 'request', 'task')

    def __init__(
        self,
        *,
        request: Request | None,
        is_keep_alive: bool,
        held_bytes: int = 0,
    ) -> None:
        self.request = request
        self.is_keep_alive = is_keep_alive
        self.held_bytes = held_bytes
        self.answer: Answer | None = None
        self.task: asyncio.Task[None] | None = None


class Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, *, handler: Handler) -> None:
        """Serve the requests of one connection with `handler`."""
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[_Exchange] = deque()
        self._is_closing = False
        self._is_reading_paused = False
        self._has_unread_answers = False
        self._limits = handler.get_limits()
        self._framing = FramingCounter(
            max_bytes=self._limits.max_head_bytes + PARSE_CHUNK_BYTES
        )
        self._piece_body_bytes = 0
        self._last_used_at = self._loop.time()
        self._is_receiving = False
        self._is_in_head = False
        self._reset_request()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and start to check the timeouts."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connections = self._handler.connections
        connections.add(self)
        if len(connections) > self._handler.max_connections:
            _evict_idle(connections)
        self._timeout_timer = self._loop.call_later(
            _CHECK_INTERVAL_SECONDS, self._check_timeouts
        )

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancel the cancellable requests of the disconnected caller."""
        self._timeout_timer.cancel()
        self._handler.connections.discard(self)
        self._handler.buffer_budget.set_usage(self, 0)
        self._is_closing = True
        for exchange in self._exchanges:
            task, request = exchange.task, exchange.request
            if task and request and self._handler.is_cancellable(request):
                task.cancel()
        self._exchanges.clear()
        self._transport = None
        self._reset_request()
        # The parser refers to the connection, and may buffer a long header.
        self._parser = httptools.HttpRequestParser(None)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; start each complete request."""
        for start in range(0, len(received), PARSE_CHUNK_BYTES):
            if self._is_closing:
                return
            self._parse(received[start : start + PARSE_CHUNK_BYTES])

    def pause_writing(self) -> None:
        """Count unread answers against the budget of buffers."""
        self._has_unread_answers = True
        self._update_buffer_usage()

    def resume_writing(self) -> None:
        """Stop counting answers: the caller has read them."""
        self._has_unread_answers = False
        self._update_buffer_usage()

    def terminate(self, reason: str) -> None:
        """Answer 503 while a request is received, else reset the connection.

        The reset ends a connection whose caller does not read its answers.
        """
        if self._is_receiving and not self._is_closing:
            self._reject(503, reason)
        elif self._transport is not None:
            self._transport.abort()

    @property
    def last_used_at(self) -> float:
        """Loop time at which the connection was opened or used last."""
        return self._last_used_at

    def close_idle(self, *, min_idle_seconds: float = 0.0) -> bool:
        """Close the connection if it is idle; return whether it was closed.

        A connection opened or used less than `min_idle_seconds` ago stays
        open: a request may be in transit.
        """
        if self._exchanges or self._is_receiving or self._transport is None:
            return False
        if self._loop.time() - self._last_used_at < min_idle_seconds:
            return False
        self._is_closing = True
        self._transport.close()
        return True

    def on_message_begin(self) -> None:
        """Start a request (parser callback)."""
        self._reset_request()
        self._is_receiving = True
        self._is_in_head = True
        self._last_used_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Store a part of the request path (parser callback)."""
        self._path += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header within the limits (parser callback)."""
        if self._is_closing:
            return
        self._header_bytes += len(name) + len(content)
        if self._header_bytes + len(self._path) > self._limits.max_head_bytes:
            self._reject(431, 'header fields too large')
        elif len(self._headers) >= MAX_HEADER_FIELDS:
            self._reject(431, 'too many header fields')
        else:
            self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Answer `expect: 100-continue` (parser callback)."""
        self._is_in_head = False
        expected = get_header(tuple(self._headers), b'expect')
        if expected and expected.lower() == b'100-continue' and self._transport:
            if not self._exchanges:
                self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Store a part of the body within the limits (parser callback)."""
        if self._is_closing:
            return
        self._body_bytes += len(body)
        self._piece_body_bytes += len(body)
        if self._body_bytes > self._limits.max_body_bytes:
            self._reject(413, 'body too large')
        else:
            self._body += body

    def on_message_complete(self) -> None:
        """Start to serve a complete request (parser callback)."""
        if self._is_closing:
            return
        self._is_receiving = False
        self._framing.reset()
        request = Request(
            method=self._parser.get_method(),
            path=bytes(self._path),
            headers=tuple(self._headers),
            body=bytes(self._body),
        )
        is_keep_alive = bool(self._parser.should_keep_alive())
        exchange = _Exchange(
            request=request,
            is_keep_alive=is_keep_alive,
            held_bytes=compute_header_bytes(self._headers) + self._body_bytes,
        )
        self._exchanges.append(exchange)
        self._reset_request()
        exchange.task = self._loop.create_task(self._serve(exchange, request))
        self._limits = self._handler.get_limits()
        if len(self._exchanges) >= _MAX_PIPELINED_REQUESTS and self._transport:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _parse(self, piece: bytes) -> None:
        self._piece_body_bytes = 0
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as upgrade:
            self._parser = httptools.HttpRequestParser(self)
            rest = piece[upgrade.args[0] :]
            if rest:
                self._parse(rest)
        except httptools.HttpParserError:
            self._reject(400, 'malformed request')
        else:
            if not self._framing.add(len(piece), self._piece_body_bytes):
                self._reject(431, 'header fields too large')
            self._update_buffer_usage()

    async def _serve(self, exchange: _Exchange, request: Request) -> None:
        if self._handler.is_lagging():
            # The caller may have disconnected while the request waited: two
            # iterations of the loop read that, which cancels this task.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        try:
            exchange.answer = await self._handler.serve(request)
        except Exception as error:  # noqa: BLE001
            exchange.answer = self._handler.answer_error(error)
        self._send_ready_answers()

    def _send_ready_answers(self) -> None:
        while self._exchanges and self._exchanges[0].answer is not None:
            exchange = self._exchanges.popleft()
            if self._transport is None or self._transport.is_closing():
                return
            self._write(exchange)
        self._last_used_at = self._loop.time()
        if self._is_reading_paused and self._transport and not self._is_closing:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _write(self, exchange: _Exchange) -> None:
        answer, transport = exchange.answer, self._transport
        assert answer is not None and transport is not None
        is_last = not exchange.is_keep_alive or (
            not self._exchanges
            and (self._handler.is_stopping() or self._is_crowded())
        )
        request = exchange.request
        has_body = request is None or request.method != b'HEAD'
        transport.write(
            encode_answer(answer, is_last=is_last, has_body=has_body),
        )
        self._update_buffer_usage()
        if is_last:
            self._is_closing = True
            transport.close()

    def _is_crowded(self) -> bool:
        """Whether callers are to open a new connection for the next request."""
        max_uncrowded = self._handler.max_connections * _CROWDED_FRACTION
        return len(self._handler.connections) > max_uncrowded

    def _update_buffer_usage(self) -> None:
        byte_count = sum(exchange.held_bytes for exchange in self._exchanges)
        kind = BufferKind.COMPLETE
        if self._is_receiving and not self._is_closing:
            kind = BufferKind.HEAD if self._is_in_head else BufferKind.RECEIVED
            byte_count += (
                compute_header_bytes(self._headers)
                + self._framing.consecutive_bytes
                + self._body_bytes
            )
        if self._has_unread_answers and self._transport is not None:
            byte_count += self._transport.get_write_buffer_size()
        self._handler.buffer_budget.set_usage(self, byte_count, kind)

    def _reject(self, status: int, text: str) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self._reset_request()
        self._handler.on_rejected(status, text)
        exchange = _Exchange(request=None, is_keep_alive=False)
        exchange.answer = make_answer(status, text)
        self._exchanges.append(exchange)
        self._send_ready_answers()

    def _check_timeouts(self) -> None:
        if self._transport is None:
            return
        elapsed_seconds = self._loop.time() - self._last_used_at
        if (
            self._is_receiving
            and elapsed_seconds > self._limits.max_head_seconds * 2
        ):
            self._reject(408, 'request took too long')
        elif not self._exchanges and not self._is_receiving:
            if elapsed_seconds > self._limits.max_idle_seconds:
                self.close_idle()
        if self._transport is not None:
            self._timeout_timer = self._loop.call_later(
                _CHECK_INTERVAL_SECONDS,
                self._check_timeouts,
            )

    def _reset_request(self) -> None:
        self._path = bytearray()
        self._headers: HeaderList = []
        self._body = bytearray()
        self._header_bytes = 0
        self._body_bytes = 0


def _evict_idle(connections: set[Connection]) -> None:
    """Close the connections that are idle longest, a fraction of all."""
    oldest = sorted(connections, key=_get_last_used_at)
    remaining = max(1, round(len(oldest) * _EVICTED_FRACTION))
    for connection in oldest:
        remaining -= connection.close_idle()
        if not remaining:
            return


def _get_last_used_at(connection: Connection) -> float:
    return connection.last_used_at
