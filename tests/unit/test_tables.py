"""Tests of tables that VMs read from each other.

Failures they guard against: a VM that starts reads the same tables from many
others, or from a remote region without need; or one that does not answer keeps
it from its tables.
"""

import asyncio
import os
import zlib

import pytest

from tests.fleetdata import make_opening, make_target
from toucanhall.edge.peer_exchange import RevisionSource
from toucanhall.edge.table_exchange import TableExchange
from toucanhall.fleet.revisions import Revision, Revisions
from toucanhall.fleet.tables import FleetTables
from toucanhall.observe.journal import Journal
from toucanhall.web.messages import Request

PORT = 9003
REGIONS = {
    'east-a': 'east',
    'east-b': 'east',
    'west-a': 'west',
    'west-b': 'west',
}
TARGETS = {f't{index}': make_target(f't{index}') for index in range(800)}
NEWER = Revisions(0, Revision(1, 7))


class Peer:
    """A VM that has the tables; `behaviour` is how it answers."""

    def __init__(self, *, number: int, zone: str, behaviour: str = 'answers'):
        self.source = RevisionSource(
            f'vm-{number}', zone, f'127.64.204.{number}', is_relayed=False
        )
        self.behaviour = behaviour
        self.reads = 0
        self.bytes = 0
        self.tables: TableExchange | None = None

    async def start(self):
        self.tables = make_tables(self.source.zone)
        return await asyncio.start_server(self.serve, self.source.ip, PORT)

    async def serve(self, reader, writer):
        line = await reader.readline()
        await reader.readuntil(b'\r\n\r\n')
        self.reads += 1
        if self.behaviour == 'silent':
            return
        path = line.split()[1]
        body = self.tables.answer(Request(b'GET', path, (), b'')).body
        self.bytes = len(body)
        if self.behaviour == 'not packed':
            body = zlib.decompress(body)
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
        if self.behaviour == 'truncates':
            body = body[: len(body) // 2]
        writer.write(head + body)
        await writer.drain()
        writer.close()


def make_tables(zone, fleet_tables=None):
    if fleet_tables is None:
        fleet_tables = FleetTables(on_change=lambda _table: None)
        fleet_tables.replace_targets(NEWER.targets, TARGETS, 0.0)
    return TableExchange(
        fleet_tables=fleet_tables,
        journal=Journal(
            vm='vm-own', descriptor=os.open(os.devnull, os.O_WRONLY)
        ),
        zone=zone,
        regions=REGIONS,
        port=PORT,
        settings=make_opening(),
        on_applied=lambda _source: None,
    )


def read_targets(peers, seconds):
    """Start a VM that learns of all peers at once; return its targets."""

    async def run():
        servers = await asyncio.gather(*(peer.start() for peer in peers))
        fleet_tables = FleetTables(on_change=lambda _table: None)
        tables = make_tables('east-a', fleet_tables)
        for peer in peers:
            tables.fetch_if_newer(peer.source, NEWER)
        await asyncio.sleep(seconds)
        for server in servers:
            server.close()
        return fleet_tables.targets

    return asyncio.run(run())


def make_peers(*zones, **behaviours):
    return [
        Peer(
            number=number,
            zone=zone,
            behaviour=behaviours.get(f'vm_{number}', 'answers'),
        )
        for number, zone in enumerate(zones, 1)
    ]


def test_vm_that_starts_reads_the_tables_once():
    peers = make_peers('west-a', 'west-b', 'west-a', 'east-b', 'east-b')
    assert read_targets(peers, 0.5) == TARGETS
    assert sum(peer.reads for peer in peers) == 1


@pytest.mark.parametrize(
    ('zones', 'nearest'),
    [
        (('west-a', 'east-b', 'east-a'), 3),
        (('west-a', 'east-b', 'west-b'), 2),
        (('west-a',), 1),
    ],
)
def test_tables_are_read_from_the_nearest_vm(zones, nearest):
    peers = make_peers(*zones)
    assert read_targets(peers, 0.5) == TARGETS
    assert [peer.reads for peer in peers] == [
        int(peer.source.vm == f'vm-{nearest}') for peer in peers
    ]


@pytest.mark.parametrize('behaviour', ('silent', 'truncates', 'not packed'))
def test_tables_are_read_elsewhere_when_the_nearest_vm_fails(behaviour):
    peers = make_peers('east-a', 'east-b', vm_1=behaviour)
    assert read_targets(peers, 0.8) == TARGETS
    assert [peer.reads for peer in peers] == [1, 1]


def test_tables_are_sent_compressed():
    peers = make_peers('east-b')
    read_targets(peers, 0.3)
    assert 0 < peers[0].bytes < 20_000
