"""Tests of connections to servers that send invalid or endless answers."""

import asyncio
import time

import pytest

from standins.site.endless import ENDLESS_ANSWERS, EndlessServer
from tests.fleetdata import make_opening
from toucanhall.fleet.model import Address
from toucanhall.web.buffer_budget import BufferBudget, BufferKind
from toucanhall.web.client import IncompleteAnswerError, open_connection

ADDRESS = Address('127.64.201.1', 9001)
REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\nx-id: own\r\n\r\n'
# Bytes in the buffers of both sockets, and read at once.
MAX_IN_TRANSIT_BYTES = 12_000_000


def answer_with(*answers, keep=True):
    """Return a server that answers requests with scripted bytes in turn."""
    remaining_answers = list(answers)

    async def serve(reader, writer):
        while remaining_answers:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(remaining_answers.pop(0))
            await writer.drain()
        if not keep:
            writer.close()

    return serve


def run(serve, act, settings=None):
    settings = settings or make_opening(id_header=b'x-id')

    async def start():
        server = await asyncio.start_server(serve, *ADDRESS)
        try:
            connection = await open_connection(
                ADDRESS,
                seconds=1.0,
                settings=settings,
            )
            return await act(connection)
        finally:
            server.close()

    return asyncio.run(start())


@pytest.mark.parametrize('name', ENDLESS_ANSWERS)
def test_endless_answer_ends_at_a_limit(name):
    settings = make_opening(id_header=b'x-id')

    async def act():
        server = EndlessServer(name=name)
        await server.start(*ADDRESS)
        began = time.perf_counter()
        connection = await open_connection(
            ADDRESS,
            seconds=1.0,
            settings=settings,
        )
        with pytest.raises(IncompleteAnswerError) as caught:
            async with asyncio.timeout(4.0):
                await connection.exchange(REQUEST, b'own')
        seconds = time.perf_counter() - began
        server.stop()
        return (
            str(caught.value),
            server.sent_bytes,
            seconds,
            connection.is_usable,
        )

    why, sent, seconds, is_usable = asyncio.run(act())
    assert 'over' in why or 'malformed' in why
    assert sent < settings.bounds.max_body_bytes + MAX_IN_TRANSIT_BYTES
    assert settings.buffer_budget.total_bytes == 0
    assert not is_usable
    assert seconds < 3.0


def make_body(size, request_id=b'own'):
    return (
        b'HTTP/1.1 200 OK\r\nx-id: %s\r\ncontent-length: %d\r\n\r\n'
        % (request_id, size)
    ) + b'b' * size


def test_answers_within_the_limits_are_complete():
    async def act(connection):
        first = await connection.exchange(REQUEST, b'own')
        second = await connection.exchange(REQUEST, b'next')
        return [len(first.body), len(second.body)]

    settings = make_opening(id_header=b'x-id')
    large = settings.bounds.max_body_bytes
    assert run(answer_with(make_body(large), make_body(3, b'next')), act) == [
        large,
        3,
    ]


def test_late_copy_of_an_answer_makes_the_connection_unusable():
    async def act(connection):
        first = await connection.exchange(REQUEST, b'own')
        await asyncio.sleep(0.05)
        return first.body, connection.is_usable

    twice = make_body(3) + make_body(3)
    assert run(answer_with(twice), act) == (b'bbb', False)


def test_late_copy_before_an_answer_is_skipped():
    async def act(connection):
        reply = await connection.exchange(REQUEST, b'own')
        return len(reply.body), connection.is_usable

    both = make_body(3, b'earlier') + make_body(5)
    assert run(answer_with(both), act) == (5, False)


def test_success_without_the_id_of_its_request_is_rejected():
    async def act(connection):
        with pytest.raises(IncompleteAnswerError, match='without the id'):
            await connection.exchange(REQUEST, b'own')

    run(answer_with(b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx'), act)


@pytest.mark.parametrize(
    'cut',
    (
        b'HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 9\r\n\r\nhalf',
        b'HTTP/1.1 200 OK\r\nx-id: own\r\ntransfer-encoding: chunked\r\n\r\n'
        b'4\r\nhalf\r\n',
        b'HTTP/1.1 200 OK\r\nx-id: own\r\n',
        b'HTTP/1.1 102 Processing\r\n\r\n',
        b'',
    ),
)
def test_truncated_answer_is_incomplete(cut):
    async def act(connection):
        with pytest.raises(IncompleteAnswerError):
            await connection.exchange(REQUEST, b'own')

    run(answer_with(cut, keep=False), act)


class FakeOwner:
    def __init__(self, budget):
        self.buffer_budget = budget
        self.why = ''

    def terminate(self, why):
        self.why = why


def test_owner_of_the_largest_head_is_terminated():
    budget = BufferBudget(max_bytes=100)
    small, large, last = (FakeOwner(budget) for _holder in range(3))
    budget.set_usage(small, 10, BufferKind.HEAD)
    budget.set_usage(large, 80, BufferKind.HEAD)
    budget.set_usage(last, 20, BufferKind.HEAD)
    assert (bool(small.why), bool(large.why), bool(last.why)) == (0, 1, 0)
    assert budget.total_bytes == 30
    budget.clear(small)
    budget.clear(last)
    assert budget.total_bytes == 0


@pytest.mark.parametrize(
    'kind', (BufferKind.RECEIVED, BufferKind.COMPLETE, BufferKind.UNREAD)
)
def test_no_owner_of_another_kind_is_terminated_for_room(kind):
    """Guards against resets of requests that run at targets (review/4)."""
    budget = BufferBudget(max_bytes=100)
    running, last = FakeOwner(budget), FakeOwner(budget)
    budget.set_usage(running, 80, kind)
    budget.set_usage(last, 40, BufferKind.COMPLETE)
    assert (running.why, last.why) == ('', '')
    assert not budget.has_room()
