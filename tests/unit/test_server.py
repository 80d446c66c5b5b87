"""Tests of server connections: endless requests, memory, many connections."""

import asyncio
import contextlib

import pytest

from toucanhall.fleet.model import Address
from toucanhall.web.buffer_budget import BufferBudget
from toucanhall.web.messages import Answer, make_error_answer
from toucanhall.web.server import Connection, Handler, ServerLimits

ADDRESS = Address('127.64.202.1', 9002)
LIMITS = ServerLimits(16384, 1 << 20, 5.0, 30.0)
FILLER = b'x' * 8192
# Bytes in the buffers of both sockets, and read at once.
MAX_IN_TRANSIT_BYTES = 12_000_000


def make_handler(answer, budget, max_connections=100):
    async def serve(_request):
        return answer

    return Handler(
        serve=serve,
        answer_error=make_error_answer,
        is_cancellable=lambda _request: True,
        get_limits=lambda: LIMITS,
        is_stopping=bool,
        is_lagging=bool,
        connections=set(),
        buffer_budget=budget,
        max_connections=max_connections,
    )


def run(act, answer=None, budget=None, max_connections=100):
    handler = make_handler(
        answer or Answer(200),
        budget or BufferBudget(max_bytes=1_000_000),
        max_connections,
    )

    async def start():
        server = await asyncio.get_running_loop().create_server(
            lambda: Connection(handler=handler),
            *ADDRESS,
        )
        reader, writer = await asyncio.open_connection(*ADDRESS)
        try:
            async with asyncio.timeout(5.0):
                return await act(reader, writer)
        finally:
            writer.close()
            server.close()

    return asyncio.run(start())


@pytest.mark.parametrize(
    ('first', 'repeated', 'statuses'),
    (
        (b'GET / HTTP/1.1\r\nh: ', FILLER, (b'431',)),
        (b'GET / HTTP/1.1\r\n', FILLER, (b'431', b'400')),
        (b'GET /', FILLER, (b'431', b'400')),
        (b'GET / HTTP/1.1\r\n', b'h: v\r\n' * 1024, (b'431',)),
        (
            b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1;a=',
            FILLER,
            (b'431', b'400'),
        ),
        (
            b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n',
            b'h: v\r\n' * 1024,
            (b'431', b'400'),
        ),
    ),
)
def test_endless_request_is_refused_at_a_limit(first, repeated, statuses):
    async def act(reader, writer):
        sent = 0
        writer.write(first)
        reading = asyncio.ensure_future(reader.read(64))
        with contextlib.suppress(ConnectionError):
            while not reading.done():
                writer.write(repeated)
                await writer.drain()
                sent += len(repeated)
        found = await asyncio.gather(reading, return_exceptions=True)
        return found[0], sent

    answer, sent = run(act)
    assert sent < MAX_IN_TRANSIT_BYTES
    if isinstance(answer, bytes) and answer:
        assert answer.split()[1] in statuses


def test_many_small_requests_are_all_served():
    async def act(reader, writer):
        request = b'GET / HTTP/1.1\r\nh: %s\r\n\r\n' % (b'v' * 900)
        writer.write(request * 320)
        answers = 0
        while answers < 320:
            answers += (await reader.readline()).startswith(b'HTTP/1.1 200')
        return True

    assert run(act)


def test_caller_that_reads_no_answers_is_reset_over_budget():
    budget = BufferBudget(max_bytes=3_000_000)

    async def act(reader, writer):
        writer.write(b'GET / HTTP/1.1\r\n\r\n' * 8)
        await asyncio.sleep(0.3)
        with pytest.raises(ConnectionError):
            while await reader.read(1 << 20):
                await asyncio.sleep(0)
            raise ConnectionError('cut')
        return budget.total_bytes

    large = Answer(200, (), b'b' * 4_000_000)
    assert run(act, large, budget) <= budget.max_bytes


def open_too_many(max_connections, is_idle):
    """Open one connection more than allowed; return which stay open."""
    handler = make_handler(
        Answer(200), BufferBudget(max_bytes=1000), max_connections
    )

    async def start():
        server = await asyncio.get_running_loop().create_server(
            lambda: Connection(handler=handler),
            *ADDRESS,
        )
        ends = []
        for _index in range(max_connections + 1):
            ends.append(await asyncio.open_connection(*ADDRESS))  # noqa: WPS476
            await asyncio.sleep(0.01)  # noqa: WPS476
            if not is_idle:
                ends[-1][1].write(b'POST / HTTP/1.1\r\nx')
        await asyncio.sleep(0.1)
        are_open = [not reader.at_eof() for reader, _writer in ends]
        for _reader, writer in ends:
            writer.close()
        server.close()
        return are_open

    return asyncio.run(start())


def test_longest_idle_connection_is_closed_for_a_new_one():
    assert open_too_many(10, is_idle=True) == [False] + [True] * 10


def test_new_connection_is_closed_if_all_others_are_in_use():
    assert open_too_many(10, is_idle=False) == [True] * 10 + [False]


def test_answers_close_their_connections_if_many_are_open():
    async def act(reader, writer):
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        return await reader.read()

    assert b'connection: close' in run(act, max_connections=1)
