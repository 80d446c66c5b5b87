"""Tests of how the tables of the store are followed, against its stand-in."""

import asyncio

from standins.site.documents import make_target_entry
from standins.site.store import StoreStandin
from toucanhall.fleet.tables import REREGISTRATION_SECONDS, FleetTables
from tests.fleetdata import make_store
from toucanhall.fleet.model import Address
from toucanhall.platform.store_watch import StoreWatch

ADDRESS = Address('127.64.202.1', 8384)
LAPSE_AFTER = 3.0  # seconds, two heartbeats of a target
NOTICE = 2.2  # seconds in which an absence is noticed: a probe and its time


def _fail_all_but_watches(request):
    return None if b'watch=' in request.path else 503


def run(act, journal):
    async def start():
        standin = StoreStandin()
        await standin.start(*ADDRESS)
        standin.put(
            'servers', 't1', make_target_entry('127.0.0.1:9000', 'east-a')
        )
        fleet_tables = FleetTables(on_change=lambda _table: None)
        follower = StoreWatch(
            store=make_store(ADDRESS),
            fleet_tables=fleet_tables,
            journal=journal,
            lapse_seconds=LAPSE_AFTER,
        )
        follower.start()
        await asyncio.sleep(0.3)
        try:
            return await act(standin, fleet_tables)
        finally:
            follower.stop()
            standin.stop()

    return asyncio.run(start())


def test_targets_dropped_by_a_watch_that_outlasts_the_store_are_kept(journal):
    async def act(standin, fleet_tables):
        loop = asyncio.get_running_loop()
        assert set(fleet_tables.targets) == {'t1'}
        standin.decide_fault = _fail_all_but_watches
        await asyncio.sleep(LAPSE_AFTER + 0.1)
        standin.remove('servers', 't1')
        await asyncio.sleep(0.5)
        assert set(fleet_tables.targets) == {'t1'}
        standin.set_fault(lambda _request: None)
        await asyncio.sleep(NOTICE)
        fleet_tables.drop_expired_targets(loop.time() + REREGISTRATION_SECONDS)
        assert not fleet_tables.targets

    run(act, journal)


def test_target_that_leaves_while_the_store_answers_is_dropped(journal):
    async def act(standin, fleet_tables):
        await asyncio.sleep(1.5)
        standin.remove('servers', 't1')
        await asyncio.sleep(0.5)
        assert not fleet_tables.targets

    run(act, journal)
