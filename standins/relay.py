"""A TCP relay between zones that cuts, silences, delays and loses replies."""

import argparse
import asyncio
import json
from collections import defaultdict
from contextlib import suppress
from pathlib import Path
from typing import Any, Final, NamedTuple

_CHUNK: Final = 65536  # bytes
_BACKLOG: Final = 256


class Line(NamedTuple):
    """One listener: where it listens, where it leads, and its group."""

    listen: str
    connect: str
    group: str


class Relay:
    """Connections by group; a group has one mode at a time.

    Modes: `open`; `cut` closes connections and refuses new ones; `silent`
    keeps connections and drops what comes; `lose-replies` passes requests on
    and drops the answers; `slow` delays each part by half a second.
    """

    def __init__(self) -> None:
        """Start with every group open."""
        self.modes: dict[str, str] = defaultdict(lambda: 'open')
        self.writers: dict[str, set[asyncio.StreamWriter]] = defaultdict(set)

    async def serve(self, line: Line) -> None:
        """Listen for one line."""
        host, port = line.listen.split(':')

        async def accept(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await self._connect(line, reader, writer)

        await asyncio.start_server(accept, host, int(port), backlog=_BACKLOG)

    def switch(self, modes: dict[str, str]) -> None:
        """Change the modes of some groups."""
        self.modes.update(modes)
        for group, mode in modes.items():
            if mode == 'cut':
                for writer in tuple(self.writers[group]):
                    writer.transport.abort()

    async def _connect(
        self,
        line: Line,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.modes[line.group] == 'cut':
            writer.transport.abort()
            return
        host, port = line.connect.split(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self.writers[line.group] |= ends
        await asyncio.gather(
            self._pump(line.group, reader, far_writer, is_reply=False),
            self._pump(line.group, far_reader, writer, is_reply=True),
        )
        self.writers[line.group] -= ends

    async def _pump(
        self,
        group: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_reply: bool,
    ) -> None:
        with suppress(OSError):
            while part := await reader.read(_CHUNK):
                mode = self.modes[group]
                if mode == 'slow':
                    await asyncio.sleep(0.5)
                if mode == 'silent' or (is_reply and mode == 'lose-replies'):
                    continue
                writer.write(part)
                await writer.drain()
        with suppress(OSError):
            writer.close()


async def run(lines: list[Line], control: str) -> None:
    """Serve every line, and take modes as JSON lines on a control port."""
    relay = Relay()
    for line in lines:
        await relay.serve(line)

    async def take(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while text := await reader.readline():
            modes: dict[str, Any] = json.loads(text)
            relay.switch(modes)
            writer.write(b'done\n')
            await writer.drain()
        writer.close()

    host, port = control.split(':')
    server = await asyncio.start_server(take, host, int(port))
    await server.serve_forever()


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--lines', type=Path, required=True)
    parser.add_argument('--control', required=True)
    options = parser.parse_args()
    lines = [Line(*entry) for entry in json.loads(options.lines.read_text())]
    asyncio.run(run(lines, options.control))


if __name__ == '__main__':
    main()
