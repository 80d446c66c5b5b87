"""Tests of watching the tables of the store, with its stand-in."""

import asyncio

from standins.site.documents import make_target_entry
from standins.site.store import StoreStandin
from tests.fleetdata import make_store
from toucanhall.fleet.model import Address
from toucanhall.fleet.revisions import Revision
from toucanhall.fleet.tables import REREGISTRATION_SECONDS, FleetTables
from toucanhall.platform.call_outcomes import PROBE, CallOutcomes
from toucanhall.platform.store import StoreError
from toucanhall.platform.store_watch import StoreWatch

ADDRESS = Address('127.64.202.1', 8384)
MIN_OUTAGE_SECONDS = 3.0  # two heartbeats of a target
# Within which an outage is noticed: the interval of probes and their timeout.
DETECTION_SECONDS = 2.2


def fail_all_but_watches(request):
    return None if b'watch=' in request.path else 503


def fail_all_but_targets(request):
    return None if b'servers' in request.path else 503


def run(act, journal):
    async def start():
        standin = StoreStandin()
        await standin.start(*ADDRESS)
        standin.put(
            'servers', 't1', make_target_entry('127.0.0.1:9000', 'east-a')
        )
        fleet_tables = FleetTables(on_change=lambda _table: None)
        store_watch = StoreWatch(
            store=make_store(ADDRESS),
            fleet_tables=fleet_tables,
            journal=journal,
            lapse_seconds=MIN_OUTAGE_SECONDS,
        )
        store_watch.start()
        await asyncio.sleep(0.3)
        try:
            return await act(standin, fleet_tables)
        finally:
            store_watch.stop()
            standin.stop()

    return asyncio.run(start())


def test_targets_dropped_during_an_outage_are_kept(journal):
    # The watch stays open and reports the removal, while all other calls fail.
    async def act(standin, fleet_tables):
        loop = asyncio.get_running_loop()
        assert set(fleet_tables.targets) == {'t1'}
        standin.decide_fault = fail_all_but_watches
        await asyncio.sleep(MIN_OUTAGE_SECONDS + 0.1)
        standin.remove('servers', 't1')
        await asyncio.sleep(0.5)
        assert set(fleet_tables.targets) == {'t1'}
        standin.set_fault(lambda _request: None)
        await asyncio.sleep(DETECTION_SECONDS)
        fleet_tables.drop_expired_targets(loop.time() + REREGISTRATION_SECONDS)
        assert not fleet_tables.targets

    run(act, journal)


def test_target_removed_while_the_store_answers_is_dropped(journal):
    async def act(standin, fleet_tables):
        await asyncio.sleep(1.5)
        standin.remove('servers', 't1')
        await asyncio.sleep(0.5)
        assert not fleet_tables.targets

    run(act, journal)


def test_watch_that_waits_is_begun_anew_when_other_calls_fail(journal):
    # The watch of the targets waits, and its answer would never come.
    async def act(standin, _fleet_tables):
        standin.calls.clear()
        standin.set_fault(fail_all_but_targets)
        await asyncio.sleep(DETECTION_SECONDS)
        assert 'GET /toucanhall/objects/servers' in standin.calls

    run(act, journal)


def test_outage_ends_for_a_vm_that_stops_watching(journal):
    async def act(standin, fleet_tables):
        loop = asyncio.get_running_loop()
        outcomes = CallOutcomes(
            fleet_tables=fleet_tables, journal=journal, lapse_seconds=3.0
        )
        outcomes.record_failure(PROBE, PROBE, StoreError('refused'))
        outcomes.forget_calls()
        outcomes.end_outage()
        later = loop.time() + REREGISTRATION_SECONDS + 0.1
        fleet_tables.replace_targets(
            Revision(standin.era, standin.revision + 1), {}, later
        )
        assert not fleet_tables.targets

    run(act, journal)


def test_outage_goes_on_for_a_vm_that_does_not_watch(journal):
    async def act(standin, fleet_tables):
        store_watch = StoreWatch(
            store=make_store(ADDRESS),
            fleet_tables=fleet_tables,
            journal=journal,
            lapse_seconds=MIN_OUTAGE_SECONDS,
        )
        standin.set_fault(lambda _request: 503)
        assert await store_watch.probe.check()
        store_watch.stop()
        later = asyncio.get_running_loop().time() + 60
        revision = Revision(standin.era, standin.revision + 1)
        fleet_tables.replace_targets(revision, {}, later)
        assert set(fleet_tables.targets) == {'t1'}

    run(act, journal)
