"""Tests of answers that a target cuts off, on real sockets.

Failure that they guard against: an answer that ends early looks whole.
"""

import asyncio
import struct
from socket import SO_LINGER, SOL_SOCKET

import pytest

from tests.fleetdata import make_opening
from toucanhall.fleet.model import Address
from toucanhall.web.client import (
    IncompleteAnswerError,
    UnreachableError,
    open_connection,
)

ADDRESS = Address('127.64.210.1', 9000)
REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\nx-id: own\r\n\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nx-id: own\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
EARLIER = b'HTTP/1.1 200 OK\r\nx-id: old\r\ncontent-length: 3\r\n\r\nold'
ANSWERS = {
    'length': HEAD + b'content-length: 5\r\n\r\nwhole',
    'chunks': HEAD + CHUNKED + b'5\r\nwhole\r\n0\r\n\r\n',
    'interim': INTERIM + HEAD + b'content-length: 5\r\n\r\nwhole',
    'other before': EARLIER + HEAD + b'content-length: 5\r\n\r\nwhole',
    'length last': HEAD + b'server: a\r\ncontent-length: 5\r\n\r\nwhole',
}
# Ends with the connection: whole from the end of the head on.
WITHOUT_LENGTH = HEAD + b'server: some-name\r\n\r\n'


async def exchange_cut(answer, cut, *, is_reset):
    """Return the body that the client takes for whole, None for none."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer[:cut])
        await writer.drain()
        if is_reset:
            writer.get_extra_info('socket').setsockopt(
                SOL_SOCKET, SO_LINGER, struct.pack('ii', 1, 0)
            )
        writer.close()

    server = await asyncio.start_server(serve, *ADDRESS)
    connection = await open_connection(
        ADDRESS, seconds=1.0, settings=make_opening(id_header=b'x-id')
    )
    try:
        reply = await connection.exchange(REQUEST, b'own')
    except (IncompleteAnswerError, UnreachableError):
        return None
    finally:
        connection.abort()
        server.close()
    return reply.body


def exchange_all_cuts(answer, *, is_reset):
    return [
        asyncio.run(exchange_cut(answer, cut, is_reset=is_reset))
        for cut in range(len(answer))
    ]


@pytest.mark.parametrize('is_reset', (True, False))
@pytest.mark.parametrize('answer', ANSWERS.values(), ids=ANSWERS)
def test_answer_cut_at_any_byte_is_not_whole(answer, is_reset):
    assert set(exchange_all_cuts(answer, is_reset=is_reset)) == {None}


@pytest.mark.parametrize('is_reset', (True, False))
def test_head_cut_at_any_byte_does_not_end_with_the_connection(is_reset):
    found = exchange_all_cuts(WITHOUT_LENGTH, is_reset=is_reset)
    assert set(found) == {None}
