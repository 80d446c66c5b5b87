"""Tests of what idle connections of callers hold in memory."""

import asyncio
import tracemalloc

from tests.unit.test_server import make_handler
from toucanhall.fleet.model import Address
from toucanhall.web.buffer_budget import BufferBudget
from toucanhall.web.messages import Answer
from toucanhall.web.server import Connection

ADDRESS = Address('127.92.204.1', 9004)
BODY = b'b' * 1_000_000
CONNECTIONS_COUNT = 8


async def post():
    """Send a request with a large body; return its connection, still open."""
    reader, writer = await asyncio.open_connection(*ADDRESS)
    head = b'POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n' % len(BODY)
    writer.write(head + BODY)
    await reader.readuntil(b'\r\n\r\n')
    return writer


def test_idle_connections_do_not_hold_their_last_body():
    handler = make_handler(Answer(200), BufferBudget(max_bytes=20_000_000))

    async def act():
        server = await asyncio.get_running_loop().create_server(
            lambda: Connection(handler=handler), *ADDRESS
        )
        before, _peak = tracemalloc.get_traced_memory()
        posts = [post() for _index in range(CONNECTIONS_COUNT)]
        writers = await asyncio.gather(*posts)
        await asyncio.sleep(0.05)
        after, _peak = tracemalloc.get_traced_memory()
        for writer in writers:
            writer.close()
        server.close()
        return after - before

    tracemalloc.start()
    held_bytes = asyncio.run(act())
    tracemalloc.stop()
    assert held_bytes < len(BODY)
