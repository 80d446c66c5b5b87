"""Tests of which connections a request may use."""

import asyncio
import tracemalloc

import pytest

from tests.fleetdata import make_opening
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.fleet.model import Address
from toucanhall.web.client import UnreachableError

ADDRESS = Address('127.64.204.1', 9001)
CONNECT_SECONDS = 1.0
MAX_FAILED_REQUESTS = 64
IDLE_SECONDS = 3.0
LONG_ID_BYTES = 15_000
LONG_IDS_COUNT = 60
# Of the last request and answer; all ids together are over 900,000 bytes.
MAX_KEPT_BYTES = 200_000


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def run(act, status=503, id_name=b'x-id'):
    """Let `act` use a pool and its clock; the server answers with a status.

    `id_name` is the header in which answers have the id of their request.
    """

    async def serve(reader, writer):
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            request_id = head.split(b'x-id: ')[1].split(b'\r\n')[0]
            writer.write(
                b'HTTP/1.1 %d Status\r\n%s: %s\r\ncontent-length: 0\r\n\r\n'
                % (status, id_name, request_id)
            )

    async def start():
        server = await asyncio.start_server(serve, *ADDRESS)
        clock = Clock()
        pool = ConnectionPool(
            clock=clock,
            settings=make_opening(id_header=b'x-id'),
            max_idle_connections=100,
        )
        try:
            return await act(pool, clock)
        finally:
            pool.close_idle()
            server.close()

    return asyncio.run(start())


async def acquire(pool, request_id, *, may_retry=False):
    return await pool.acquire(
        ADDRESS,
        request_id,
        may_retry=may_retry,
        connect_timeout_seconds=CONNECT_SECONDS,
    )


async def send(pool, request_id, *, may_retry=False):
    """Send a request; return the number of its connection."""
    connection = await acquire(pool, request_id, may_retry=may_retry)
    await exchange(connection, request_id)
    pool.release(ADDRESS, connection)
    return connection.number


async def exchange(connection, request_id):
    return await connection.exchange(
        b'GET / HTTP/1.1\r\nx-id: %s\r\n\r\n' % request_id, request_id
    )


def list_connections(request_ids, status=503, **fields):
    """Send requests in turn; return the numbers of their connections."""

    async def act(pool, _clock):
        return [
            await send(pool, found, **fields)  # noqa: WPS476
            for found in request_ids
        ]

    return run(act, status)


@pytest.mark.parametrize('status', (400, 408, 421, 429, 500, 503))
@pytest.mark.parametrize('may_retry', (False, True))
def test_refused_request_does_not_come_again_on_its_connection(
    status, may_retry
):
    numbers = list_connections((b'a', b'a', b'a'), status, may_retry=may_retry)
    assert numbers == [1, 2, 3]


def test_other_requests_use_the_connection_of_a_refused_one():
    assert list_connections((b'a', b'b', b'c')) == [1, 1, 1]
    assert list_connections((b'a', b'b', b'a', b'c', b'b')) == [1, 1, 2, 2, 2]


@pytest.mark.parametrize('status', (200, 304, 404))
def test_answered_requests_share_a_connection(status):
    request_ids = [b'%d' % found for found in range(MAX_FAILED_REQUESTS * 2)]
    assert set(list_connections(request_ids, status)) == {1}
    assert list_connections((b'a', b'b', b'a'), status) == [1, 1, 1]


def test_connection_is_closed_after_an_answer_without_an_id():
    async def act(pool, _clock):
        return [await send(pool, b'a'), await send(pool, b'b')]

    assert run(act, id_name=b'x-other') == [1, 2]


def test_request_does_not_follow_itself_on_a_connection():
    assert list_connections((b'a', b'a', b'b', b'a'), 200) == [1, 2, 2, 2]


def test_connection_with_many_refused_requests_is_closed():
    request_ids = [b'%d' % found for found in range(MAX_FAILED_REQUESTS * 2)]
    numbers = list_connections(request_ids)
    assert numbers == [1] * MAX_FAILED_REQUESTS + [2] * MAX_FAILED_REQUESTS


def test_connection_does_not_send_a_refused_request_again():
    async def act(pool, _clock):
        connection = await acquire(pool, b'a')
        await exchange(connection, b'a')
        with pytest.raises(UnreachableError):
            await exchange(connection, b'a')
        return await exchange(connection, b'b')

    assert run(act).status == 503


def test_connection_keeps_no_long_ids_of_refused_requests():
    async def act(pool, _clock):
        await send(pool, b'first')
        tracemalloc.start()
        try:
            for number in range(LONG_IDS_COUNT):
                request_id = b'%d' % number + b'x' * LONG_ID_BYTES
                await send(pool, request_id)  # noqa: WPS476
            return tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()

    assert run(act) < MAX_KEPT_BYTES


@pytest.mark.parametrize(('may_retry', 'number'), ((True, 1), (False, 2)))
def test_booking_uses_only_a_connection_that_was_in_use_just_now(
    may_retry, number
):
    async def act(pool, clock):
        await send(pool, b'a')
        clock.now += IDLE_SECONDS
        return await send(pool, b'b', may_retry=may_retry)

    assert run(act) == number
