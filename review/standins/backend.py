"""A stand-in of a backend: slots, a queue, and a record of what it ran."""

import asyncio
import time
from typing import NamedTuple

from standins.http import read_message, write_message

QUEUED = 27


class Run(NamedTuple):
    """A request that a backend ran to a good end."""

    request_id: str
    backend: str
    method: str
    path: str
    body: bytes
    began_at: float
    ended_at: float


class Backend:
    """Runs each request for `work_s` in one of its slots.

    `runs` holds the requests that were run; `started` the ids of those that
    began. It answers as a sound backend does: 421 where another one was
    expected, 503 with the proof that nothing ran where its queue is full.
    """

    def __init__(self, name, *, service, zone, slots=9, work_s=0.3):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.address = ''
        self.runs = []
        self.started = []
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.writers = set()
        self.has_exited = False
        # Called instead of an answer, if set: (writer, request).
        self.misbehave = None
        self.answer_bytes = 0  # the least length of an answer

    async def start(self, host, port):
        self.address = f'{host}:{port}'
        self.server = await asyncio.start_server(
            self.serve, host, port, limit=1 << 20
        )

    def make_entry(self):
        """Return the entry for the store, as of one more heartbeat."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left': '0ms',
            'sequence': self.sequence,
            'born': self.born,
        }

    def exit(self):
        """End as a process does: the kernel closes what is open."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.has_exited = True

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None or not await self.answer(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        method, path, _ = request.first_line.split(' ', 2)
        request_id = request.headers.get('x-toucanhall-request-id', '')
        echo = [('X-Toucanhall-Request-Id', request_id)]
        expected = request.headers.get('x-toucanhall-expect-instance')
        if expected not in {None, self.name}:
            echo.append(('X-Toucanhall-Instance-Id', self.name))
            await write_message(writer, 'HTTP/1.1 421 Misdirected', echo)
            return True
        if self.running + self.waiting >= self.slots + QUEUED:
            echo.append(('X-Toucanhall-Not-Executed', '1'))
            await write_message(writer, 'HTTP/1.1 503 Unavailable', echo)
            return True
        if self.misbehave is not None:
            return await self.misbehave(writer, request)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.started.append(request_id)
            began_at = time.monotonic()
            await asyncio.sleep(self.work_s)
            self.running -= 1
            if self.has_exited:
                return False
        ended_at = time.monotonic()
        self.runs.append(
            Run(
                request_id,
                self.name,
                method,
                path,
                request.body,
                began_at,
                ended_at,
            )
        )
        body = f'{self.name} {path}'.encode().ljust(self.answer_bytes, b'.')
        load = f'{self.running},{self.waiting},{self.slots}'
        await write_message(
            writer,
            'HTTP/1.1 200 OK',
            [
                *echo,
                ('X-Toucanhall-Response-Stamp', f'stamp.{request_id}'),
                ('X-Toucanhall-Backend-Load', load),
            ],
            body,
        )
        return True
