"""Tests of at-most-once execution under faults, with real processes."""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import urllib3

from standins.fleet import Fleet, name_link, wait_until
from tests.fleet_conditions import has_all_peers_alive
from toucanhall.idempotency import name_claim

CATALOGUE_PATH = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'
DEADLINE_SECONDS = 3
TEAM = 'hostels'


@pytest.fixture(scope='module', name='fleet')
def start_fleet(tmp_path_factory) -> Iterator[Fleet]:
    """Start a fleet behind a relay; its bookings have a short deadline."""
    short = f'"kind": "once", "deadline_seconds": {DEADLINE_SECONDS}'
    catalogue = tmp_path_factory.mktemp('catalogue') / 'once.jsonc'
    catalogue.write_text(
        CATALOGUE_PATH.read_text().replace('"kind": "once"', short)
    )
    fleet = Fleet(catalogue=catalogue, relayed=True)
    try:
        fleet.start()
        fleet.apply()
        wait_until(
            lambda: has_all_peers_alive(fleet, fleet.vms[0]), 'all peers alive'
        )
        yield fleet
    finally:
        fleet.stop()


@pytest.fixture(scope='module', name='key')
def grant_key(fleet: Fleet) -> str:
    """Grant a key and wait until every VM accepts it."""
    key = fleet.grant('once', TEAM)
    for vm in fleet.vms:
        wait_until(
            lambda vm=vm: book(fleet, vm, key, 'probe').status in {200, 409},
            f'key on {vm.name}',
        )
    return key


def book(fleet, vm, key, seat, body=b'one seat'):
    """Send a booking with the seat as its idempotency key."""
    return fleet.http.request(
        'POST',
        f'{vm.url}/bookings',
        body=body,
        headers={'X-Api-Key': key, 'Idempotency-Key': seat},
    )


def count_runs(fleet, seat):
    """Return how many times targets ran a booking."""
    return sum(
        ran['headers'].get('Idempotency-Key') == seat
        for ran in fleet.read_journals()
    )


def has_claim(fleet, seat):
    """Return whether the store has the claim of a booking."""
    name = name_claim(TEAM, '/bookings', seat)
    response = fleet.http.request('GET', f'{fleet.platform}/objects/{name}')
    return response.status == 200


def is_refusal(answer, reason, ran):
    """Return whether a refusal has this reason and says this of its run."""
    return (
        answer.json()['reason'] == reason
        and answer.headers['Toucanhall-Ran'] == ran
    )


def test_concurrent_bookings_with_one_key_run_once(fleet, key):
    with ThreadPoolExecutor(12) as pool:
        answers = list(
            pool.map(
                lambda vm: book(fleet, vm, key, 'race'),
                fleet.vms * 2,
            )
        )
    assert count_runs(fleet, 'race') == 1
    bodies = {answer.data for answer in answers if answer.status == 200}
    assert len(bodies) == 1
    assert all(
        answer.status == 200 or is_refusal(answer, 'claim-open', 'maybe')
        for answer in answers
    )


def test_same_key_with_another_body_is_refused(fleet, key):
    book(fleet, fleet.vms[0], key, 'other-body')
    answer = book(fleet, fleet.vms[1], key, 'other-body', b'two seats')
    assert is_refusal(answer, 'claim-mismatch', 'no')
    assert count_runs(fleet, 'other-body') == 1


def test_booking_runs_once_when_the_store_loses_replies(fleet, key):
    fleet.switch('mode', 'lose-replies')
    try:
        first = book(fleet, fleet.vms[0], key, 'lossy')
    finally:
        fleet.switch('mode', 'up')
    assert first.status == 200
    wait_until(
        lambda: book(fleet, fleet.vms[1], key, 'lossy').data == first.data,
        'outcome in the store',
    )
    assert count_runs(fleet, 'lossy') == 1


