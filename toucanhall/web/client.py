"""Connections to targets, the store and other VMs."""

import asyncio
import errno
import socket
from collections.abc import Mapping
from enum import Enum
from typing import Final, NamedTuple

import httptools

from toucanhall.fleet.model import Address
from toucanhall.web.buffer_budget import (
    MAX_ROOM_WAIT_SECONDS,
    MAX_SMALL_BYTES,
    BufferBudget,
    BufferKind,
    RoomUse,
)
from toucanhall.web.memory import (
    PARSE_CHUNK_BYTES,
    AnswerBounds,
    FramingCounter,
    compute_header_bytes,
)
from toucanhall.web.messages import HeaderList, Headers, get_header

__all__ = (
    'AnswerPart',
    'ConnectionSettings',
    'ClosedByPeerError',
    'ConnectionUse',
    'IncompleteAnswerError',
    'NoRoomError',
    'OutOfDescriptorsError',
    'ReceivedAnswer',
    'RefusedError',
    'ServerConnection',
    'UnreachableError',
    'open_connection',
)

# Leaves room for four retransmissions over the longest link between regions.
_MAX_UNACKNOWLEDGED_MS: Final = 1500
_KEEPALIVE_INTERVAL_SECONDS: Final = 1
_KEEPALIVE_PROBE_COUNT: Final = 2
_MIN_FINAL_STATUS: Final = 200
_MIN_REDIRECT_STATUS: Final = 300
# Interim and final statuses (RFC 9110, section 15); no request offers an
# upgrade, so that 101 answers none.
_ANSWER_STATUSES: Final = frozenset(range(100, 600)) - {101}
# Statuses below 500 after which a request may be sent again.
_REFUSAL_STATUSES: Final = frozenset((400, 408, 421, 429))
_MIN_FAILED_STATUS: Final = 500
# Asked for at a time for a body of unknown length.
_ROOM_STEP_BYTES: Final = 1 << 18
_MAX_LENGTH_DIGITS: Final = 12
# Such bodies hold a part of the room while they wait, and may have no end.
_MAX_UNKNOWN_LENGTH_WAIT_SECONDS: Final = 0.25
# Requests of one connection that may be sent again; with so many, it is closed.
_MAX_FAILED_REQUESTS: Final = 64


class UnreachableError(ConnectionError):
    """No connection could be opened or used; nothing was sent."""


class OutOfDescriptorsError(UnreachableError):
    """This process has no free file descriptor; the server is not at fault."""


class RefusedError(UnreachableError):
    """Nothing listens at the address."""


class IncompleteAnswerError(ConnectionError):
    """No complete and valid answer was read.

    The request may have been received.
    """


class NoRoomError(IncompleteAnswerError):
    """This process had no room for the answer; the server is not at fault."""


class ClosedByPeerError(IncompleteAnswerError):
    """The peer closed or reset the connection before the answer's end."""


class AnswerPart(Enum):
    """The part of an answer that is being received."""

    NONE = ''
    HEAD = 'head'
    BODY = 'body'


class ReceivedAnswer(NamedTuple):
    """A complete answer received from a server."""

    status: int
    headers: Headers
    body: bytes
    is_keep_alive: bool


class ConnectionUse(NamedTuple):
    """What a connection has carried so far.

    `number` is unique in its pool, `requests` the number of requests sent, and
    `skipped_answers` that of answers to others before the last answer.
    """

    number: int
    requests: int
    skipped_answers: int


class ConnectionSettings(NamedTuple):
    """Limits that connections to servers share.

    If `id_header` is set, servers copy the id of a request from this header
    into their answer, and answers are matched to requests by it. Only the first
    answer on a connection may lack it, if it is no success: a later one may be
    the copy of an answer to an earlier request.
    """

    bounds: AnswerBounds
    buffer_budget: BufferBudget
    id_header: bytes = b''


