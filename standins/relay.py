"""A TCP relay between zones that injects network faults."""

import argparse
import asyncio
import json
from collections import defaultdict
from contextlib import suppress
from pathlib import Path
from typing import Any, Final, NamedTuple

_MAX_CHUNK_BYTES: Final = 65536
_MAX_BACKLOG_CONNECTIONS: Final = 256


class Listener(NamedTuple):
    """One forwarded address and the link whose mode applies to it."""

    listen_address: str
    connect_address: str
    link: str


class Relay:
    """Forwards connections by link; each link has one mode at a time.

    Modes: `open` forwards everything; `cut` aborts connections, also new ones;
    `silent` keeps connections and drops all data; `lose-replies` forwards
    requests and drops replies; `slow` delays each chunk by half a second.
    """

    def __init__(self) -> None:
        """Start with every link in mode `open`."""
        self.modes: dict[str, str] = defaultdict(lambda: 'open')
        self.writers: dict[str, set[asyncio.StreamWriter]] = defaultdict(set)

    async def serve(self, listener: Listener) -> None:
        """Accept connections of one listener."""
        host, port = listener.listen_address.split(':')

        async def accept(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await self._handle_connection(listener, reader, writer)

        await asyncio.start_server(
            accept, host, int(port), backlog=_MAX_BACKLOG_CONNECTIONS
        )

    def set_modes(self, modes: dict[str, str]) -> None:
        """Set the modes of some links; `cut` aborts open connections."""
        self.modes.update(modes)
        for link, mode in modes.items():
            if mode == 'cut':
                for writer in tuple(self.writers[link]):
                    writer.transport.abort()

    async def _handle_connection(
        self,
        listener: Listener,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.modes[listener.link] == 'cut':
            writer.transport.abort()
            return
        host, port = listener.connect_address.split(':')
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.transport.abort()
            return
        both_writers = {writer, upstream_writer}
        self.writers[listener.link] |= both_writers
        await asyncio.gather(
            self._forward(
                listener.link, reader, upstream_writer, is_reply=False
            ),
            self._forward(
                listener.link, upstream_reader, writer, is_reply=True
            ),
        )
        self.writers[listener.link] -= both_writers

    async def _forward(
        self,
        link: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_reply: bool,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(_MAX_CHUNK_BYTES):
                mode = self.modes[link]
                if mode == 'slow':
                    await asyncio.sleep(0.5)
                if mode == 'silent' or (is_reply and mode == 'lose-replies'):
                    continue
                writer.write(chunk)
                await writer.drain()
        with suppress(OSError):
            writer.close()


async def run(listeners: list[Listener], control: str) -> None:
    """Serve all listeners, and accept modes as JSON lines on a control port."""
    relay = Relay()
    for listener in listeners:
        await relay.serve(listener)

    async def handle_commands(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while command := await reader.readline():
            modes: dict[str, Any] = json.loads(command)
            relay.set_modes(modes)
            writer.write(b'done\n')
            await writer.drain()
        writer.close()

    host, port = control.split(':')
    server = await asyncio.start_server(handle_commands, host, int(port))
    await server.serve_forever()


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--lines', type=Path, required=True)
    parser.add_argument('--control', required=True)
    options = parser.parse_args()
    listeners = [
        Listener(*entry) for entry in json.loads(options.lines.read_text())
    ]
    asyncio.run(run(listeners, options.control))


if __name__ == '__main__':
    main()
