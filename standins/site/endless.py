"""A server whose answers never end, in a chosen part of the message."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import chain, repeat
from typing import Final

__all__ = ('ENDLESS_ANSWERS', 'EndlessServer')

_HEAD: Final = b'HTTP/1.1 200 OK\r\n'
_FILLER: Final = b'x' * 8192
_CHUNKED_HEAD: Final = _HEAD + b'transfer-encoding: chunked\r\n\r\n'


def _send_once_then_repeat(first: bytes, repeated: bytes) -> Iterator[bytes]:
    return chain((first,), repeat(repeated))


def _generate_headers() -> Iterator[bytes]:
    yield _HEAD
    number = 0
    while True:
        yield b''.join(b'h%d: v\r\n' % (number + step) for step in range(512))
        number += 512


# Their bytes are few for what they cost as header fields in memory; the first
# part stays below 64 KiB.
_SHORT_LINE: Final = b'x: y\r\n'


# Bytes to send until the caller closes the connection, by what never ends.
ENDLESS_ANSWERS: Final[Mapping[str, Callable[[], Iterable[bytes]]]] = {
    'status line': lambda: _send_once_then_repeat(b'HTTP/1.1 200 ', _FILLER),
    'header lines': _generate_headers,
    'short header lines': lambda: _send_once_then_repeat(
        _HEAD + _SHORT_LINE * 10_700, _SHORT_LINE * 5
    ),
    'few header lines': lambda: _send_once_then_repeat(
        _HEAD + _SHORT_LINE * 5, _SHORT_LINE
    ),
    'one header': lambda: _send_once_then_repeat(_HEAD + b'h: ', _FILLER),
    'one header name': lambda: _send_once_then_repeat(_HEAD, _FILLER),
    'body with a length': lambda: _send_once_then_repeat(
        _HEAD + b'content-length: 99999999999\r\n\r\n',
        _FILLER,
    ),
    'body without a length': lambda: _send_once_then_repeat(
        _HEAD + b'\r\n', _FILLER
    ),
    'chunks': lambda: _send_once_then_repeat(
        _CHUNKED_HEAD, b'2000\r\n%s\r\n' % _FILLER
    ),
    'chunks of one byte': lambda: _send_once_then_repeat(
        _CHUNKED_HEAD, b'1\r\nx\r\n' * 2048
    ),
    'chunk extension': lambda: _send_once_then_repeat(
        _CHUNKED_HEAD + b'1;a=', _FILLER
    ),
    'chunk extensions': lambda: _send_once_then_repeat(
        _CHUNKED_HEAD,
        b'1;a=%s\r\nx\r\n' % (b'y' * 4096),
    ),
    'trailers': lambda: _send_once_then_repeat(
        _CHUNKED_HEAD + b'0\r\n', b'h: v\r\n' * 1024
    ),
    'interim answers': lambda: repeat(b'HTTP/1.1 102 Processing\r\n\r\n' * 256),
    'lines before the answer': lambda: repeat(b'\r\n' * 4096),
    'bytes before the answer': lambda: repeat(_FILLER),
    'answers to others': lambda: repeat(
        (_HEAD + b'x-id: other\r\ncontent-length: 1\r\n\r\nx') * 64,
    ),
}


class EndlessServer:
    """Sends an endless answer to the first request of each connection.

    Its first part is sent at once, each further one after a pause.
    """

    def __init__(self, *, name: str, pause_seconds: float = 0.0) -> None:
        """Send the answer that `ENDLESS_ANSWERS` holds under a name."""
        self._name = name
        self._pause_seconds = pause_seconds
        self.sent_bytes = 0
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def start(self, host: str, port: int) -> None:
        """Start to listen for connections."""
        self._server = await asyncio.start_server(self._answer, host, port)

    def stop(self) -> None:
        """Stop listening, and sending on open connections."""
        if self._server is not None:
            self._server.close()
        for task, writer in tuple(self._writers.items()):
            task.cancel()
            writer.transport.abort()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers[task] = writer
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await reader.readuntil(b'\r\n\r\n')
            for part in ENDLESS_ANSWERS[self._name]():
                writer.write(part)
                await writer.drain()
                self.sent_bytes += len(part)
                if self._pause_seconds:
                    await asyncio.sleep(self._pause_seconds)
        self._writers.pop(task).transport.abort()
