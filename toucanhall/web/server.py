"""Server connections with pipelining.

Requests of one connection run concurrently; answers keep their order.

Load patterns: bursts of uploads, callers that pipeline requests for large
answers while some targets are slow, and callers that do not read. A connection
is read only while its requests and answers have room in the `BufferBudget`; a
request without room is refused before it runs.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import httptools

from toucanhall.web.buffer_budget import (
    MAX_ROOM_WAIT_SECONDS,
    MAX_SMALL_BYTES,
    BufferBudget,
    BufferKind,
    RoomUse,
)
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
_CHECK_INTERVAL_SECONDS: Final = 0.5  # of the timeouts
# In which a caller takes no byte of an answer: within the deadlines of most
# requests, so that its bytes are given back while it may still matter.
_MAX_UNREAD_SECONDS: Final = 10.0
# Larger bodies are not copied behind their head.
_MAX_JOINED_BYTES: Final = 1 << 16
# Asked for at a time for a body of unknown length.
_ROOM_STEP_BYTES: Final = 1 << 18
_MAX_LENGTH_DIGITS: Final = 12
# After which the bytes of others are usually given back.
_RETRY_AFTER_SECONDS: Final = b'0.500'


_KINDS: Final = (
    BufferKind.RECEIVED,
    BufferKind.COMPLETE,
    BufferKind.UNREAD,
    BufferKind.HEAD,
)


class ServerLimits(NamedTuple):
    """Limits of the requests and connections of callers."""

    max_head_bytes: int
    max_body_bytes: int
    max_head_seconds: float
    max_idle_seconds: float


def _ignore(_status: int, _reason: str) -> None:
    """Take no notice."""


def _answer_no_room(_request: Request) -> Answer:
    return make_answer(503, 'no-room', (b'retry-after', _RETRY_AFTER_SECONDS))


class Handler(NamedTuple):
    """Callbacks, limits and state that the connections of a server share.

    `answer_error` makes the answer after `serve` raised an error,
    `is_cancellable` returns whether a request is cancelled when its caller
    disconnects, and `is_lagging` whether the event loop is late. `on_rejected`
    is called with the status and the reason when a request is answered before
    it is complete, which closes its connection. `answer_no_room` makes the
    answer to a request, passed without its body, that has not run for want of
    room; small requests are refused only if `refuses_small`. Beyond
    `max_connections`, the connections that are idle longest are closed in
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
    answer_no_room: Callable[[Request], Answer] = _answer_no_room
    refuses_small: bool = True


