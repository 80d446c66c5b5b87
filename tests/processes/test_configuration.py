"""Tests of the configuration in force, under faults, by real processes."""

import json
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.fleet import Fleet, wait_until

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'
ADMIN = '/.toucanhall/admin/v1'
HEADERS = {'Authorization': 'Bearer demo-operator-token'}


@pytest.fixture(name='fleet')
def start_fleet() -> Iterator[Fleet]:
    """Start a fleet, with relays between its zones, with a key granted."""
    fleet = Fleet(catalogue=EXAMPLE, relayed=True)
    try:
        fleet.start()
        fleet.apply()
        yield fleet
    finally:
        fleet.stop()


def show(fleet, vm, name='catalogue'):
    """Return a page of the operators' API of a VM."""
    response = fleet.http.request(
        'GET', f'{vm.url}{ADMIN}/{name}', headers=HEADERS,
    )  # fmt: skip
    return response.json()


def put(fleet, vm, shown, key_digest, change='', expected=None):
    """Ask a VM for the catalogue that was shown, with one more key."""
    keys = {**shown['catalogue'].get('keys', {})}
    keys[f'key-{key_digest}'] = {
        'team': 'hostels',
        'digest': key_digest * 64,
    }
    revision = shown['revision'] if expected is None else expected
    response = fleet.http.request(
        'PUT',
        f'{vm.url}{ADMIN}/catalogue',
        body=json.dumps({**shown['catalogue'], 'keys': keys}),
        headers={
            **HEADERS,
            'If-Match': f'"{revision}"',
            'Toucanhall-Change': change or f'change-{key_digest}',
        },
        timeout=20,
    )
    return response.status, response.json()


def holds(fleet, vm, revision):
    """Return whether a VM has a revision or a later one in force."""
    return show(fleet, vm)['revision'] >= revision


def wait_held(fleet, revision, vms=None):
    """Wait until a revision is in force on some VMs, or on all."""
    for vm in vms or fleet.vms:
        wait_until(
            lambda vm=vm: holds(fleet, vm, revision),
            f'revision {revision} on {vm.name}',
        )


def grant(fleet, vm):
    """Grant a key and wait until it works on every VM; return it."""
    done = fleet.run_command(
        'key-grant', 'brief', '--team=hostels', f'--at={vm.url}',
    )  # fmt: skip
    key = json.loads(done.stdout)['key']
    for each in fleet.vms:
        wait_until(
            lambda each=each: call(fleet, each, key) == 200,
            f'key on {each.name}',
        )
    return key


def wait_health(fleet, vm, health):
    """Wait until the first VM knows another one in a state of health."""

    def is_known() -> bool:
        members = show(fleet, fleet.vms[0], 'status')['members']
        return any(
            (member['vm'], member['health']) == (vm.name, health)
            for member in members
        )

    wait_until(is_known, f'{vm.name} {health}')


def call(fleet, vm, key):
    """Return the status of a keyed request."""
    response = fleet.http.request(
        'GET', f'{vm.url}/feed/x', headers={'X-Api-Key': key}, timeout=15,
    )  # fmt: skip
    return response.status


def test_store_that_came_back_older_is_repaired_before_a_change(fleet):
    first = show(fleet, fleet.vms[0])
    status, body = put(fleet, fleet.vms[0], first, 'a')
    assert status == 200
    newest = body['accepted']
    wait_held(fleet, newest)
    fleet.switch('roll-back', 'catalogue')
    status, body = put(fleet, fleet.vms[1], first, 'b')
    assert status in {412, 503}
    for vm in fleet.vms:
        assert show(fleet, vm)['change'] == 'change-a'
    shown = show(fleet, fleet.vms[1])

    def is_accepted():
        return put(fleet, fleet.vms[1], shown, 'c')[0] == 200

    wait_until(is_accepted, 'change after the repair')
    wait_held(fleet, newest + 1)
    keys = show(fleet, fleet.vms[0])['catalogue']['keys']
    assert set(keys) == {'key-a', 'key-c'}


def test_loser_of_a_race_is_shown_both_revisions(fleet):
    shown = show(fleet, fleet.vms[0])
    _, first = put(fleet, fleet.vms[0], shown, 'a')
    status, body = put(fleet, fleet.vms[5], shown, 'b')
    assert status == 412
    assert body['expected'] == shown['revision']
    assert body['current'] == first['accepted']
    assert body['newest_change']['id'] == 'change-a'


