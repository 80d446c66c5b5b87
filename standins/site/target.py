"""A stand-in for a target: slots, a queue and faulty answers."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Final, NamedTuple

import httptools

__all__ = (
    'Arrival',
    'Crash',
    'ExecutedRequest',
    'NamedLimit',
    'ReceivedRequest',
    'TargetStandin',
)

_MAX_QUEUED_REQUESTS: Final = 27
_COPY_DELAY_SECONDS: Final = 0.02
_LIMIT_HEADER: Final = 'X-Toucanhall-Server-Limit'
_NOT_RUN_LINE: Final = 'X-Toucanhall-Not-Executed: 1'


class Arrival(NamedTuple):
    """A request that reached a target, and when (monotonic seconds)."""

    at: float
    request_id: str


class Crash(NamedTuple):
    """A request that crashed a target, and when (monotonic seconds)."""

    at: float
    request_id: str


class NamedLimit(NamedTuple):
    """The content of the limit header from a time on; empty for no header."""

    since: float
    content: str


class ExecutedRequest(NamedTuple):
    """A request that a target executed; `key` is its Authorization header."""

    target: str
    request_id: str
    path: str
    team: str
    deadline_ms: int
    key: str


class ReceivedRequest(NamedTuple):
    """A request as a target received it; `key` is its Authorization header."""

    request_id: str
    path: str
    team: str
    deadline_ms: int
    key: str
    expected: str
    body: bytes


class TargetStandin:
    """A target that answers after `work_seconds`, in one of these modes.

    well: answers without a fault
    shed: refuses the request as not executed
    fail: executes the request and answers 500
    busy, limit, slow: executes the request, then answers 503, 429 or 408,
        which say that it was not executed
    odd: reports its load as a number of 5000 digits
    stray: sends the answer to another request first
    twice: sends the answer twice
    cut: sends the answer without its last bytes, then closes
    lost: executes the request and closes without an answer
    silent: executes the request and never answers
    unframed: sends no Content-Length; the answer ends with the connection
    leaving: answers with Connection: close and closes
    refusal_before, refusal_before_without_id: refuses, and writes the refusal
        once more before the next request comes
    refusal_after, refusal_after_without_id: refuses, and writes the refusal
        once more when the next request has come
    refusals_twice: answers without a fault, but writes each refusal once more
        when the next request has come, such as those meant for another target
    """

    def __init__(self, *, name: str, slots: int = 9) -> None:
        """Begin idle and without a fault."""
        self.name = name
        self.slots = slots
        self.work_seconds = 0.01
        self.mode = 'well'
        self.executed: list[ExecutedRequest] = []
        self.cancelled_ids: list[str] = []
        self.arrivals: list[Arrival] = []
        self.crashes: list[Crash] = []
        # Whether a request crashes this target when it begins to run it.
        self.is_deadly: Callable[[ReceivedRequest], bool] = _spare
        self.on_crash: Callable[[], object] = _ignore
        self.limits: list[NamedLimit] = []
        self.answers_with_limit: list[Arrival] = []
        # Headers of all answers, and of refusals only.
        self.headers: dict[str, str] = {}
        self.refusal_headers: dict[str, str] = {}
        self.running = 0
        self.waiting = 0
        self._free_slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self, host: str, port: int) -> None:
        """Start to listen for requests."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(target=self, connections=self._connections),
            host,
            port,
        )

    def stop(self) -> None:
        """Reset every connection and stop listening, as a crash would."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort()

    def crash(self, request_id: str = '') -> None:
        """Stop as a crash would; a request may be the cause."""
        self.crashes.append(Crash(time.monotonic(), request_id))
        self.stop()
        self.on_crash()

    def name_limit(self, content: str) -> None:
        """Name a limit in answers from now on; an empty text ends it."""
        self.limits.append(NamedLimit(time.monotonic(), content))

    async def serve(self, request: ReceivedRequest) -> list[bytes] | None:
        """Return the messages to send; None closes the connection."""
        self.arrivals.append(Arrival(time.monotonic(), request.request_id))
        messages = await self._answer(request)
        is_refused = any(b' 503 ' in found[:16] for found in messages or ())
        headers = {
            **self.headers,
            **(self.refusal_headers if is_refused else {}),
        }
        for name, content in headers.items():
            messages = [
                _add_header(message, name, content)
                for message in messages or ()
            ]
        if not messages or not self.limits or not self.limits[-1].content:
            return messages
        self.answers_with_limit.append(
            Arrival(time.monotonic(), request.request_id)
        )
        return [
            _add_header(message, _LIMIT_HEADER, self.limits[-1].content)
            for message in messages
        ]

    async def _answer(self, request: ReceivedRequest) -> list[bytes] | None:
        if request.expected != self.name:
            return [_encode_answer(request.request_id, 421, b'', not_run=True)]
        is_refused = self.mode == 'shed' or self.mode.startswith('refusal_')
        if is_refused or self.running + self.waiting >= (
            self.slots + _MAX_QUEUED_REQUESTS
        ):
            return [_encode_answer(request.request_id, 503, b'', not_run=True)]
        self.waiting += 1
        try:
            async with self._free_slots:
                self.waiting -= 1
                self.running += 1
                try:
                    return await self._execute(request)
                finally:
                    self.running -= 1
        except asyncio.CancelledError:
            self.cancelled_ids.append(request.request_id)
            raise

    async def _execute(self, request: ReceivedRequest) -> list[bytes] | None:
        self.executed.append(
            ExecutedRequest(
                target=self.name,
                request_id=request.request_id,
                path=request.path,
                team=request.team,
                deadline_ms=request.deadline_ms,
                key=request.key,
            ),
        )
        mode = self.mode
        await asyncio.sleep(self.work_seconds)
        if self.is_deadly(request):
            self.crash(request.request_id)
        if mode == 'lost':
            return None
        if mode == 'silent':
            await asyncio.Event().wait()
        load = f'{self.running},{self.waiting},{self.slots}'
        body = f'{self.name} {request.path} {request.body.decode()}'.encode()
        if mode == 'odd':
            load = f'{"9" * 5000},0,9'
        status = _STATUS_BY_MODE.get(mode, 200)
        answer = _encode_answer(request.request_id, status, body, load=load)
        return _SEND_BY_MODE.get(mode, _send_unchanged)(
            answer, request.request_id
        )


class _Connection(asyncio.Protocol):
    def __init__(
        self,
        *,
        target: TargetStandin,
        connections: set['_Connection'],
    ) -> None:
        self._target = target
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._path = b''
        self._headers: dict[str, str] = {}
        self._body = b''
        # Written again when the next request has come.
        self._refusal_copy = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        self._transport = None
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, received: bytes) -> None:
        with contextlib.suppress(httptools.HttpParserError):
            self._parser.feed_data(received)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        self._path = b''
        self._headers = {}
        self._body = b''

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_header(self, name: bytes, content: bytes) -> None:
        self._headers[name.decode().lower()] = content.decode()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        get = self._headers.get
        request = ReceivedRequest(
            request_id=get('x-toucanhall-request-id', ''),
            path=self._path.decode(),
            team=get('x-toucanhall-tenant-id', ''),
            deadline_ms=int(get('x-toucanhall-request-deadline', '0')),
            key=get('authorization', ''),
            expected=get('x-toucanhall-expect-instance', ''),
            body=self._body,
        )
        if self._transport is not None and self._refusal_copy:
            self._transport.write(self._refusal_copy)
            self._refusal_copy = b''
        self._task = asyncio.get_running_loop().create_task(
            self._answer(request),
        )

    async def _answer(self, request: ReceivedRequest) -> None:
        parts = await self._target.serve(request)
        transport = self._transport
        if transport is None:
            return
        for part in parts or ():
            transport.write(part)
        if parts is None or self._target.mode in {'cut', 'unframed', 'leaving'}:
            transport.close()
        if self._target.mode == 'refusals_twice' and parts:
            self._refusal_copy = parts[0] if _is_refusal(parts[0]) else b''
        elif self._target.mode.startswith('refusal') and parts:
            await self._write_again(transport, request, parts[0])

    async def _write_again(
        self,
        transport: asyncio.Transport,
        request: ReceivedRequest,
        refusal: bytes,
    ) -> None:
        mode = self._target.mode
        if mode.endswith('without_id'):
            refusal = refusal.replace(_encode_id(request.request_id), b'')
        if mode.startswith('refusal_before'):
            await asyncio.sleep(_COPY_DELAY_SECONDS)
            transport.write(refusal)
        else:
            self._refusal_copy = refusal


def _spare(_request: ReceivedRequest) -> bool:
    return False


def _is_refusal(answer: bytes) -> bool:
    return _NOT_RUN_LINE.encode() in answer


def _ignore() -> None:
    """Take no notice of a crash."""


def _encode_answer(
    request_id: str,
    status: int,
    body: bytes,
    *,
    not_run: bool = False,
    load: str = '',
    extra: str = '',
) -> bytes:
    lines = [
        f'HTTP/1.1 {status} Status',
        _encode_id(request_id).decode().rstrip(),
        f'Content-Length: {len(body)}',
    ]
    if not_run:
        lines.append(_NOT_RUN_LINE)
    else:
        lines.append('X-Toucanhall-Response-Stamp: stamp')
    if load:
        lines.append(f'X-Toucanhall-Backend-Load: {load}')
    if extra:
        lines.append(extra)
    return '\r\n'.join((*lines, '', '')).encode() + body


def _encode_id(request_id: str) -> bytes:
    return f'X-Toucanhall-Request-Id: {request_id}\r\n'.encode()


def _send_unchanged(answer: bytes, _request_id: str) -> list[bytes]:
    return [answer]


def _send_stray(answer: bytes, _request_id: str) -> list[bytes]:
    return [_encode_answer('another', 200, b'answer of another'), answer]


def _send_twice(answer: bytes, _request_id: str) -> list[bytes]:
    return [answer, answer]


def _send_cut(answer: bytes, _request_id: str) -> list[bytes]:
    return [answer[:-5]]


def _send_unframed(answer: bytes, _request_id: str) -> list[bytes]:
    head, _, body = answer.partition(b'\r\n\r\n')
    lines = [
        line
        for line in head.split(b'\r\n')
        if not line.startswith(b'Content-Length')
    ]
    return [b'\r\n'.join((*lines, b'', b'')) + body]


def _send_leaving(answer: bytes, _request_id: str) -> list[bytes]:
    return [_add_header(answer, 'Connection', 'close')]


def _add_header(answer: bytes, name: str, content: str) -> bytes:
    line = f'\r\n{name}: {content}\r\n\r\n'.encode()
    return answer.replace(b'\r\n\r\n', line, 1)


_STATUS_BY_MODE: Final = {
    'fail': 500,
    'busy': 503,
    'limit': 429,
    'slow': 408,
}
_SEND_BY_MODE: Final = {
    'stray': _send_stray,
    'twice': _send_twice,
    'cut': _send_cut,
    'unframed': _send_unframed,
    'leaving': _send_leaving,
}
