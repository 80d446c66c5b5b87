"""Tests of at most once through real processes, lost replies and pauses."""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import urllib3

from standins.fleet import Fleet, name_line, wait_until
from tests.fleet_conditions import has_all_peers_alive
from toucanhall.idempotency import name_claim

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'
DEADLINE_SECONDS = 3
TEAM = 'hostels'


@pytest.fixture(scope='module', name='fleet')
def start_fleet(tmp_path_factory) -> Iterator[Fleet]:
    """Start a relayed fleet whose bookings have a short deadline."""
    short = f'"kind": "once", "deadline_seconds": {DEADLINE_SECONDS}'
    catalogue = tmp_path_factory.mktemp('catalogue') / 'once.jsonc'
    catalogue.write_text(EXAMPLE.read_text().replace('"kind": "once"', short))
    fleet = Fleet(catalogue=catalogue, relayed=True)
    try:
        fleet.start()
        fleet.apply()
        wait_until(
            lambda: has_all_peers_alive(fleet, fleet.vms[0]), 'peers heard'
        )
        yield fleet
    finally:
        fleet.stop()


@pytest.fixture(scope='module', name='key')
def grant_key(fleet: Fleet) -> str:
    """Grant a key that works on every VM."""
    key = fleet.grant('once', TEAM)
    for vm in fleet.vms:
        wait_until(
            lambda vm=vm: book(fleet, vm, key, 'probe').status in {200, 409},
            f'key on {vm.name}',
        )
    return key


def book(fleet, vm, key, seat, body=b'one seat'):
    """Book once, with the seat as idempotency key."""
    return fleet.http.request(
        'POST',
        f'{vm.url}/bookings',
        body=body,
        headers={'X-Api-Key': key, 'Idempotency-Key': seat},
    )


def count_runs(fleet, seat):
    """Return how often targets ran a booking."""
    return sum(
        ran['headers'].get('Idempotency-Key') == seat
        for ran in fleet.read_journals()
    )


def has_claim(fleet, seat):
    """Return whether the claim of a booking lies in the store."""
    name = name_claim(TEAM, '/bookings', seat)
    found = fleet.http.request('GET', f'{fleet.platform}/objects/{name}')
    return found.status == 200


def is_refused(answer, reason, ran):
    """Return whether an answer is a refusal that says whether it ran."""
    return (
        answer.json()['reason'] == reason
        and answer.headers['Toucanhall-Ran'] == ran
    )


def test_same_key_at_every_vm_at_once(fleet, key):
    with ThreadPoolExecutor(12) as pool:
        answers = list(
            pool.map(
                lambda vm: book(fleet, vm, key, 'race'),
                fleet.vms * 2,
            )
        )
    assert count_runs(fleet, 'race') == 1
    whole = {answer.data for answer in answers if answer.status == 200}
    assert len(whole) == 1
    assert all(
        answer.status == 200 or is_refused(answer, 'claim-open', 'maybe')
        for answer in answers
    )


def test_same_key_with_another_body(fleet, key):
    book(fleet, fleet.vms[0], key, 'other-body')
    answer = book(fleet, fleet.vms[1], key, 'other-body', b'two seats')
    assert is_refused(answer, 'claim-mismatch', 'no')
    assert count_runs(fleet, 'other-body') == 1


def test_store_loses_replies(fleet, key):
    fleet.switch('mode', 'lose-replies')
    try:
        first = book(fleet, fleet.vms[0], key, 'lossy')
    finally:
        fleet.switch('mode', 'up')
    assert first.status == 200
    wait_until(
        lambda: book(fleet, fleet.vms[1], key, 'lossy').data == first.data,
        'outcome stored',
    )
    assert count_runs(fleet, 'lossy') == 1


def test_store_down(fleet, key):
    fleet.switch('mode', 'down')
    try:
        refused = book(fleet, fleet.vms[0], key, 'outage')
    finally:
        fleet.switch('mode', 'up')
    assert is_refused(refused, 'store-unavailable', 'no')
    assert int(refused.headers['Retry-After']) > 0
    assert count_runs(fleet, 'outage') == 0
    assert book(fleet, fleet.vms[0], key, 'outage').status == 200
    assert count_runs(fleet, 'outage') == 1


def test_target_cuts_its_answer(fleet, key):
    fleet.switch_target('guide-2', mode='cut')
    try:
        failed = book(fleet, fleet.vms[1], key, 'cut')
    finally:
        fleet.switch_target('guide-2', mode='well')
    assert is_refused(failed, 'target-failed', 'maybe')
    again = book(fleet, fleet.vms[2], key, 'cut')
    assert is_refused(again, 'claim-open', 'maybe')
    assert count_runs(fleet, 'cut') == 1


def test_target_killed_in_the_middle(fleet, key):
    fleet.signal('guide-4', signal.SIGSTOP)
    with ThreadPoolExecutor(1) as pool:
        booking = pool.submit(book, fleet, fleet.vms[3], key, 'killed')
        wait_until(lambda: has_claim(fleet, 'killed'), 'claim')
        # The stopped target takes the request into its backlog and dies.
        time.sleep(0.5)
        fleet.kill('guide-4')
        failed = booking.result()
    fleet.start_target('guide-4')
    assert is_refused(failed, 'target-failed', 'maybe')
    assert count_runs(fleet, 'killed') == 0


def test_vm_killed_after_the_claim(fleet, key):
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
    assert is_refused(again, 'claim-open', 'maybe')
    assert count_runs(fleet, 'orphan') <= 1
    fleet.start_vm(vm)
    wait_until(lambda: fleet.is_ready(vm.url), 'VM back')


def test_vm_paused_between_claim_and_dispatch(fleet, key):
    vm = fleet.vms[2]
    line = name_line(vm.zone, 'platform')
    fleet.set_lines({line: 'slow'})
    with ThreadPoolExecutor(1) as pool:
        booking = pool.submit(book, fleet, vm, key, 'paused')
        wait_until(lambda: has_claim(fleet, 'paused'), 'claim')
        fleet.signal(vm.name, signal.SIGSTOP)
        time.sleep(DEADLINE_SECONDS + 0.5)
        fleet.set_lines({line: 'open'})
        fleet.signal(vm.name, signal.SIGCONT)
        refused = booking.result()
    assert is_refused(refused, 'deadline', 'no')
    assert count_runs(fleet, 'paused') == 0
    wait_until(
        lambda: book(fleet, fleet.vms[0], key, 'paused').status == 200,
        'claim released',
    )
    assert count_runs(fleet, 'paused') == 1


def test_reply_of_a_hop_is_lost(fleet, key):
    vm = fleet.vms[0]
    fleet.kill('guide-1')
    lines = [
        name_line(vm.zone, zone)
        for zone in fleet.catalogue['zones']
        if zone != vm.zone
    ]
    fleet.set_lines(dict.fromkeys(lines, 'lose-replies'))
    try:
        failed = book(fleet, vm, key, 'hop')
    finally:
        fleet.set_lines(dict.fromkeys(lines, 'open'))
        fleet.start_target('guide-1')
    assert is_refused(failed, 'target-failed', 'maybe')
    assert count_runs(fleet, 'hop') == 1