def test_lost_reply_is_settled_and_a_repeated_change_is_one(fleet):
    shown = show(fleet, fleet.vms[0])
    fleet.switch('mode', 'lose-replies')
    status, body = put(fleet, fleet.vms[0], shown, 'a')
    fleet.switch('mode', 'up')
    assert status == 200
    again = put(fleet, fleet.vms[3], shown, 'a')
    assert again[0] == 200
    wait_held(fleet, body['accepted'])
    assert show(fleet, fleet.vms[3])['revision'] == body['accepted']


def test_nothing_is_accepted_while_the_store_is_down(fleet):
    shown = show(fleet, fleet.vms[0])
    fleet.switch('mode', 'down')
    status, body = put(fleet, fleet.vms[0], shown, 'a')
    assert status == 503
    assert 'nothing was written' in body['detail']
    fleet.switch('mode', 'up')
    status, body = put(fleet, fleet.vms[0], shown, 'b')
    assert status == 200
    wait_held(fleet, body['accepted'])
    keys = show(fleet, fleet.vms[0])['catalogue']['keys']
    assert set(keys) == {'key-b'}


def test_zone_without_the_platform_hears_a_withdrawal_from_peers(fleet):
    key = grant(fleet, fleet.vms[0])
    last = fleet.vms[-1]
    fleet.set_lines({f'{last.zone}|platform': 'cut',
                     f'platform|{last.zone}': 'cut'})  # fmt: skip
    fleet.run_command('key-withdraw', 'brief', f'--at={fleet.vms[0].url}')
    wait_until(lambda: call(fleet, last, key) == 401, 'withdrawal by peers')


def test_zone_that_was_cut_off_serves_and_catches_up_when_healed(fleet):
    key = grant(fleet, fleet.vms[0])
    cut = fleet.vms[-1]
    fleet.set_zone(cut.zone, 'cut')
    fleet.run_command('key-withdraw', 'brief', f'--at={fleet.vms[0].url}')
    wait_until(lambda: call(fleet, fleet.vms[0], key) == 401, 'withdrawal')
    assert call(fleet, cut, key) == 200
    status = show(fleet, fleet.vms[0], 'status')
    assert status['zones'][cut.zone]['waiting'] == [cut.name]
    fleet.set_zone(cut.zone, 'open')
    wait_until(lambda: call(fleet, cut, key) == 401, 'withdrawal when healed')


def test_silent_lines_are_replaced_by_new_connections(fleet):
    silent = fleet.vms[-1]
    fleet.set_zone(silent.zone, 'silent')
    shown = show(fleet, fleet.vms[0])
    _, body = put(fleet, fleet.vms[0], shown, 'a')
    wait_held(fleet, body['accepted'], fleet.vms[:-1])
    fleet.set_zone(silent.zone, 'open')
    wait_held(fleet, body['accepted'])


def test_resumed_vm_serves_no_key_that_was_withdrawn_meanwhile(fleet):
    key = grant(fleet, fleet.vms[0])
    paused = fleet.vms[-1]
    wait_health(fleet, paused, 'alive')
    fleet.signal(paused.name, signal.SIGSTOP)
    fleet.run_command('key-withdraw', 'brief', f'--at={fleet.vms[0].url}')

    wait_health(fleet, paused, 'suspected')
    waiting = show(fleet, fleet.vms[0], 'status')['zones'][paused.zone]
    assert waiting['waiting'] == [paused.name]
    fleet.signal(paused.name, signal.SIGCONT)
    seen = set()

    def is_refused():
        seen.add(call(fleet, paused, key))
        return 401 in seen

    wait_until(is_refused, 'withdrawal on the resumed VM')
    assert 200 not in seen


def test_fresh_vm_hears_the_newest_revision_without_the_store(fleet):
    shown = show(fleet, fleet.vms[0])
    _, body = put(fleet, fleet.vms[0], shown, 'a')
    wait_held(fleet, body['accepted'])
    fresh = fleet.vms[-1]
    fleet.kill(fresh.name)
    fleet.set_lines({f'{fresh.zone}|platform': 'open'})
    fleet.switch('mode', 'down')
    fleet.switch('mode', 'up')
    fleet.switch('roll-back', 'catalogue')
    fleet.start_vm(fresh)
    wait_until(lambda: fleet.is_ready(fresh.url), 'fresh VM ready')
    assert show(fleet, fresh)['change'] == 'change-a'
