"""A TCP proxy on loopback that can delay, reset or silence connections."""

import asyncio
from typing import Final, Literal

__all__ = ('LINK_FAULT_MODES', 'LinkMode', 'LinkProxy')

LinkMode = Literal[
    'well', 'slow', 'reset', 'silent', 'no_answers', '429', '503'
]
LINK_FAULT_MODES: Final[tuple[LinkMode, ...]] = (
    'slow',
    'reset',
    'silent',
    'no_answers',
)
_REFUSALS: Final = {
    mode: b'HTTP/1.1 %s Refused\r\ncontent-length: 0\r\n\r\n' % mode.encode()
    for mode in ('429', '503')
}
_CHUNK_BYTES: Final = 65536
_DELAY_SECONDS: Final = 0.2
# In this time the tasks of reset connections must notice their end.
_CLOSE_TIMEOUT_SECONDS: Final = 1.0


class LinkProxy:
    """Forwards connections to one address, in one of these modes.

    well: forwards all bytes
    slow: delays each chunk
    reset: resets all connections, new ones too
    silent: forwards nothing in either direction
    no_answers: forwards nothing from the server to the client
    429, 503: answers each chunk of the client with this status

    Bytes that are dropped in a mode are not forwarded later.
    """

    def __init__(self, *, host: str, port: int) -> None:
        """Choose the address to which connections are forwarded."""
        self._host = host
        self._port = port
        self.mode: LinkMode = 'well'
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Start to listen for connections."""
        self._server = await asyncio.start_server(
            self._serve_connection, host, port
        )

    def set_mode(self, mode: LinkMode) -> None:
        """Change the mode of all connections, open ones too."""
        self.mode = mode
        if mode == 'reset':
            self._reset_all()

    async def stop(self) -> None:
        """Reset all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        self._reset_all()
        if self._tasks:
            await asyncio.wait(
                tuple(self._tasks), timeout=_CLOSE_TIMEOUT_SECONDS
            )

    def _reset_all(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self.mode == 'reset':
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream = await asyncio.open_connection(
                self._host,
                self._port,
            )
        except OSError:
            # The server is down; the client sees a connection that is reset.
            writer.transport.abort()
            return
        self._writers |= {writer, upstream}
        try:
            await asyncio.gather(
                self._copy_bytes(reader, upstream, client=writer),
                self._copy_bytes(upstream_reader, writer),
            )
        finally:
            self._abort(writer, upstream)

    def _abort(self, *writers: asyncio.StreamWriter) -> None:
        for writer in writers:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _copy_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        client: asyncio.StreamWriter | None = None,
    ) -> None:
        """Forward bytes; `client` sent them if it is given."""
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.mode == 'silent':
                    continue
                if self.mode == 'no_answers' and client is None:
                    continue
                if self.mode in _REFUSALS:
                    if client is not None:
                        client.write(_REFUSALS[self.mode])
                    continue
                if self.mode == 'slow':
                    await asyncio.sleep(_DELAY_SECONDS)
                writer.write(chunk)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # The other end has closed, or the link was reset.
            writer.transport.abort()
