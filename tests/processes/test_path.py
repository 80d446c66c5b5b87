"""Tests of the request path with real processes."""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.fleet import Fleet, wait_until

CATALOGUE_PATH = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'


@pytest.fixture(scope='module', name='fleet')
def start_fleet() -> Iterator[Fleet]:
    """Start a fleet with a catalogue in force."""
    fleet = Fleet(catalogue=CATALOGUE_PATH)
    try:
        fleet.start()
        fleet.apply()
        yield fleet
    finally:
        fleet.stop()


@pytest.fixture(scope='module', name='key')
def grant_key(fleet: Fleet) -> str:
    """Grant a key and wait until every VM accepts it."""
    key = fleet.grant('tests-key', 'hostels')
    for vm in fleet.vms:
        wait_until(
            lambda url=vm.url: fetch(fleet, url, key).status == 200,
            f'key on {vm.name}',
        )
    return key


def fetch(fleet, url, key, path='/feed/x'):
    """Fetch a route that needs the key of a team."""
    return fleet.http.request(
        'GET',
        f'{url}{path}',
        headers={'X-Api-Key': key},
    )


def test_public_route_is_answered_by_a_target_of_the_zone(fleet):
    for vm in fleet.vms:
        answer = fleet.http.request('GET', f'{vm.url}/tours/x?a=b').json()
        target = fleet.catalogue['targets'][answer['target']]
        assert target['zone'] == vm.zone
        assert answer['path'] == '/tours/x?a=b'


def test_repeated_booking_runs_once(fleet, key):
    answers = [
        fleet.http.request(
            'POST',
            f'{vm.url}/bookings',
            body=b'one seat',
            headers={'X-Api-Key': key, 'Idempotency-Key': 'seat-1'},
        )
        for vm in fleet.vms
    ]
    assert {answer.data for answer in answers} == {answers[0].data}
    ran = [
        entry
        for entry in fleet.read_journals()
        if entry['headers'].get('Idempotency-Key') == 'seat-1'
    ]
    assert len(ran) == 1


def test_key_is_not_forwarded_to_targets(fleet, key):
    fetch(fleet, fleet.vms[0].url, key, f'/feed/x?key={key}&other={key}')
    assert all(key not in json.dumps(ran) for ran in fleet.read_journals())


def test_withdrawn_key_is_refused_by_every_vm(fleet):
    at = f'--at={fleet.vms[0].url}'
    done = fleet.run_command(
        'key', 'grant', 'brief', '--team=guides', '--json', at
    )
    key = json.loads(done.stdout)['key']
    for vm in fleet.vms:
        wait_until(
            lambda url=vm.url: fetch(fleet, url, key).status == 200,
            f'key on {vm.name}',
        )
    fleet.run_command('key', 'withdraw', 'brief', at)
    for vm in fleet.vms:
        wait_until(
            lambda url=vm.url: fetch(fleet, url, key).status == 401,
            f'withdrawal on {vm.name}',
        )
