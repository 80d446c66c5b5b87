"""Answers that are cut or repeated at each byte of theirs."""

import asyncio

import pytest

from tests.fleetdata import make_opening
from toucanhall.web.client import (
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


class Wire(asyncio.Transport):
    """A connection whose other end is the test."""

    def __init__(self, connection):
        super().__init__()
        self.connection = connection
        self.closing = False

    def get_extra_info(self, _name, default=None):
        return Options()

    def write(self, _sent):
        """Take a request."""

    def is_closing(self):
        return self.closing

    def close(self):
        self.closing = True

    abort = close


class Options:
    """The options of a socket that there is none of."""

    def setsockopt(self, *_option):
        """Take an option."""


def connect():
    connection = ServerConnection(settings=make_opening(id_header=b'x-id'))
    connection.connection_made(Wire(connection))
    return connection


def ask(connection):
    return asyncio.ensure_future(connection.exchange(REQUEST, b'own'))


async def end(connection, error=None):
    """End the connection as its peer did."""
    await asyncio.sleep(0)
    connection.connection_lost(error)


def play_cut(answer, cut, error):
    async def act():
        connection = connect()
        asked = ask(connection)
        await asyncio.sleep(0)
        connection.data_received(answer[:cut])
        await end(connection, error)
        return await asyncio.gather(asked, return_exceptions=True)

    (found,) = asyncio.run(act())
    return found


@pytest.mark.parametrize('name', OWN)
@pytest.mark.parametrize('error', (None, ConnectionResetError()))
def test_answer_that_is_cut_at_any_byte_is_not_whole(name, error):
    answer = OWN[name]
    outcomes = [play_cut(answer, cut, error) for cut in range(len(answer))]
    assert all(isinstance(found, IncompleteAnswerError) for found in outcomes)
    assert play_cut(answer, len(answer), error).body == b'halfwhole'


@pytest.mark.parametrize('cut', range(1, 9))
def test_answer_without_a_length_is_whole_at_an_end_but_not_at_a_reset(cut):
    answer = HEAD % b'own' + b'\r\nhalfwhole'
    ended = play_cut(answer, len(answer), None)
    reset = play_cut(answer, len(answer) - cut, ConnectionResetError())
    assert ended.body == b'halfwhole'
    assert isinstance(reset, IncompleteAnswerError)


def play_copy(first, copy, split, second):
    """Play two requests; the copy's bytes from `split` on come late."""

    async def act():
        connection = connect()
        asked = ask(connection)
        await asyncio.sleep(0)
        connection.data_received(first + copy[:split])
        await asked
        again = ask(connection)
        await asyncio.sleep(0)
        connection.data_received(copy[split:] + second)
        await end(connection)
        return await asyncio.gather(again, return_exceptions=True)

    (found,) = asyncio.run(act())
    return found


@pytest.mark.parametrize('name', EARLIER)
def test_late_copy_is_never_the_next_answer_wherever_it_is_split(name):
    copy = EARLIER[name]
    second = HEAD % b'own' + b'content-length: 4\r\n\r\nnext'
    first = HEAD % b'own' + b'content-length: 5\r\n\r\nfirst'
    for split in range(len(copy) + 1):
        found = play_copy(first, copy, split, second)
        is_refused = isinstance(found, IncompleteAnswerError | UnreachableError)
        assert is_refused or found.body == b'next'