class _Exchange:
    """A request and its answer, once available.

    The task is None until the request runs.
    """

    __slots__ = (
        'answer',
        'held_bytes',
        'is_keep_alive',
        'read_at',
        'request',
        'task',
    )

    def __init__(
        self,
        *,
        request: Request | None,
        is_keep_alive: bool,
        held_bytes: int = 0,
        read_at: float = 0.0,
    ) -> None:
        self.request = request
        self.is_keep_alive = is_keep_alive
        self.held_bytes = held_bytes
        self.read_at = read_at
        self.answer: Answer | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the request does not run yet."""
        return self.task is None and self.answer is None

    @property
    def is_running(self) -> bool:
        """Whether the request runs."""
        return self.task is not None and self.answer is None

    def finish(self, answer: Answer) -> int:
        """Replace the request by its answer; return the bytes of that."""
        self.answer = answer
        if self.request is not None:
            self.request = self.request._replace(headers=(), body=b'')
        self.held_bytes = compute_header_bytes(list(answer.headers)) + len(
            answer.body
        )
        return self.held_bytes


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
        self._unread_bytes = 0
        self._unread_since = 0.0
        self._usage = (0, 0, 0, 0)
        self._room_timer: asyncio.TimerHandle | None = None
        self._limits = handler.get_limits()
        self._framing = FramingCounter(
            max_bytes=self._limits.max_head_bytes + PARSE_CHUNK_BYTES
        )
        self._piece_body_bytes = 0
        self._last_used_at = self._loop.time()
        self._is_receiving = False
        self._is_in_head = False
        self._body_bytes = 0
        self._granted_bytes = 0
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
        self._stop_waiting_for_room()
        self._is_closing = True
        self._transport = None
        self._has_unread_answers = False
        running = [found for found in self._exchanges if found.is_running]
        # The others run on, and their bodies stay charged until they end.
        self._exchanges = deque(
            found for found in running if not self._cancel(found)
        )
        self._reset_request()
        self._is_receiving = False
        self._update_buffer_usage()
        # The parser refers to the connection, and may buffer a long header.
        self._parser = httptools.HttpRequestParser(None)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; start each complete request."""
        for start in range(0, len(received), PARSE_CHUNK_BYTES):
            if self._is_closing:
                return
            self._parse(received[start : start + PARSE_CHUNK_BYTES])

    def pause_writing(self) -> None:
        """Keep further answers, and read nothing, until the caller reads."""
        self._has_unread_answers = True
        self._unread_since = self._loop.time()
        self._unread_bytes = self._get_unread_bytes()
        self._update_buffer_usage()
        self._update_reading()

    def resume_writing(self) -> None:
        """Send further answers: the caller has read the earlier ones."""
        self._has_unread_answers = False
        self._send_ready_answers()

    def terminate(self, reason: str) -> None:
        """Answer 503 to the request whose head is incomplete."""
        self._reject(503, reason)

    def receive_room(self, count: int) -> None:
        """Read on: there is room for the body."""
        self._stop_waiting_for_room()
        self._granted_bytes = max(self._granted_bytes, self._body_bytes) + count
        self._update_buffer_usage()
        self._confirm_expected()
        self._update_reading()

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
        """Ask for room, answer `expect: 100-continue` (parser callback)."""
        self._is_in_head = False
        expected = get_header(tuple(self._headers), b'expect')
        self._is_expecting = bool(
            expected and expected.lower() == b'100-continue'
        )
        self._ask_for_room()
        if self._room_timer is None:
            self._confirm_expected()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body within the limits (parser callback)."""
        if self._is_closing:
            return
        self._body_bytes += len(body)
        self._piece_body_bytes += len(body)
        if self._body_bytes > self._limits.max_body_bytes:
            self._reject(413, 'body too large')
        elif not self._is_refused:
            self._body += body

    def on_message_complete(self) -> None:
        """Start to serve a complete request (parser callback)."""
        if self._is_closing:
            return
        self._is_receiving = False
        self._framing.reset()
        self._stop_waiting_for_room()
        if not self._is_refused and not self._has_room():
            self._refuse('no room for another request')
        if self._is_refused:
            self._end_refused()
        else:
            self._append_exchange()
        self._reset_request()
        self._start_waiting()
        self._limits = self._handler.get_limits()
        self._update_reading()

    def _append_exchange(self) -> None:
        held_bytes = compute_header_bytes(self._headers) + self._body_bytes
        self._exchanges.append(
            _Exchange(
                request=self._make_request(bytes(self._body)),
                is_keep_alive=bool(self._parser.should_keep_alive()),
                held_bytes=held_bytes,
                read_at=self._loop.time(),
            )
        )

    def _make_request(self, body: bytes) -> Request:
        return Request(
            method=self._parser.get_method(),
            path=bytes(self._path),
            headers=tuple(self._headers),
            body=body,
        )

    def _start_waiting(self) -> None:
        """Start requests in their order: the first, others if there is room."""
        budget = self._handler.buffer_budget
        for index, exchange in enumerate(self._exchanges):
            if not exchange.is_waiting:
                continue
            if index and not budget.may_start_ahead():
                return
            request = exchange.request
            assert request is not None
            if index:
                # Given back, or replaced by the real size, with the answer.
                exchange.held_bytes += int(budget.expected_answer_bytes)
                self._update_buffer_usage()
            exchange.task = self._loop.create_task(
                self._serve(exchange, request)
            )

    def _has_room(self) -> bool:
        return (
            self._granted_bytes > 0
            or not self._handler.refuses_small
            or self._handler.buffer_budget.has_room()
        )

    def _ask_for_room(self) -> None:
        """Stop reading until there is room for the rest of a large body."""
        is_reading = self._is_receiving and not self._is_in_head
        if not is_reading or self._is_refused or self._room_timer is not None:
            return
        body_bytes = self._find_body_bytes()
        missing = body_bytes - max(self._granted_bytes, self._body_bytes)
        if body_bytes <= MAX_SMALL_BYTES or missing <= 0:
            return
        budget = self._handler.buffer_budget
        if not budget.may_grant_soon(RoomUse.REQUEST, missing):
            self._refuse('no room for the body')
            return
        if budget.request_room(self, missing, RoomUse.REQUEST):
            self._granted_bytes = body_bytes
            self._update_buffer_usage()
            return
        self._room_timer = self._loop.call_later(
            MAX_ROOM_WAIT_SECONDS,
            self._refuse,
            f'no room for the body within {MAX_ROOM_WAIT_SECONDS} seconds',
        )
        self._update_reading()

    def _find_body_bytes(self) -> int:
        """Return the size of a body: announced, or read and the next step."""
        max_bytes: int = self._limits.max_body_bytes
        headers = tuple(self._headers)
        length = get_header(headers, b'content-length')
        if length is not None and length.isdigit():
            return min(int(length[:_MAX_LENGTH_DIGITS]), max_bytes)
        if self._body_bytes <= MAX_SMALL_BYTES:
            return self._body_bytes
        if self._body_bytes < self._granted_bytes:
            return self._granted_bytes
        return min(self._body_bytes + _ROOM_STEP_BYTES, max_bytes)

    def _confirm_expected(self) -> None:
        """Let a caller that waits for it send its body."""
        if self._is_expecting and not self._is_refused and self._transport:
            self._is_expecting = False
            if not self._exchanges:
                self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _refuse(self, why: str) -> None:
        """Answer 503 to the request being read; skip the rest of its body.

        The body is read on, since a close with bytes unread would reset the
        connection before the caller has read its answers.
        """
        self._stop_waiting_for_room()
        budget = self._handler.buffer_budget
        budget.record_refusal(
            RoomUse.REQUEST, why, max(self._find_body_bytes(), self._body_bytes)
        )
        request = self._make_request(b'')
        # A caller that waits for 100 sends no body, so its next request could
        # not be told from it.
        exchange = _Exchange(
            request=request, is_keep_alive=not self._is_expecting
        )
        exchange.finish(self._handler.answer_no_room(request))
        self._exchanges.append(exchange)
        self._is_refused = True
        self._granted_bytes = 0
        self._body = bytearray()
        self._send_ready_answers()

    def _end_refused(self) -> None:
        """Close the connection after a refused request if it was the last."""
        if self._parser.should_keep_alive() or self._transport is None:
            return
        self._is_closing = True
        if self._exchanges:
            self._exchanges[-1].is_keep_alive = False
        else:
            self._transport.close()

    def _stop_waiting_for_room(self) -> None:
        if self._room_timer is not None:
            self._room_timer.cancel()
            self._room_timer = None
            self._handler.buffer_budget.cancel(self)

    def _update_reading(self) -> None:
        """Read unless requests, room or unread answers stand against it."""
        if self._transport is None or self._is_closing:
            return
        is_paused = (
            len(self._exchanges) >= _MAX_PIPELINED_REQUESTS
            or self._room_timer is not None
            or self._has_unread_answers
        )
        if is_paused == self._is_reading_paused:
            return
        self._is_reading_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _cancel(self, exchange: _Exchange) -> bool:
        """Cancel a request of a caller that left; return whether it was."""
        task, request = exchange.task, exchange.request
        if task is None or request is None:
            return False
        return self._handler.is_cancellable(request) and task.cancel()

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
            self._ask_for_room()
            self._update_buffer_usage()

    async def _serve(self, exchange: _Exchange, request: Request) -> None:
        if self._handler.is_lagging():
            # The caller may have disconnected while the request waited: two
            # iterations of the loop read that, which cancels this task.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        try:
            answer = await self._handler.serve(request)
        except Exception as error:  # noqa: BLE001
            answer = self._handler.answer_error(error)
        self._handler.buffer_budget.record_answer(exchange.finish(answer))
        if self._transport is None:
            exchange.held_bytes = 0
            self._update_buffer_usage()
        else:
            self._send_ready_answers()

    def _send_ready_answers(self) -> None:
        while self._exchanges and self._exchanges[0].answer is not None:
            if self._transport is None or self._transport.is_closing():
                return
            if self._has_unread_answers:
                break
            self._write(self._exchanges.popleft())
        self._last_used_at = self._loop.time()
        self._start_waiting()
        self._update_buffer_usage()
        self._update_reading()
        self._check_unread_bytes()

    def _write(self, exchange: _Exchange) -> None:
        answer, transport = exchange.answer, self._transport
        assert answer is not None and transport is not None
        is_last = not exchange.is_keep_alive or (
            not self._exchanges
            and not self._is_refused
            and (self._handler.is_stopping() or self._is_crowded())
        )
        request = exchange.request
        has_body = request is None or request.method != b'HEAD'
        is_joined = has_body and len(answer.body) <= _MAX_JOINED_BYTES
        transport.write(
            encode_answer(answer, is_last=is_last, has_body=is_joined),
        )
        if has_body and not is_joined:
            transport.write(answer.body)
        if is_last:
            self._is_closing = True
            transport.close()

    def _is_crowded(self) -> bool:
        """Whether callers are to open a new connection for the next request."""
        max_uncrowded = self._handler.max_connections * _CROWDED_FRACTION
        return len(self._handler.connections) > max_uncrowded

    def _update_buffer_usage(self) -> None:
        budget = self._handler.buffer_budget
        head_bytes, received_bytes, unread_bytes = 0, 0, 0
        if self._is_receiving and not self._is_closing:
            received_bytes = (
                compute_header_bytes(self._headers)
                + self._framing.consecutive_bytes
                + max(self._granted_bytes, len(self._body))
            )
            if self._is_in_head:
                head_bytes, received_bytes = received_bytes, 0
        held_bytes = sum(exchange.held_bytes for exchange in self._exchanges)
        if self._has_unread_answers:
            unread_bytes = self._get_unread_bytes()
        usage = (received_bytes, held_bytes, unread_bytes, head_bytes)
        if usage == self._usage:
            return
        self._usage = usage
        # Heads last: that may end the message that is being received.
        for kind, count in zip(_KINDS, usage, strict=True):
            budget.set_usage(self, count, kind)

    def _get_unread_bytes(self) -> int:
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def _check_unread_bytes(self) -> None:
        """Close a connection whose unread answers exceed the whole budget."""
        if not self._has_unread_answers:
            return
        count = self._get_unread_bytes() + sum(
            exchange.held_bytes
            for exchange in self._exchanges
            if exchange.answer is not None
        )
        if count > self._handler.buffer_budget.max_bytes:
            self._close_unread(count)

    def _check_unread_time(self) -> None:
        """Close a connection whose caller reads nothing for too long."""
        if not self._has_unread_answers:
            return
        count = self._get_unread_bytes()
        now = self._loop.time()
        if count != self._unread_bytes:
            self._unread_bytes = count
            self._unread_since = now
            self._update_buffer_usage()
        elif now - self._unread_since > _MAX_UNREAD_SECONDS:
            self._close_unread(count)

    def _close_unread(self, count: int) -> None:
        self._handler.buffer_budget.record_closure(BufferKind.UNREAD, count)
        if self._transport is not None:
            self._transport.abort()

    def _refuse_late(self) -> None:
        """Answer 503 to requests that waited too long to be started."""
        latest = self._loop.time() - MAX_ROOM_WAIT_SECONDS
        for exchange in self._exchanges:
            request = exchange.request
            if request and exchange.is_waiting and exchange.read_at < latest:
                self._handler.buffer_budget.record_refusal(
                    RoomUse.REQUEST,
                    'no room to run it before earlier ones are answered',
                    exchange.held_bytes,
                )
                exchange.finish(self._handler.answer_no_room(request))
        self._send_ready_answers()

    def _reject(self, status: int, text: str) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self._reset_request()
        self._handler.on_rejected(status, text)
        self._stop_waiting_for_room()
        exchange = _Exchange(request=None, is_keep_alive=False)
        exchange.finish(make_answer(status, text))
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
            self._end_slow()
        elif not self._exchanges and not self._is_receiving:
            if elapsed_seconds > self._limits.max_idle_seconds:
                self.close_idle()
        self._check_unread_time()
        if any(exchange.is_waiting for exchange in self._exchanges):
            self._refuse_late()
        if self._transport is not None:
            self._timeout_timer = self._loop.call_later(
                _CHECK_INTERVAL_SECONDS,
                self._check_timeouts,
            )

    def _end_slow(self) -> None:
        """Refuse a request that is sent too slowly, or end a refused one."""
        if self._is_refused and self._transport is not None:
            self._is_closing = True
            self._transport.close()
        else:
            self._reject(408, 'request took too long')

    def _reset_request(self) -> None:
        self._path = bytearray()
        self._headers: HeaderList = []
        self._body = bytearray()
        self._header_bytes = 0
        self._body_bytes = 0
        self._granted_bytes = 0
        self._is_refused = False
        self._is_expecting = False


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
