"""Tests of operators' commands with real processes."""

import json
from pathlib import Path

import pytest

from standins.fleet import Fleet

CATALOGUE_PATH = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'
_WAIT_FLAG = '--wait=8'  # seconds within which users need a change


@pytest.fixture(scope='module', name='fleet')
def start_fleet():
    """Start a fleet with a catalogue in force."""
    fleet = Fleet(catalogue=CATALOGUE_PATH)
    try:
        fleet.start()
        fleet.apply()
        yield fleet
    finally:
        fleet.stop()


def run_command(fleet, *arguments, vm=0):
    """Run a command at a VM; return its exit code, output and errors."""
    completed = fleet.run_command(*arguments, f'--at={fleet.vms[vm].url}')
    return completed.returncode, completed.stdout, completed.stderr


def run_json(fleet, *arguments):
    """Run a command with `--json` and return what it prints."""
    exit_code, stdout, stderr = run_command(fleet, *arguments, '--json')
    assert exit_code == 0, stderr
    return json.loads(stdout)


def write_catalogue(fleet, name, **changes):
    """Write the example catalogue with changes and return its path."""
    path = fleet.folder / name
    path.write_text(json.dumps(fleet.catalogue | changes))
    return str(path)


def test_change_is_in_force_everywhere_when_the_command_returns(fleet):
    path = write_catalogue(fleet, 'hold.jsonc', hold_seconds=4)
    assert run_command(fleet, 'catalogue', 'apply', path, _WAIT_FLAG)[0] == 0
    revision = run_json(fleet, 'status')['revision']
    zones = run_json(fleet, 'status')['zones']
    assert set(zones) == set(fleet.catalogue['zones'])
    assert all(zone['in_force'] >= revision for zone in zones.values())


def test_one_of_two_conflicting_catalogues_is_accepted(fleet):
    revision = run_json(fleet, 'catalogue', 'show')['revision']
    paths = [
        write_catalogue(fleet, f'{hold}.jsonc', hold_seconds=hold)
        for hold in (5, 6)
    ]
    replace = f'--replace={revision}'
    first = run_command(fleet, 'catalogue', 'apply', paths[0], replace)
    second = run_command(fleet, 'catalogue', 'apply', paths[1], replace, vm=3)
    assert (first[0], second[0]) == (0, 1)
    assert f'revision {revision} was expected' in second[2]
    assert f'--replace {revision + 1}' in second[2]
    assert run_command(fleet, 'catalogue', 'diff', paths[0])[1].endswith(
        'no difference\n',
    )


def test_key_is_shown_once_and_stored_as_digest(fleet):
    granted = run_json(fleet, 'key', 'grant', 'once-key', '--team=guides')
    for words in (('key', 'list'), ('catalogue', 'show'), ('status',)):
        assert granted['key'] not in run_command(fleet, *words)[1]
    assert 'once-key' in run_json(fleet, 'key', 'list')['keys']
    assert run_command(fleet, 'key', 'withdraw', 'once-key', _WAIT_FLAG)[0] == 0
    assert 'once-key' not in run_json(fleet, 'key', 'list')['keys']


def test_drain_starts_and_stops(fleet):
    for kind, name in (
        ('target', 'guide-1'),
        ('vm', 'kzn-a-1'),
        ('zone', 'kzn-b'),
    ):
        assert (
            run_command(fleet, 'drain', 'start', kind, name, _WAIT_FLAG)[0] == 0
        )
        assert name in run_command(fleet, 'drain', 'status')[1]
        assert (
            run_command(fleet, 'drain', 'stop', kind, name, _WAIT_FLAG)[0] == 0
        )
        assert name not in run_command(fleet, 'drain', 'status')[1]


def test_hyphenated_commands_still_work(fleet):
    exit_code, stdout, _ = run_command(
        fleet, 'key-grant', 'flat', '--team=guides'
    )
    assert exit_code == 0
    assert json.loads(stdout)['key']
    assert run_command(fleet, 'key-withdraw', 'flat')[0] == 0


def test_history_names_the_operator(fleet):
    change = run_json(fleet, 'drain', 'start', 'vm', 'any')['change']
    assert run_command(fleet, 'drain', 'stop', 'vm', 'any', _WAIT_FLAG)[0] == 0
    exit_code, stdout, _ = run_command(
        fleet, 'catalogue', 'history', f'--change={change}'
    )
    assert exit_code == 0
    assert 'demo' in stdout
    assert 'drains vms/any added' in stdout


def test_unreachable_vm_is_skipped(fleet):
    completed = fleet.run_command(
        'status', '--at=http://127.0.0.1:1', f'--at={fleet.vms[1].url}',
    )  # fmt: skip
    assert completed.returncode == 0, completed.stderr


def test_lost_reply_of_the_store_is_resolved(fleet):
    fleet.switch('mode', 'lose-replies')
    try:
        exit_code, _, stderr = run_command(
            fleet, 'drain', 'start', 'vm', 'lost'
        )
    finally:
        fleet.switch('mode', 'up')
    assert exit_code == 0, stderr
    assert run_command(fleet, 'drain', 'stop', 'vm', 'lost')[0] == 0


def test_store_that_is_down_refuses_and_changes_nothing(fleet):
    before = run_json(fleet, 'drain', 'status')['drains']
    fleet.switch('mode', 'down')
    try:
        exit_code, _, stderr = run_command(
            fleet, 'drain', 'start', 'vm', 'down'
        )
    finally:
        fleet.switch('mode', 'up')
    assert exit_code in {1, 3}, stderr
    assert run_json(fleet, 'drain', 'status')['drains'] == before


def test_logs_are_numbered_and_hold_no_secret(fleet):
    granted = run_json(fleet, 'key', 'grant', 'logged', '--team=hostels')
    key = granted['key']
    for vm in fleet.vms:
        headers = {'X-Api-Key': key}
        url = f'{vm.url}/feed/x?key={key}&other={key}'
        fleet.http.request('GET', url, headers=headers)
        fleet.http.request('GET', f'{vm.url}/nothing?key={key}')
    for vm in fleet.vms:
        log = fleet.read_log(vm.name)
        for secret in (key, 'demo-operator-token', 'demo-secret'):
            assert secret not in log
        for line in map(json.loads, log.splitlines()):
            assert line['vm'] == vm.name
            assert line['asctime'].endswith('Z')
            assert {'event', 'levelname', 'message', 'fields'} <= set(line)


def test_isolated_zone_is_named_as_unconfirmed():
    fleet = Fleet(catalogue=CATALOGUE_PATH, relayed=True)
    try:
        fleet.start()
        fleet.apply()
        fleet.set_zone('kzn-a', 'cut')
        path = write_catalogue(fleet, 'cut.jsonc', hold_seconds=7)
        exit_code, _, stderr = run_command(
            fleet, 'catalogue', 'apply', path, '--wait=4'
        )
        assert exit_code == 3
        assert stderr.endswith('not confirmed after 4 s by: kzn-a\n')
        fleet.set_zone('kzn-a', 'open')
        path = write_catalogue(fleet, 'open.jsonc', hold_seconds=8)
        assert (
            run_command(fleet, 'catalogue', 'apply', path, '--wait=30')[0] == 0
        )
    finally:
        fleet.stop()
