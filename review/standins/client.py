"""A stand-in of a client that keeps its connection open."""

import asyncio
import json
import time
import uuid
from typing import NamedTuple

from standins.http import read_message

HOST = 'orders.example'


class Outcome(NamedTuple):
    """How a request ended at its client.

    `status` is 0 if no answer came; `why` is then 'closed', 'timeout' or
    'connect'. `is_kept` tells whether the connection had served an earlier
    request.
    """

    request_id: str
    status: int
    why: str
    is_kept: bool
    sent_at: float
    ended_at: float
    body: bytes = b''
    answered_id: str = ''


class Client:
    """Sends one request after the other on one connection."""

    def __init__(self, address, *, key, affinity):
        self.host, _, port = address.partition(':')
        self.port = int(port)
        self.key = key
        self.affinity = affinity
        self.streams = None
        self.answered = 0

    async def request(
        self, method, path, *, body=b'', deadline_s=5.0, headers=()
    ):
        """Send a request and return its outcome; errors close."""
        request_id = uuid.uuid4().hex[:16]
        sent_at = time.monotonic()
        is_kept = bool(self.answered)

        def end(status, why, content=b''):
            return Outcome(
                request_id,
                status,
                why,
                is_kept,
                sent_at,
                time.monotonic(),
                content,
            )

        try:
            async with asyncio.timeout(1.0):
                await self.connect()
        except (OSError, TimeoutError):
            self.close()
            return end(0, 'connect')
        lines = (
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Toucanhall-Request-Id: {request_id}',
            f'X-Toucanhall-Request-Deadline: {int(deadline_s * 1000)}',
            f'Cookie: X-Toucanhall-Affinity-Key={self.affinity}',
            f'Authorization: Bearer {self.key}',
        )
        lines = (*lines, *headers)
        if body or method == 'POST':
            lines = (*lines, f'Content-Length: {len(body)}')
        reader, writer = self.streams
        try:
            async with asyncio.timeout(deadline_s):
                writer.write('\r\n'.join((*lines, '', '')).encode() + body)
                await writer.drain()
                answer = await read_message(reader)
        except TimeoutError:
            self.close()
            return end(0, 'timeout')
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return end(0, f'closed ({type(error).__name__})')
        if answer is None:
            self.close()
            return end(0, 'closed')
        self.answered += 1
        if answer.headers.get('connection', '').lower() == 'close':
            self.close()
        answered_id = answer.headers.get('x-toucanhall-request-id', '')
        return end(
            int(answer.first_line.split(' ')[1]), '', answer.body
        )._replace(answered_id=answered_id)

    async def connect(self):
        if self.streams is None:
            self.answered = 0
            self.streams = await asyncio.open_connection(
                self.host, self.port, limit=1 << 20
            )

    def close(self):
        """Close the connection, if one is open."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None


async def resolve(directory, *, region, zone):
    """Return the addresses that the directory names for a zone's clients."""
    host, _, port = directory.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    path = f'/toucanhall/resolve?name={HOST}&region={region}&zone={zone}'
    writer.write(f'GET {path} HTTP/1.1\r\nHost: {directory}\r\n\r\n'.encode())
    answer = await read_message(reader)
    writer.close()
    return json.loads(answer.body)['addresses']