def test_booking_is_refused_while_the_store_is_down(fleet, key):
    fleet.switch('mode', 'down')
    try:
        refused = book(fleet, fleet.vms[0], key, 'outage')
    finally:
        fleet.switch('mode', 'up')
    assert is_refusal(refused, 'store-unavailable', 'no')
    assert int(refused.headers['Retry-After']) > 0
    assert count_runs(fleet, 'outage') == 0
    assert book(fleet, fleet.vms[0], key, 'outage').status == 200
    assert count_runs(fleet, 'outage') == 1


def test_booking_is_not_repeated_after_a_truncated_answer(fleet, key):
    fleet.configure_target('guide-2', mode='cut')
    try:
        failed = book(fleet, fleet.vms[1], key, 'cut')
    finally:
        fleet.configure_target('guide-2', mode='well')
    assert is_refusal(failed, 'target-failed', 'maybe')
    again = book(fleet, fleet.vms[2], key, 'cut')
    assert is_refusal(again, 'claim-open', 'maybe')
    assert count_runs(fleet, 'cut') == 1


def test_booking_fails_when_its_target_is_killed(fleet, key):
    fleet.signal('guide-4', signal.SIGSTOP)
    with ThreadPoolExecutor(1) as pool:
        booking = pool.submit(book, fleet, fleet.vms[3], key, 'killed')
        wait_until(lambda: has_claim(fleet, 'killed'), 'claim')
        # Time for the request to reach the backlog of the stopped target.
        time.sleep(0.5)
        fleet.kill('guide-4')
        failed = booking.result()
    fleet.start_target('guide-4')
    assert is_refusal(failed, 'target-failed', 'maybe')
    assert count_runs(fleet, 'killed') == 0


def test_claim_of_a_killed_vm_stays_open(fleet, key):
    fleet.signal('guide-5', signal.SIGSTOP)
    vm = fleet.vms[4]
    with ThreadPoolExecutor(1) as pool:
        booking = pool.submit(book, fleet, vm, key, 'orphan')
        wait_until(lambda: has_claim(fleet, 'orphan'), 'claim')
        fleet.kill(vm.name)
        with pytest.raises(urllib3.exceptions.HTTPError):
            booking.result()
    fleet.signal('guide-5', signal.SIGCONT)
    again = book(fleet, fleet.vms[5], key, 'orphan')
    assert is_refusal(again, 'claim-open', 'maybe')
    assert count_runs(fleet, 'orphan') <= 1
    fleet.start_vm(vm)
    wait_until(
        lambda: fleet.is_ready(vm.url), f'{vm.name} ready after its restart'
    )


def test_booking_is_not_sent_by_a_vm_paused_past_its_deadline(fleet, key):
    vm = fleet.vms[2]
    link = name_link(vm.zone, 'platform')
    fleet.set_link_modes({link: 'slow'})
    with ThreadPoolExecutor(1) as pool:
        booking = pool.submit(book, fleet, vm, key, 'paused')
        wait_until(lambda: has_claim(fleet, 'paused'), 'claim')
        fleet.signal(vm.name, signal.SIGSTOP)
        time.sleep(DEADLINE_SECONDS + 0.5)
        fleet.set_link_modes({link: 'open'})
        fleet.signal(vm.name, signal.SIGCONT)
        refused = booking.result()
    assert is_refusal(refused, 'deadline', 'no')
    assert count_runs(fleet, 'paused') == 0
    wait_until(
        lambda: book(fleet, fleet.vms[0], key, 'paused').status == 200,
        'claim released',
    )
    assert count_runs(fleet, 'paused') == 1


def test_booking_is_not_repeated_after_a_lost_hop_reply(fleet, key):
    vm = fleet.vms[0]
    fleet.kill('guide-1')
    links = [
        name_link(vm.zone, zone)
        for zone in fleet.catalogue['zones']
        if zone != vm.zone
    ]
    fleet.set_link_modes(dict.fromkeys(links, 'lose-replies'))
    try:
        failed = book(fleet, vm, key, 'hop')
    finally:
        fleet.set_link_modes(dict.fromkeys(links, 'open'))
        fleet.start_target('guide-1')
    assert is_refusal(failed, 'target-failed', 'maybe')
    assert count_runs(fleet, 'hop') == 1
