"""Servers in trouble: bytes that are no answer, without end."""

import asyncio
from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import chain, repeat
from typing import Final

__all__ = ('ENDLESS_ANSWERS', 'EndlessServer')

_HEAD: Final = b'HTTP/1.1 200 OK\r\n'
_PIECE: Final = b'x' * 8192
_CHUNKED: Final = _HEAD + b'transfer-encoding: chunked\r\n\r\n'


def _repeat(first: bytes, part: bytes) -> Iterator[bytes]:
    return chain((first,), repeat(part))


def _number_headers() -> Iterator[bytes]:
    yield _HEAD
    number = 0
    while True:
        yield b''.join(b'h%d: v\r\n' % (number + step) for step in range(512))
        number += 512


# What is sent until the caller closes, by name.
ENDLESS_ANSWERS: Final[Mapping[str, Callable[[], Iterable[bytes]]]] = {
    'status line': lambda: _repeat(b'HTTP/1.1 200 ', _PIECE),
    'header lines': _number_headers,
    'one header': lambda: _repeat(_HEAD + b'h: ', _PIECE),
    'one header name': lambda: _repeat(_HEAD, _PIECE),
    'body with a length': lambda: _repeat(
        _HEAD + b'content-length: 99999999999\r\n\r\n',
        _PIECE,
    ),
    'body without a length': lambda: _repeat(_HEAD + b'\r\n', _PIECE),
    'chunks': lambda: _repeat(_CHUNKED, b'2000\r\n%s\r\n' % _PIECE),
    'chunks of one byte': lambda: _repeat(_CHUNKED, b'1\r\nx\r\n' * 2048),
    'chunk extension': lambda: _repeat(_CHUNKED + b'1;a=', _PIECE),
    'chunk extensions': lambda: _repeat(
        _CHUNKED,
        b'1;a=%s\r\nx\r\n' % (b'y' * 4096),
    ),
    'trailers': lambda: _repeat(_CHUNKED + b'0\r\n', b'h: v\r\n' * 1024),
    'interim answers': lambda: repeat(b'HTTP/1.1 102 Processing\r\n\r\n' * 256),
    'lines before the answer': lambda: repeat(b'\r\n' * 4096),
    'bytes before the answer': lambda: repeat(_PIECE),
    'answers to others': lambda: repeat(
        (_HEAD + b'x-id: other\r\ncontent-length: 1\r\n\r\nx') * 64,
    ),
}


class EndlessServer:
    """Answers each connection with the same bytes until it is closed."""

    def __init__(self, *, name: str) -> None:
        """Send what `ENDLESS_ANSWERS` has under a name."""
        self._name = name
        self.sent_bytes = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for connections."""
        self._server = await asyncio.start_server(self._answer, host, port)

    def stop(self) -> None:
        """Listen no longer."""
        if self._server is not None:
            self._server.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            for part in ENDLESS_ANSWERS[self._name]():
                writer.write(part)
                await writer.drain()
                self.sent_bytes += len(part)
        except ConnectionError:
            writer.close()
