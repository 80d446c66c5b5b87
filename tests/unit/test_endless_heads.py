"""Tests of heads that are slow or have many fields, and of what they hold."""

import asyncio
import tracemalloc

import pytest

from tests.fleetdata import make_opening
from toucanhall.fleet.model import Address
from toucanhall.web.buffer_budget import BufferBudget
from toucanhall.web.client import IncompleteAnswerError, open_connection

ADDRESS = Address('127.92.201.1', 9001)
REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\nx-id: own\r\n\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nx-id: own\r\n'
# Below 64 KiB, and below the 100 fields that servers commonly allow.
MANY_LINES = b'x: y\r\n' * 10_700
ALLOWED_LINES = b'x: y\r\n' * 90
ENDLESS_BODY = b'content-length: 99999999\r\n\r\n' + b'b' * 1_000_000
ANSWER = HEAD + b'content-length: 4\r\n\r\nwell'
CONNECTIONS_COUNT = 100
# Longer than four retransmissions over the longest link.
MAX_HEAD_SECONDS = 2.0


class Server(asyncio.Protocol):
    """Sends a part of an answer to the request of its connection."""

    def __init__(self, part):
        self.part = part
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, _received):
        self.transport.write(self.part)

    def connection_lost(self, _error):
        self.transport = None


async def exchange(settings, seconds):
    connection = await open_connection(ADDRESS, seconds=1.0, settings=settings)
    try:
        async with asyncio.timeout(seconds):
            reply = await connection.exchange(REQUEST, b'own')
    finally:
        connection.abort()
    return reply.body


def send(*parts, settings=None, seconds=MAX_HEAD_SECONDS):
    """Answer requests with parts in turn; return their bodies or errors."""
    settings = settings or make_opening(id_header=b'x-id')
    remaining = list(parts)

    async def act():
        server = await asyncio.get_running_loop().create_server(
            lambda: Server(remaining.pop(0)), *ADDRESS
        )
        tasks = []
        for _part in parts:
            tasks.append(asyncio.create_task(exchange(settings, seconds)))
            await asyncio.sleep(0.02)  # noqa: WPS476
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        server.close()
        await asyncio.sleep(0.05)
        return outcomes

    outcomes = asyncio.run(act())
    assert settings.buffer_budget.total_bytes == 0
    return outcomes


def test_head_of_many_fields_ends_at_a_bound():
    (error,) = send(HEAD + MANY_LINES)
    assert isinstance(error, IncompleteAnswerError)
    assert 'fields' in str(error)


def test_head_that_takes_too_long_ends_at_a_bound():
    (error,) = send(HEAD)
    assert isinstance(error, IncompleteAnswerError)
    assert 'seconds' in str(error)


@pytest.mark.parametrize(
    'part',
    (
        b'HTTP/1.1 103 Early Hints\r\n' + MANY_LINES,
        HEAD + b'transfer-encoding: chunked\r\n\r\n0\r\n' + MANY_LINES,
    ),
)
def test_interim_heads_and_trailers_have_the_same_bound(part):
    (error,) = send(part)
    assert isinstance(error, IncompleteAnswerError)
    assert 'fields' in str(error)


def test_answer_after_a_complete_interim_head_may_take_longer():
    interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
    (error,) = send(interim)
    assert isinstance(error, TimeoutError)


def test_memory_of_incomplete_heads_is_charged_to_the_budget():
    settings = make_opening(id_header=b'x-id')
    settings = settings._replace(
        buffer_budget=BufferBudget(max_bytes=1_000_000)
    )
    tracemalloc.start()
    errors = send(
        *[HEAD + ALLOWED_LINES] * CONNECTIONS_COUNT,
        settings=settings,
        seconds=MAX_HEAD_SECONDS * 2,
    )
    _now, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert any('over 1000000 bytes' in str(error) for error in errors)
    assert peak < settings.buffer_budget.max_bytes * 4


def test_endless_head_is_closed_before_the_body_of_another_answer():
    settings = make_opening(id_header=b'x-id')
    settings = settings._replace(buffer_budget=BufferBudget(max_bytes=40_000))
    body = HEAD + b'content-length: 30000\r\n\r\n' + b'b' * 25_000
    first, second = send(body, HEAD + ALLOWED_LINES, settings=settings)
    assert isinstance(first, TimeoutError)
    assert 'over 40000 bytes' in str(second)


def test_endless_bodies_end_and_other_answers_are_read():
    settings = make_opening(id_header=b'x-id')
    settings = settings._replace(
        buffer_budget=BufferBudget(max_bytes=1_500_000)
    )
    *errors, body = send(
        HEAD + ENDLESS_BODY, HEAD + ENDLESS_BODY, ANSWER, settings=settings
    )
    assert body == b'well'
    assert all('over 1500000 bytes' in str(error) for error in errors)
