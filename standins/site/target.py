"""A stand-in for a target: slots, a queue, and answers that misbehave."""

import asyncio
import contextlib
from typing import Final, NamedTuple

import httptools

__all__ = ('ExecutedRequest', 'TargetStandin')

_QUEUE: Final = 27


class ExecutedRequest(NamedTuple):
    """A request that ran, as the target saw it."""

    target: str
    request_id: str
    path: str
    team: str
    deadline: int
    key: str


class TargetStandin:
    """A target that answers after some time, in one of the modes.

    Modes: well, shed (not run), fail (status 500), busy, limit and slow
    (runs, then a status that promises the opposite), odd (a load of thousands
    of digits), stray (an answer of
    another request first), twice (the answer again), cut (half an answer),
    lost (runs and closes), silent (runs and answers never), unframed (an
    answer that ends with its connection), leaving (says close).
    """

    def __init__(self, *, name: str, slots: int = 9) -> None:
        """Start well and idle."""
        self.name = name
        self.slots = slots
        self.seconds = 0.01
        self.mode = 'well'
        self.executed: list[ExecutedRequest] = []
        self.cancelled_ids: list[str] = []
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen for requests."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(target=self, connections=self._connections),
            host,
            port,
        )

    def stop(self) -> None:
        """Reset every connection and listen no longer, like a crash."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort()

    async def run(self, found: '_Found') -> list[bytes] | None:
        """Return the parts of the answer; None ends the connection."""
        if found.expected != self.name:
            return [_write(found.request_id, 421, b'', not_run=True)]
        if self.mode == 'shed' or self.running + self.waiting >= (
            self.slots + _QUEUE
        ):
            return [_write(found.request_id, 503, b'', not_run=True)]
        self.waiting += 1
        try:
            async with self._free:
                self.waiting -= 1
                self.running += 1
                try:
                    return await self._work(found)
                finally:
                    self.running -= 1
        except asyncio.CancelledError:
            self.cancelled_ids.append(found.request_id)
            raise

    async def _work(self, found: '_Found') -> list[bytes] | None:
        self.executed.append(
            ExecutedRequest(
                target=self.name,
                request_id=found.request_id,
                path=found.path,
                team=found.team,
                deadline=found.deadline,
                key=found.key,
            ),
        )
        mode = self.mode
        await asyncio.sleep(self.seconds)
        if mode == 'lost':
            return None
        if mode == 'silent':
            await asyncio.Event().wait()
        load = f'{self.running},{self.waiting},{self.slots}'
        body = f'{self.name} {found.path} {found.body.decode()}'.encode()
        if mode == 'odd':
            load = f'{"9" * 5000},0,9'
        status = _STATUSES.get(mode, 200)
        answer = _write(found.request_id, status, body, load=load)
        return _MODES.get(mode, _send_well)(answer, found.request_id)


class _Found(NamedTuple):
    request_id: str
    path: str
    team: str
    deadline: int
    key: str
    expected: str
    body: bytes


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
        found = _Found(
            request_id=get('x-toucanhall-request-id', ''),
            path=self._path.decode(),
            team=get('x-toucanhall-tenant-id', ''),
            deadline=int(get('x-toucanhall-request-deadline', '0')),
            key=get('authorization', ''),
            expected=get('x-toucanhall-expect-instance', ''),
            body=self._body,
        )
        self._task = asyncio.get_running_loop().create_task(
            self._answer(found),
        )

    async def _answer(self, found: _Found) -> None:
        parts = await self._target.run(found)
        transport = self._transport
        if transport is None:
            return
        for part in parts or ():
            transport.write(part)
        if parts is None or self._target.mode in {'cut', 'unframed', 'leaving'}:
            transport.close()


def _write(
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
        f'X-Toucanhall-Request-Id: {request_id}',
        f'Content-Length: {len(body)}',
    ]
    if not_run:
        lines.append('X-Toucanhall-Not-Executed: 1')
    else:
        lines.append('X-Toucanhall-Response-Stamp: stamp')
    if load:
        lines.append(f'X-Toucanhall-Backend-Load: {load}')
    if extra:
        lines.append(extra)
    return '\r\n'.join((*lines, '', '')).encode() + body


def _send_well(answer: bytes, _request_id: str) -> list[bytes]:
    return [answer]


def _send_stray(answer: bytes, _request_id: str) -> list[bytes]:
    return [_write('another', 200, b'answer of another'), answer]


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
    return [answer.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n', 1)]


_STATUSES: Final = {
    'fail': 500,
    'busy': 503,
    'limit': 429,
    'slow': 408,
}
_MODES: Final = {
    'stray': _send_stray,
    'twice': _send_twice,
    'cut': _send_cut,
    'unframed': _send_unframed,
    'leaving': _send_leaving,
}
