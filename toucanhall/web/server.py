"""Connections of callers: requests run side by side, answers keep order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import httptools

from toucanhall.web.memory import (
    PARSE_CHUNK_BYTES,
    FramingCounter,
    BufferBudget,
)
from toucanhall.web.messages import (
    Answer,
    Request,
    get_header,
    make_answer,
    encode_answer,
)

__all__ = ('Connection', 'Handler', 'ServerLimits')

# Requests of one connection that run side by side; the rest stays unread.
PIPELINE_DEPTH: Final = 16
# Part of the connections that may be open from which each answer closes its
# own, and the part of quiet ones that are closed at once for a new one.
_CROWDED_SHARE: Final = 0.5
_ROOM_SHARE: Final = 0.1
_CHECK_SECONDS: Final = 0.5  # between checks of the idle and header times


class ServerLimits(NamedTuple):
    """What a caller may send (bytes) and how long it may take (seconds)."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


class Handler(NamedTuple):
    """What a connection asks its server for.

    `answer_error` answers a request whose handling raised an error, `is_cancellable`
    tells whether a request is ended once its caller left, `is_lagging` whether
    requests wait before they are looked at. Of `max_connections` that may be
    open, those that are quiet make room for new ones.
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


class _Exchange:
    """A request under way and its answer once there is one."""

    __slots__ = ('answer', 'keep', 'request', 'task')

    def __init__(self, *, request: Request | None, keep: bool) -> None:
        self.request = request
        self.keep = keep
        self.answer: Answer | None = None
        self.task: asyncio.Task[None] | None = None


class Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, *, handler: Handler) -> None:
        """Serve the requests of a connection by a handler."""
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[_Exchange] = deque()
        self._is_closing = False
        self._is_paused = False
        self._is_unread = False
        self._limits = handler.get_limits()
        self._framing = FramingCounter(
            max_bytes=self._limits.head_bytes + PARSE_CHUNK_BYTES
        )
        self._fed_body = 0
        self._since = self._loop.time()
        self._reads = False
        self._reset()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and start the check of the idle time."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connections = self._handler.connections
        connections.add(self)
        if len(connections) > self._handler.max_connections:
            _make_room(connections)
        self._check = self._loop.call_later(_CHECK_SECONDS, self._check_times)

    def connection_lost(self, _error: Exception | None) -> None:
        """End the requests whose caller has left."""
        self._check.cancel()
        self._handler.connections.discard(self)
        self._handler.buffer_budget.set_usage(self, 0)
        self._is_closing = True
        for exchange in self._exchanges:
            task, request = exchange.task, exchange.request
            if task and request and self._handler.is_cancellable(request):
                task.cancel()
        self._exchanges.clear()
        self._transport = None

    def data_received(self, received: bytes) -> None:
        """Parse what came; start each request that is whole."""
        for start in range(0, len(received), PARSE_CHUNK_BYTES):
            if self._is_closing:
                return
            self._feed(received[start : start + PARSE_CHUNK_BYTES])

    def pause_writing(self) -> None:
        """Count answers that the caller does not read."""
        self._is_unread = True
        self._count_held()

    def resume_writing(self) -> None:
        """Count the answers as read."""
        self._is_unread = False
        self._count_held()

    def terminate(self, why: str) -> None:
        """Refuse a body for which there is no memory, or reset the connection.

        The latter ends a caller that does not read its answers.
        """
        if self._reads:
            self._reject(503, why)
        elif self._transport is not None:
            self._transport.abort()

    @property
    def quiet_since(self) -> float:
        """When the connection was opened or used last."""
        return self._since

    def close_idle(self, *, min_idle_seconds: float = 0.0) -> bool:
        """Close the connection if nothing is under way; tell whether.

        One that was opened or used less than `min_idle_seconds` seconds ago stays: a
        request may be on its way.
        """
        if self._exchanges or self._reads or self._transport is None:
            return False
        if self._loop.time() - self._since < min_idle_seconds:
            return False
        self._is_closing = True
        self._transport.close()
        return True

    def on_message_begin(self) -> None:
        """Start a request (called by the parser)."""
        self._reset()
        self._reads = True
        self._since = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target (called by the parser)."""
        self._path += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take a header (called by the parser)."""
        self._head_size += len(name) + len(content)
        if self._head_size + len(self._path) > self._limits.head_bytes:
            self._reject(431, 'header fields too large')
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Answer an expectation before the body (called by the parser)."""
        expected = get_header(tuple(self._headers), b'expect')
        if expected and expected.lower() == b'100-continue' and self._transport:
            if not self._exchanges:
                self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Take a part of the body (called by the parser)."""
        self._body_size += len(body)
        self._fed_body += len(body)
        if self._body_size > self._limits.body_bytes:
            self._reject(413, 'body too large')
        else:
            self._body.append(body)
            self._count_held()

    def on_message_complete(self) -> None:
        """Start to serve a whole request (called by the parser)."""
        if self._is_closing:
            return
        self._reads = False
        self._framing.reset()
        request = Request(
            method=self._parser.get_method(),
            path=bytes(self._path),
            headers=tuple(self._headers),
            body=b''.join(self._body),
        )
        keep = bool(self._parser.should_keep_alive())
        exchange = _Exchange(request=request, keep=keep)
        self._exchanges.append(exchange)
        exchange.task = self._loop.create_task(self._serve(exchange, request))
        self._limits = self._handler.get_limits()
        if len(self._exchanges) >= PIPELINE_DEPTH and self._transport:
            self._is_paused = True
            self._transport.pause_reading()

    def _feed(self, piece: bytes) -> None:
        self._fed_body = 0
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as upgrade:
            self._parser = httptools.HttpRequestParser(self)
            rest = piece[upgrade.args[0] :]
            if rest:
                self._feed(rest)
        except httptools.HttpParserError:
            self._reject(400, 'malformed request')
        else:
            if not self._framing.add(len(piece), self._fed_body):
                self._reject(431, 'header fields too large')

    async def _serve(self, exchange: _Exchange, request: Request) -> None:
        if self._handler.is_lagging():
            # Behind a request that waited there may be the end of its
            # connection: two rounds of the loop read it, and end this task.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        try:
            exchange.answer = await self._handler.serve(request)
        except Exception as error:  # noqa: BLE001
            exchange.answer = self._handler.answer_error(error)
        self._flush()

    def _flush(self) -> None:
        while self._exchanges and self._exchanges[0].answer is not None:
            exchange = self._exchanges.popleft()
            if self._transport is None or self._transport.is_closing():
                return
            self._write(exchange)
        self._since = self._loop.time()
        if self._is_paused and self._transport and not self._is_closing:
            self._is_paused = False
            self._transport.resume_reading()

    def _write(self, exchange: _Exchange) -> None:
        answer, transport = exchange.answer, self._transport
        assert answer is not None and transport is not None
        is_last = not exchange.keep or (
            not self._exchanges
            and (self._handler.is_stopping() or self._is_crowded())
        )
        request = exchange.request
        has_body = request is None or request.method != b'HEAD'
        transport.write(
            encode_answer(answer, is_last=is_last, has_body=has_body),
        )
        self._count_held()
        if is_last:
            self._is_closing = True
            transport.close()

    def _is_crowded(self) -> bool:
        """Whether callers should open a connection for their next request."""
        most = self._handler.max_connections * _CROWDED_SHARE
        return len(self._handler.connections) > most

    def _count_held(self) -> None:
        held = self._body_size if self._reads else 0
        if self._is_unread and self._transport is not None:
            held += self._transport.get_write_buffer_size()
        held += sum(
            len(exchange.request.body)
            for exchange in self._exchanges
            if exchange.request
        )
        self._handler.buffer_budget.set_usage(self, held)

    def _reject(self, status: int, text: str) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        exchange = _Exchange(request=None, keep=False)
        exchange.answer = make_answer(status, text)
        self._exchanges.append(exchange)
        self._flush()

    def _check_times(self) -> None:
        if self._transport is None:
            return
        waited = self._loop.time() - self._since
        if self._reads and waited > self._limits.head_seconds * 2:
            self._reject(408, 'request took too long')
        elif not self._exchanges and not self._reads:
            if waited > self._limits.idle_seconds:
                self.close_idle()
        if self._transport is not None:
            self._check = self._loop.call_later(
                _CHECK_SECONDS,
                self._check_times,
            )

    def _reset(self) -> None:
        self._path = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_size = 0
        self._body_size = 0


def _make_room(connections: set[Connection]) -> None:
    """Close the quietest connections, a part of all at a time."""
    oldest = sorted(connections, key=_get_quiet_since)
    left = max(1, round(len(oldest) * _ROOM_SHARE))
    for connection in oldest:
        left -= connection.close_idle()
        if not left:
            return


def _get_quiet_since(connection: Connection) -> float:
    return connection.quiet_since
