"""Tests of the configuration in force under faults, with real processes."""

import json
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.fleet import Fleet, wait_until

CATALOGUE_PATH = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'
ADMIN_PATH = '/.toucanhall/admin/v1'
HEADERS = {'Authorization': 'Bearer demo-operator-token'}


@pytest.fixture(name='fleet')
def start_fleet() -> Iterator[Fleet]:
    """Start a fleet behind a relay, with a catalogue in force."""
    fleet = Fleet(catalogue=CATALOGUE_PATH, relayed=True)
    try:
        fleet.start()
        fleet.apply()
        yield fleet
    finally:
        fleet.stop()


def get_admin_page(fleet, vm, name='catalogue'):
    """Return a page of the admin API of a VM."""
    response = fleet.http.request(
        'GET', f'{vm.url}{ADMIN_PATH}/{name}', headers=HEADERS,
    )  # fmt: skip
    return response.json()


def put_catalogue_with_key(
    fleet, vm, shown, key_digest, change='', expected=None
):
    """Write a catalogue with one more key at a VM; return status and body."""
    keys = {**shown['catalogue'].get('keys', {})}
    keys[f'key-{key_digest}'] = {
        'team': 'hostels',
        'digest': key_digest * 64,
    }
    revision = shown['revision'] if expected is None else expected
    response = fleet.http.request(
        'PUT',
        f'{vm.url}{ADMIN_PATH}/catalogue',
        body=json.dumps({**shown['catalogue'], 'keys': keys}),
        headers={
            **HEADERS,
            'If-Match': f'"{revision}"',
            'Toucanhall-Change': change or f'change-{key_digest}',
        },
        timeout=20,
    )
    return response.status, response.json()


def is_in_force(fleet, vm, revision):
    """Return whether a revision or a later one is in force on a VM."""
    return get_admin_page(fleet, vm)['revision'] >= revision


def wait_until_in_force(fleet, revision, vms=None):
    """Wait until a revision is in force on the given VMs, by default all."""
    for vm in vms or fleet.vms:
        wait_until(
            lambda vm=vm: is_in_force(fleet, vm, revision),
            f'revision {revision} on {vm.name}',
        )


def grant_key(fleet, vm):
    """Grant a key, wait until every VM accepts it, and return it."""
    done = fleet.run_command(
        'key-grant', 'brief', '--team=hostels', f'--at={vm.url}',
    )  # fmt: skip
    key = json.loads(done.stdout)['key']
    for each in fleet.vms:
        wait_until(
            lambda each=each: get_status(fleet, each, key) == 200,
            f'key on {each.name}',
        )
    return key


def wait_for_health(fleet, vm, health):
    """Wait until the first VM reports a state of health for a VM."""

    def is_known() -> bool:
        members = get_admin_page(fleet, fleet.vms[0], 'status')['members']
        return any(
            (member['vm'], member['health']) == (vm.name, health)
            for member in members
        )

    wait_until(is_known, f'{vm.name} {health}')


def get_status(fleet, vm, key):
    """Return the HTTP status of a request with an API key."""
    response = fleet.http.request(
        'GET', f'{vm.url}/feed/x', headers={'X-Api-Key': key}, timeout=15,
    )  # fmt: skip
    return response.status


def test_rolled_back_store_is_repaired_before_a_change(fleet):
    first = get_admin_page(fleet, fleet.vms[0])
    status, body = put_catalogue_with_key(fleet, fleet.vms[0], first, 'a')
    assert status == 200
    newest = body['accepted']
    wait_until_in_force(fleet, newest)
    fleet.switch('roll-back', 'catalogue')
    status, body = put_catalogue_with_key(fleet, fleet.vms[1], first, 'b')
    assert status in {412, 503}
    for vm in fleet.vms:
        assert get_admin_page(fleet, vm)['change'] == 'change-a'
    shown = get_admin_page(fleet, fleet.vms[1])

    def is_accepted():
        return put_catalogue_with_key(fleet, fleet.vms[1], shown, 'c')[0] == 200

    wait_until(is_accepted, 'change accepted after the repair')
    wait_until_in_force(fleet, newest + 1)
    keys = get_admin_page(fleet, fleet.vms[0])['catalogue']['keys']
    assert set(keys) == {'key-a', 'key-c'}


def test_conflicting_change_is_refused_with_both_revisions(fleet):
    shown = get_admin_page(fleet, fleet.vms[0])
    _, first = put_catalogue_with_key(fleet, fleet.vms[0], shown, 'a')
    status, body = put_catalogue_with_key(fleet, fleet.vms[5], shown, 'b')
    assert status == 412
    assert body['expected'] == shown['revision']
    assert body['current'] == first['accepted']
    assert body['newest_change']['id'] == 'change-a'


