"""Tests of errors that must stop neither heartbeats nor the watch."""

import asyncio

import pytest

from standins.site.documents import make_target_entry
from standins.site.store import StoreStandin
from tests.fleetdata import make_environment, make_member, make_store
from toucanhall.edge.peer_exchange import PeerExchange
from toucanhall.edge.target_state import make_target_state
from toucanhall.fleet.model import Address
from toucanhall.fleet.revisions import Revision
from toucanhall.fleet.tables import FleetTables
from toucanhall.limits.quota import Quotas
from toucanhall.platform.store import StoreError
from toucanhall.platform.store_watch import StoreWatch
from toucanhall.platform.table_loader import TableLoader

ADDRESS = Address('127.64.203.1', 8382)


@pytest.mark.parametrize(
    'body',
    (
        b'{}',
        b'[]',
        b'{"items": 5, "as_of": 1}',
        b'{"items": [{}], "as_of": 1}',
        b'{"items": [{"metadata": {"name": "t1"}}], "as_of": 1}',
        b'{"items": [], "as_of": "x"}',
        b'{"items": [], "events": [{}], "as_of": null}',
    ),
)
@pytest.mark.parametrize('is_watch', (False, True))
def test_malformed_answer_of_the_store_raises_a_store_error(
    body,
    is_watch,
):
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
        )
        writer.write(body)
        await writer.drain()

    async def start():
        server = await asyncio.start_server(serve, *ADDRESS)
        try:
            with pytest.raises(StoreError):
                if is_watch:
                    await make_store(ADDRESS).watch(
                        'servers', Revision(0, 1), 0.1
                    )
                else:
                    await make_store(ADDRESS).read('servers')
        finally:
            server.close()

    asyncio.run(start())


def test_watch_continues_after_an_unexpected_error(journal, monkeypatch):
    take = TableLoader.take
    failures = []

    def fail_once(tables, kind, table, *, is_whole):
        if kind == 'servers' and not failures:
            failures.append(kind)
            raise ValueError('object of an unexpected form')
        take(tables, kind, table, is_whole=is_whole)

    monkeypatch.setattr(TableLoader, 'take', fail_once)

    async def start():
        standin = StoreStandin()
        await standin.start(*ADDRESS)
        standin.put('servers', 't1', make_target_entry('127.0.0.1:9', 'east-a'))
        fleet_tables = FleetTables(on_change=lambda _table: None)
        follower = StoreWatch(
            store=make_store(ADDRESS),
            fleet_tables=fleet_tables,
            journal=journal,
            lapse_seconds=3.0,
        )
        follower.start()
        await asyncio.sleep(1.5)
        follower.stop()
        standin.stop()
        return set(fleet_tables.targets)

    assert asyncio.run(start()) == {'t1'}
    assert failures


def test_heartbeats_continue_after_an_unexpected_error(journal):
    heartbeats = []

    def fail():
        heartbeats.append(1)
        raise ValueError('figures of an unexpected form')

    async def start():
        loop = asyncio.get_running_loop()
        errors = []
        loop.set_exception_handler(lambda _loop, found: errors.append(found))
        environment = make_environment()
        peers = PeerExchange(
            environment=environment,
            fleet_tables=FleetTables(on_change=lambda _table: None),
            quotas=Quotas(bounds=environment.bounds, beat=0.8, now=loop.time()),
            journal=journal,
            limits=make_target_state(environment, journal).limits,
            get_own_member=make_member,
            get_store_age=lambda: None,
            on_revisions=lambda _source, _revisions: None,
            on_heartbeat=fail,
        )
        await peers.start()
        await asyncio.sleep(1.0)
        return errors

    errors = asyncio.run(start())
    assert len(heartbeats) >= 3
    assert len(errors) == len(heartbeats)
