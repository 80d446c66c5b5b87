"""Tests of answers that are truncated or duplicated at any byte."""

import asyncio

import pytest

from tests.fleetdata import make_opening
from toucanhall.web.client import (
    ClosedByPeerError,
    IncompleteAnswerError,
    ServerConnection,
    UnreachableError,
)

REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\nx-id: own\r\n\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nx-id: %s\r\n'
CHUNKS = b'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n5\r\nwhole\r\n0\r\n'
ANSWERS = {
    'length': HEAD + b'content-length: 9\r\n\r\nhalfwhole',
    'chunks': HEAD + CHUNKS + b'\r\n',
    'trailers': HEAD + CHUNKS + b'x-sum: 1\r\n\r\n',
    'interim': b'HTTP/1.1 100 Continue\r\n\r\n'
    + HEAD
    + b'content-length: 9\r\n\r\nhalfwhole',
}
OWN = {name: answer % b'own' for name, answer in ANSWERS.items()}
EARLIER = {name: answer % b'earlier' for name, answer in ANSWERS.items()}


class FakeTransport(asyncio.Transport):
    """A transport without a socket; the test plays the peer."""

    def __init__(self, connection):
        super().__init__()
        self.connection = connection
        self.is_closed = False

    def get_extra_info(self, _name, default=None):
        return FakeSocket()

    def write(self, _sent):
        """Discard a request."""

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    abort = close


class FakeSocket:
    """Socket without effect."""

    def setsockopt(self, *_option):
        """Discard an option."""


def connect():
    connection = ServerConnection(settings=make_opening(id_header=b'x-id'))
    connection.connection_made(FakeTransport(connection))
    return connection


def start_exchange(connection, request_id=b'own'):
    return asyncio.ensure_future(connection.exchange(REQUEST, request_id))


async def close_by_peer(connection, error=None):
    """End the connection as its peer would."""
    await asyncio.sleep(0)
    connection.connection_lost(error)


def exchange_truncated(answer, cut, error):
    async def act():
        connection = connect()
        first_exchange = start_exchange(connection)
        await asyncio.sleep(0)
        connection.data_received(answer[:cut])
        await close_by_peer(connection, error)
        return await asyncio.gather(first_exchange, return_exceptions=True)

    (found,) = asyncio.run(act())
    return found


@pytest.mark.parametrize('name', OWN)
@pytest.mark.parametrize('error', (None, ConnectionResetError()))
def test_answer_truncated_at_any_byte_is_incomplete(name, error):
    answer = OWN[name]
    outcomes = [
        exchange_truncated(answer, cut, error) for cut in range(len(answer))
    ]
    assert all(isinstance(found, IncompleteAnswerError) for found in outcomes)
    assert exchange_truncated(answer, len(answer), error).body == b'halfwhole'


@pytest.mark.parametrize('cut', range(1, 9))
def test_answer_without_length_ends_by_close_but_not_by_reset(cut):
    answer = HEAD % b'own' + b'\r\nhalfwhole'
    ended = exchange_truncated(answer, len(answer), None)
    reset = exchange_truncated(
        answer, len(answer) - cut, ConnectionResetError()
    )
    assert ended.body == b'halfwhole'
    assert isinstance(reset, IncompleteAnswerError)


def exchange_duplicated(first, copy, split, second):
    """Run two exchanges; the copy from `split` on arrives in the second.

    The first is of the request `earlier`, the second of `own`.
    """

    async def act():
        connection = connect()
        first_exchange = start_exchange(connection, b'earlier')
        await asyncio.sleep(0)
        connection.data_received(first + copy[:split])
        await first_exchange
        second_exchange = start_exchange(connection)
        await asyncio.sleep(0)
        connection.data_received(copy[split:] + second)
        await close_by_peer(connection)
        return await asyncio.gather(second_exchange, return_exceptions=True)

    (found,) = asyncio.run(act())
    return found


@pytest.mark.parametrize('name', EARLIER)
def test_late_copy_before_the_next_answer_is_skipped(name):
    second = HEAD % b'own' + b'content-length: 4\r\n\r\nnext'
    first = HEAD % b'earlier' + b'content-length: 5\r\n\r\nfirst'
    assert exchange_duplicated(first, EARLIER[name], 0, second).body == b'next'


@pytest.mark.parametrize('name', EARLIER)
def test_late_copy_split_anywhere_is_not_the_next_answer(name):
    copy = EARLIER[name]
    second = HEAD % b'own' + b'content-length: 4\r\n\r\nnext'
    first = HEAD % b'earlier' + b'content-length: 5\r\n\r\nfirst'
    for split in range(len(copy) + 1):
        found = exchange_duplicated(first, copy, split, second)
        is_refused = isinstance(found, IncompleteAnswerError | UnreachableError)
        assert is_refused or found.body == b'next'


REFUSALS = {
    'with its id': b'HTTP/1.1 503 Busy\r\nx-id: earlier\r\n'
    b'content-length: 0\r\n\r\n',
    'without an id': b'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n',
    'without length': b'HTTP/1.1 503 Busy\r\n\r\n',
    'other status': b'HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n',
}


@pytest.mark.parametrize('refusal', REFUSALS.values(), ids=REFUSALS)
def test_late_copy_of_a_refusal_is_not_the_next_answer(refusal):
    second = HEAD % b'own' + b'content-length: 4\r\n\r\nnext'
    first = HEAD % b'earlier' + b'content-length: 5\r\n\r\nfirst'
    for split in range(len(refusal) + 1):
        found = exchange_duplicated(first, refusal, split, second)
        is_refused = isinstance(found, IncompleteAnswerError | UnreachableError)
        assert is_refused or found.body == b'next'


def test_first_answer_on_a_connection_may_lack_the_id_of_a_refusal():
    found = exchange_truncated(REFUSALS['without an id'], None, None)
    assert found.status == 503


def test_close_after_a_skipped_answer_is_one_by_the_peer():
    found = exchange_truncated(EARLIER['length'], None, None)
    assert isinstance(found, ClosedByPeerError)


def test_answer_with_an_id_is_not_for_a_request_without_one():
    async def act():
        connection = connect()
        exchange = asyncio.ensure_future(connection.exchange(REQUEST, b''))
        await asyncio.sleep(0)
        connection.data_received(EARLIER['length'])
        await close_by_peer(connection)
        return await asyncio.gather(exchange, return_exceptions=True)

    (found,) = asyncio.run(act())
    assert isinstance(found, IncompleteAnswerError)