def test_lost_reply_is_resolved_and_a_retry_is_no_second_change(fleet):
    shown = get_admin_page(fleet, fleet.vms[0])
    fleet.switch('mode', 'lose-replies')
    status, body = put_catalogue_with_key(fleet, fleet.vms[0], shown, 'a')
    fleet.switch('mode', 'up')
    assert status == 200
    again = put_catalogue_with_key(fleet, fleet.vms[3], shown, 'a')
    assert again[0] == 200
    wait_until_in_force(fleet, body['accepted'])
    assert get_admin_page(fleet, fleet.vms[3])['revision'] == body['accepted']


def test_no_change_is_accepted_while_the_store_is_down(fleet):
    shown = get_admin_page(fleet, fleet.vms[0])
    fleet.switch('mode', 'down')
    status, body = put_catalogue_with_key(fleet, fleet.vms[0], shown, 'a')
    assert status == 503
    assert 'nothing was written' in body['detail']
    fleet.switch('mode', 'up')
    status, body = put_catalogue_with_key(fleet, fleet.vms[0], shown, 'b')
    assert status == 200
    wait_until_in_force(fleet, body['accepted'])
    keys = get_admin_page(fleet, fleet.vms[0])['catalogue']['keys']
    assert set(keys) == {'key-b'}


def test_zone_without_the_platform_gets_withdrawals_from_peers(fleet):
    key = grant_key(fleet, fleet.vms[0])
    last = fleet.vms[-1]
    fleet.set_link_modes(
        {f'{last.zone}|platform': 'cut', f'platform|{last.zone}': 'cut'},
    )
    fleet.run_command('key-withdraw', 'brief', f'--at={fleet.vms[0].url}')
    wait_until(
        lambda: get_status(fleet, last, key) == 401,
        'withdrawal received from peers',
    )


def test_zone_that_was_cut_off_serves_and_catches_up_when_healed(fleet):
    key = grant_key(fleet, fleet.vms[0])
    isolated = fleet.vms[-1]
    fleet.set_zone(isolated.zone, 'cut')
    fleet.run_command('key-withdraw', 'brief', f'--at={fleet.vms[0].url}')
    wait_until(
        lambda: get_status(fleet, fleet.vms[0], key) == 401,
        'withdrawal on the first VM',
    )
    assert get_status(fleet, isolated, key) == 200
    status = get_admin_page(fleet, fleet.vms[0], 'status')
    assert status['zones'][isolated.zone]['waiting'] == [isolated.name]
    fleet.set_zone(isolated.zone, 'open')
    wait_until(
        lambda: get_status(fleet, isolated, key) == 401,
        'withdrawal after the link is open again',
    )


def test_silent_links_are_replaced_by_new_connections(fleet):
    silent = fleet.vms[-1]
    fleet.set_zone(silent.zone, 'silent')
    shown = get_admin_page(fleet, fleet.vms[0])
    _, body = put_catalogue_with_key(fleet, fleet.vms[0], shown, 'a')
    wait_until_in_force(fleet, body['accepted'], fleet.vms[:-1])
    fleet.set_zone(silent.zone, 'open')
    wait_until_in_force(fleet, body['accepted'])


def test_resumed_vm_serves_no_key_that_was_withdrawn_meanwhile(fleet):
    key = grant_key(fleet, fleet.vms[0])
    paused = fleet.vms[-1]
    wait_for_health(fleet, paused, 'alive')
    fleet.signal(paused.name, signal.SIGSTOP)
    fleet.run_command('key-withdraw', 'brief', f'--at={fleet.vms[0].url}')

    wait_for_health(fleet, paused, 'suspected')
    waiting = get_admin_page(fleet, fleet.vms[0], 'status')['zones'][
        paused.zone
    ]
    assert waiting['waiting'] == [paused.name]
    fleet.signal(paused.name, signal.SIGCONT)
    statuses = set()

    def is_refused():
        statuses.add(get_status(fleet, paused, key))
        return 401 in statuses

    wait_until(is_refused, 'withdrawal on the VM that was paused')
    assert 200 not in statuses


def test_new_vm_receives_the_newest_revision_from_peers(fleet):
    shown = get_admin_page(fleet, fleet.vms[0])
    _, body = put_catalogue_with_key(fleet, fleet.vms[0], shown, 'a')
    wait_until_in_force(fleet, body['accepted'])
    new_vm = fleet.vms[-1]
    fleet.kill(new_vm.name)
    fleet.set_link_modes({f'{new_vm.zone}|platform': 'open'})
    fleet.switch('mode', 'down')
    fleet.switch('mode', 'up')
    fleet.switch('roll-back', 'catalogue')
    fleet.start_vm(new_vm)
    wait_until(lambda: fleet.is_ready(new_vm.url), 'new VM ready')
    assert get_admin_page(fleet, new_vm)['change'] == 'change-a'