class ServerConnection(asyncio.Protocol):
    """A client connection with at most one request at a time.

    An answer with the id of another request is skipped, and the connection is
    not reused afterwards. A request that failed, and the one that was answered
    last, are not sent on the connection again: their answers may come twice,
    and the id would not tell the copy from the new answer.
    """

    def __init__(self, *, settings: ConnectionSettings) -> None:
        """Read answers within the bounds of the settings."""
        self._settings = settings
        self._framing = FramingCounter(max_bytes=settings.bounds.max_head_bytes)
        self._interim_count = 0
        self._stray_count = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer_future: asyncio.Future[ReceivedAnswer] | None = None
        self._expected_id = b''
        self._request_count = 0
        # Hashes: callers choose the length of an id. Two ids with one hash cost
        # a connection, no more.
        self._failed_id_hashes: set[int] = set()
        self._last_id_hash: int | None = None
        self._limit_error = ''
        self._is_unusable = False
        self._is_closed_here = False
        self._headers: HeaderList = []
        self._head_timer: asyncio.TimerHandle | None = None
        self._room_timer: asyncio.TimerHandle | None = None
        self._granted_bytes = 0
        self._body = bytearray()
        self.part = AnswerPart.NONE
        self.number = 0
        self.idle_since = 0.0
        self.keep_alive_seconds: float | None = None
        self._reset_answer()

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and may carry another request."""
        return (
            self._transport is not None
            and not self._is_unusable
            and not self._transport.is_closing()
        )

    def may_carry(self, request_id: bytes) -> bool:
        """Whether an answer on the connection would be the request's own."""
        id_hash = hash(request_id)
        return (
            self.is_usable
            and id_hash != self._last_id_hash
            and id_hash not in self._failed_id_hashes
        )

    @property
    def use(self) -> ConnectionUse:
        """What the connection has carried so far."""
        return ConnectionUse(
            self.number, self._request_count, self._stray_count
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and enable the detection of dead peers."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _enable_dead_peer_detection(transport.get_extra_info('socket'))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in flight unless the close completes its answer.

        A close completes only an answer with neither length nor chunks.
        """
        self._transport = None
        if not self._is_answered():
            self._end_by_close(error)
        # The parser refers to the connection, and may buffer a long header.
        self._parser = httptools.HttpResponseParser(None)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; close the connection if none are expected."""
        if self._answer_future is None or self._answer_future.done():
            self.close()
            return
        for start in range(0, len(received), PARSE_CHUNK_BYTES):
            reason = self._parse(received[start : start + PARSE_CHUNK_BYTES])
            if reason:
                self.terminate(reason)
            if self._is_answered() and self._is_unusable:
                return
        self._time_head()

    def terminate(self, reason: str) -> None:
        """Fail the request in flight and reset the connection."""
        if self._answer_future and not self._answer_future.done():
            self._answer_future.set_exception(IncompleteAnswerError(reason))
        self.abort()

    def receive_room(self, count: int) -> None:
        """Continue to read an answer that has room."""
        self._stop_waiting_for_room()
        self._granted_bytes = max(self._granted_bytes, len(self._body)) + count
        self._charge()
        if self._transport is not None:
            self._transport.resume_reading()

    async def exchange(
        self, sent: bytes, request_id: bytes = b''
    ) -> ReceivedAnswer:
        """Send a request and return its answer.

        Raises UnreachableError if nothing was sent, and IncompleteAnswerError
        if the request may have been received. Cancelling the call resets the
        connection.
        """
        if not self.may_carry(request_id) or self._transport is None:
            raise UnreachableError(
                'connection may not carry the request; nothing was sent'
            )
        self._expected_id = request_id
        self._request_count += 1
        self._interim_count = 0
        self._stray_count = 0
        self._framing.reset()
        self._limit_error = ''
        self.part = AnswerPart.NONE
        answer_future = asyncio.get_running_loop().create_future()
        self._answer_future = answer_future
        self._transport.write(sent)
        try:
            reply: ReceivedAnswer = await answer_future
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._release()
        if not reply.is_keep_alive:
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection."""
        self._is_unusable = True
        self._is_closed_here = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._is_unusable = True
        self._is_closed_here = True
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Start an answer (parser callback)."""
        if self._answer_future is None or self._answer_future.done():
            self._is_unusable = True
        self.part = AnswerPart.HEAD
        self._reset_answer()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header within the limits (parser callback)."""
        max_fields = self._settings.bounds.max_header_fields
        if len(self._headers) < max_fields:
            self._headers.append((name.lower(), content))
        else:
            self._limit_error = f'head is over {max_fields} fields'

    def on_headers_complete(self) -> None:
        """Judge the status and what ends the answer (parser callback)."""
        self.part = AnswerPart.BODY
        self._stop_head_timer()
        status = self._parser.get_status_code()
        if status not in _ANSWER_STATUSES:
            self._limit_error = f'status {status} is none of an answer'
        headers = tuple(self._headers)
        transfer_encoding = get_header(headers, b'transfer-encoding')
        content_length = get_header(headers, b'content-length')
        self._ends_by_close = (
            transfer_encoding is None
            and content_length is None
            and status not in {204, 304}
        )

    def on_body(self, body: bytes) -> None:
        """Store a part of the body within the limits (parser callback)."""
        self._body_bytes += len(body)
        self._piece_body_bytes += len(body)
        if self._body_bytes > self._settings.bounds.max_body_bytes:
            self._limit_error = (
                f'body is over {self._settings.bounds.max_body_bytes} bytes'
            )
        elif not self._limit_error and not self._is_answered():
            self._body += body

    def on_message_complete(self) -> None:
        """Deliver, skip or reject a complete answer (parser callback)."""
        self.part = AnswerPart.NONE
        status = self._parser.get_status_code()
        answer_future = self._answer_future
        if answer_future is None or answer_future.done() or self._limit_error:
            return
        headers = tuple(self._headers)
        if status < _MIN_FINAL_STATUS:
            self._interim_count += 1
        elif self._has_other_id(headers):
            self._stray_count += 1
            self._is_unusable = True
        elif self._is_id_missing(status, headers):
            answer_future.set_exception(
                IncompleteAnswerError('answer without the id of its request')
            )
            self.abort()
        else:
            self._deliver(status, headers, answer_future)

    def _end_by_close(self, error: Exception | None) -> None:
        answer_future = self._answer_future
        assert answer_future is not None
        if self._ends_by_close and error is None and not self._limit_error:
            self.on_message_complete()
        if not answer_future.done():
            kind = IncompleteAnswerError
            if not isinstance(error, TimeoutError) and not self._is_closed_here:
                kind = ClosedByPeerError
            answer_future.set_exception(
                kind('connection closed before the answer was complete')
            )

    def _deliver(
        self,
        status: int,
        headers: Headers,
        answer_future: asyncio.Future[ReceivedAnswer],
    ) -> None:
        self._remember(status)
        id_header = self._settings.id_header
        keep = (
            not self._ends_by_close
            # A copy of an answer without an id would end the next request.
            and (not id_header or get_header(headers, id_header) is not None)
            and self._parser.should_keep_alive()
            and len(self._failed_id_hashes) < _MAX_FAILED_REQUESTS
        )
        self.keep_alive_seconds = _read_keep_alive_seconds(headers)
        body = bytes(self._body)
        self._body = bytearray()
        answer_future.set_result(
            ReceivedAnswer(
                status=status,
                headers=headers,
                body=body,
                is_keep_alive=bool(keep),
            ),
        )

    def _remember(self, status: int) -> None:
        """Remember a request whose answer may come once more."""
        if not self._settings.id_header:
            return
        self._last_id_hash = hash(self._expected_id)
        if status >= _MIN_FAILED_STATUS or status in _REFUSAL_STATUSES:
            self._failed_id_hashes.add(self._last_id_hash)

    def _parse(self, piece: bytes) -> str:
        """Parse bytes; return why reading stops, empty if it does not."""
        self._piece_body_bytes = 0
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return 'malformed answer'
        if self._is_answered():
            return ''
        bounds = self._settings.bounds
        if not self._framing.add(len(piece), self._piece_body_bytes):
            return f'head and framing are over {bounds.max_head_bytes} bytes'
        if self._interim_count > bounds.max_interim_answers:
            return f'over {bounds.max_interim_answers} interim (1xx) answers'
        if self._stray_count > bounds.max_stray_answers:
            return f'over {bounds.max_stray_answers} answers to other requests'
        if not self._limit_error:
            self._charge()
            self._ask_for_room()
        return self._limit_error

    def _charge(self) -> None:
        budget = self._settings.buffer_budget
        head_bytes = (
            compute_header_bytes(self._headers)
            + self._framing.consecutive_bytes
        )
        if self.part is AnswerPart.HEAD:
            budget.set_usage(self, head_bytes, BufferKind.HEAD)
            return
        budget.set_usage(self, 0, BufferKind.HEAD)
        body_bytes = max(self._granted_bytes, len(self._body))
        budget.set_usage(self, head_bytes + body_bytes, BufferKind.RECEIVED)

    def _ask_for_room(self) -> None:
        """Stop reading until there is room for the rest of a large body."""
        if self.part is not AnswerPart.BODY or self._room_timer is not None:
            return
        body_bytes = self._find_body_bytes()
        missing = body_bytes - max(self._granted_bytes, len(self._body))
        if body_bytes <= MAX_SMALL_BYTES or missing <= 0:
            return
        budget = self._settings.buffer_budget
        if body_bytes > budget.max_bytes:
            self._fail_without_room(f'body is over {budget.max_bytes} bytes')
        elif budget.request_room(self, missing, RoomUse.ANSWER):
            self._granted_bytes = body_bytes
            self._charge()
        elif self._transport is not None:
            self._transport.pause_reading()
            self._time_room()

    def _time_room(self) -> None:
        """Bound the wait for room."""
        seconds = MAX_ROOM_WAIT_SECONDS
        if get_header(tuple(self._headers), b'content-length') is None:
            seconds = min(seconds, _MAX_UNKNOWN_LENGTH_WAIT_SECONDS)
        self._room_timer = asyncio.get_running_loop().call_later(
            seconds,
            self._fail_without_room,
            f'no room for a body of over {len(self._body)} bytes '
            f'within {seconds} seconds',
        )

    def _find_body_bytes(self) -> int:
        """Return the size of a body: announced, or read and the next step."""
        max_bytes = self._settings.bounds.max_body_bytes
        length = get_header(tuple(self._headers), b'content-length')
        if length is not None and length.isdigit():
            return min(int(length[:_MAX_LENGTH_DIGITS]), max_bytes)
        if len(self._body) < self._granted_bytes:
            return self._granted_bytes
        return min(len(self._body) + _ROOM_STEP_BYTES, max_bytes)

    def _fail_without_room(self, why: str) -> None:
        """Give up an answer; its request may have run."""
        self._stop_waiting_for_room()
        self._settings.buffer_budget.record_refusal(
            RoomUse.ANSWER, why, self._find_body_bytes()
        )
        if self._answer_future and not self._answer_future.done():
            self._answer_future.set_exception(NoRoomError(why))
        self.abort()

    def _stop_waiting_for_room(self) -> None:
        if self._room_timer is not None:
            self._room_timer.cancel()
            self._room_timer = None
            self._settings.buffer_budget.cancel(self)

    def _time_head(self) -> None:
        """Bound the time of a head of which only a part has come."""
        if self.part is not AnswerPart.HEAD or self._is_answered():
            return
        if self._head_timer is None:
            seconds = self._settings.bounds.max_head_seconds
            self._head_timer = asyncio.get_running_loop().call_later(
                seconds, self.terminate, f'head took over {seconds} seconds'
            )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _is_answered(self) -> bool:
        return self._answer_future is None or self._answer_future.done()

    def _has_other_id(self, headers: Headers) -> bool:
        id_header = self._settings.id_header
        answer_id = get_header(headers, id_header) if id_header else None
        return answer_id is not None and answer_id != self._expected_id

    def _is_id_missing(self, status: int, headers: Headers) -> bool:
        id_header = self._settings.id_header
        if not id_header or get_header(headers, id_header) is not None:
            return False
        is_success = status < _MIN_REDIRECT_STATUS
        return self._request_count > 1 or bool(is_success and self._expected_id)

    def _release(self) -> None:
        self._stop_head_timer()
        if self._room_timer is not None and self._transport is not None:
            self._transport.resume_reading()
        self._stop_waiting_for_room()
        self._headers = []
        self._body = bytearray()
        self._granted_bytes = 0
        self._settings.buffer_budget.clear(self)

    def _reset_answer(self) -> None:
        self._headers = []
        self._body = bytearray()
        self._body_bytes = 0
        self._piece_body_bytes = 0
        self._ends_by_close = False


async def open_connection(
    address: Address,
    *,
    seconds: float,
    settings: ConnectionSettings,
) -> ServerConnection:
    """Open a connection within `seconds`, or raise UnreachableError."""
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
            f'{address.host}:{address.port} did not accept in time'
        ) from error
    except OSError as error:
        kind = _UNREACHABLE_ERRORS.get(error.errno or 0, UnreachableError)
        raise kind(
            f'{address.host}:{address.port}: {error.strerror}'
        ) from error
    return connection


_UNREACHABLE_ERRORS: Final[Mapping[int, type[UnreachableError]]] = {
    errno.EMFILE: OutOfDescriptorsError,
    errno.ENFILE: OutOfDescriptorsError,
    errno.ECONNREFUSED: RefusedError,
}


def _enable_dead_peer_detection(sock: socket.socket) -> None:
    """Let the kernel close a connection whose peer stops acknowledging."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBE_COUNT),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _MAX_UNACKNOWLEDGED_MS,
        ),
    )
    for level, name, setting in options:
        sock.setsockopt(level, name, setting)


def _read_keep_alive_seconds(headers: Headers) -> float | None:
    content = get_header(headers, b'keep-alive')
    for part in (content or b'').split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.isdigit():
            return float(seconds)
    return None
