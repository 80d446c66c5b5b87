"""Tests of calls to a store whose answers are duplicated and late."""

import asyncio
import json

import pytest

from tests.fleetdata import make_store
from toucanhall.fleet.model import Address

ADDRESS = Address('127.64.207.1', 8382)
ITEM = {'metadata': {'name': 'east-a', 'revision': 3}, 'spec': {}}


def make_answer(content):
    body = json.dumps(content).encode()
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )


class DuplicatingStore:
    """Answers by kind, and sends each answer a second time.

    The copy is sent when the next request arrives on the same connection.
    """

    def __init__(self):
        self.connections = 0
        self.answers = {
            'evacuations': make_answer({'as_of': 9, 'items': [ITEM]}),
            'servers': make_answer({'as_of': 5, 'items': []}),
        }

    async def serve(self, reader, writer):
        self.connections += 1
        copy = b''
        while head := await read_head(reader):
            own = self.find_answer(head)
            writer.write(copy)
            await asyncio.sleep(0.02)
            writer.write(own)
            copy = own

    def find_answer(self, head):
        for kind, answer in self.answers.items():
            if kind in head:
                return answer
        return make_answer({})


async def read_head(reader):
    """Return the head of a request, empty at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return ''
    length = head.lower().partition(b'content-length: ')[2].split(b'\r\n')[0]
    await reader.readexactly(int(length or 0))
    return head.decode()


async def read_kinds(store, kinds):
    """Read kinds one after the other and return their revisions."""
    if not kinds:
        return []
    table = await store.read(kinds[0])
    return [table.revision.number, *await read_kinds(store, kinds[1:])]


def run(act):
    async def start():
        standin = DuplicatingStore()
        server = await asyncio.start_server(standin.serve, *ADDRESS)
        store = make_store(ADDRESS)
        try:
            return await act(store), standin.connections
        finally:
            server.close()

    return asyncio.run(start())


@pytest.mark.parametrize(
    ('kinds', 'revisions'),
    (
        (('evacuations', 'servers'), [9, 5]),
        (('servers', 'evacuations'), [5, 9]),
        (('servers', 'evacuations', 'servers'), [5, 9, 5]),
    ),
)
def test_late_copy_is_not_the_answer_to_another_kind(kinds, revisions):
    found, _connections = run(lambda store: read_kinds(store, kinds))
    assert found == revisions


def test_late_copy_does_not_acknowledge_a_write():
    async def act(store):
        await store.create('vms', 'vm-1', {})
        await store.read('servers')
        await store.create('vms', 'vm-1', {})

    _found, connections = run(act)
    assert connections == 3


def test_connection_is_reused_for_reads_of_one_kind():
    async def act(store):
        await store.read('servers')
        await store.read('servers')

    _found, connections = run(act)
    assert connections == 1
