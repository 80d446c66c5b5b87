"""A proxy on loopback whose connections are delayed, reset or silenced."""

import asyncio
from typing import Final, Literal

__all__ = ('LINK_FAULT_MODES', 'LinkProxy', 'LinkMode')

LinkMode = Literal['well', 'slow', 'reset', 'silent', 'no_answers']
LINK_FAULT_MODES: Final[tuple[LinkMode, ...]] = (
    'slow',
    'reset',
    'silent',
    'no_answers',
)
_CHUNK_BYTES: Final = 65536
_DELAY_SECONDS: Final = 0.2
_END_SECONDS: Final = 1.0  # in which the ends of reset connections are read


class LinkProxy:
    """Connections from one address to another, in one of the modes.

    Modes: slow (each part is late), reset (all end, new ones too), silent
    (nothing passes either way), no_answers (nothing passes backwards). What a
    connection lost while it was silent is never passed on.
    """

    def __init__(self, *, host: str, port: int) -> None:
        """Lead to an address."""
        self._host = host
        self._port = port
        self.mode: LinkMode = 'well'
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen for connections."""
        self._server = await asyncio.start_server(self._carry, host, port)

    def set_mode(self, mode: LinkMode) -> None:
        """Change what happens to the connections, open ones too."""
        self.mode = mode
        if mode == 'reset':
            self._reset_all()

    async def stop(self) -> None:
        """Reset all connections and listen no longer."""
        if self._server is not None:
            self._server.close()
        self._reset_all()
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=_END_SECONDS)

    def _reset_all(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _carry(
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
            far_reader, far = await asyncio.open_connection(
                self._host,
                self._port,
            )
        except OSError:
            # The far end is down: so it seems to the near one.
            writer.transport.abort()
            return
        self._writers |= {writer, far}
        try:
            await asyncio.gather(
                self._pass_on(reader, far, is_answer=False),
                self._pass_on(far_reader, writer, is_answer=True),
            )
        finally:
            self._end(writer, far)

    def _end(self, *writers: asyncio.StreamWriter) -> None:
        for writer in writers:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            while part := await reader.read(_CHUNK_BYTES):
                if self.mode == 'silent':
                    continue
                if self.mode == 'no_answers' and is_answer:
                    continue
                if self.mode == 'slow':
                    await asyncio.sleep(_DELAY_SECONDS)
                writer.write(part)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # The other end has gone, or the link was reset.
            writer.transport.abort()
