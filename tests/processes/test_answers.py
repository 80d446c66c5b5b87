"""Tests of complete answers and of keys kept secret, with real processes."""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from standins.fleet import Fleet, wait_until
from tests.fleet_conditions import has_all_peers_alive

CATALOGUE_PATH = Path(__file__).parents[2] / 'examples' / 'demo.jsonc'
LARGE_BODY_BYTES = 20971520


@pytest.fixture(scope='module', name='fleet')
def start_fleet() -> Iterator[Fleet]:
    """Start a fleet behind a relay, with a catalogue in force."""
    fleet = Fleet(catalogue=CATALOGUE_PATH, relayed=True)
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
    key = fleet.grant('answers', 'hostels')
    for vm in fleet.vms:
        wait_until(
            lambda vm=vm: (
                send_request(fleet, '/feed/x', key, vm=vm).status == 200
            ),
            f'key on {vm.name}',
        )
    return key


def send_request(
    fleet, path, key='', method='GET', vm=None, body=None, headers=()
):
    """Send one request to an entry VM, by default to the first one."""
    headers = dict(headers)
    if key:
        headers['X-Api-Key'] = key
    vm = vm or fleet.vms[0]
    return fleet.http.request(
        method, f'{vm.url}{path}', headers=headers, body=body,
    )  # fmt: skip


def find_run(fleet, marker):
    """Return the first journal entry whose path contains a marker."""
    return next(run for run in fleet.read_journals() if marker in run['path'])


@pytest.mark.parametrize('method', ['POST', 'PUT', 'PATCH', 'DELETE'])
def test_methods_and_bodies_arrive_unchanged(fleet, method):
    body = bytes(range(256)) * 40
    path = f'/tours/{method}?a=%2F+x&b=&&c'
    answer = send_request(fleet, path, method=method, body=body)
    assert answer.json()['method'] == method
    assert answer.json()['path'] == path
    assert answer.json()['body'].encode('latin-1') == body


def test_large_answer_is_complete(fleet):
    answer = send_request(fleet, '/tours/x?large=1')
    assert answer.headers['Content-Length'] == str(LARGE_BODY_BYTES)
    assert answer.data == bytes(LARGE_BODY_BYTES)


def test_validators_and_head_are_passed_on(fleet):
    tag = send_request(fleet, '/tours/x').headers['ETag']
    same = send_request(fleet, '/tours/x', headers={'If-None-Match': tag})
    assert (same.status, same.data) == (304, b'')
    assert same.headers['ETag'] == tag
    head = send_request(fleet, '/tours/x', method='HEAD')
    assert head.status == 200
    assert int(head.headers['Content-Length']) > 0


def test_truncated_answer_is_retried_at_another_target(fleet):
    fleet.configure_target('guide-1', mode='cut')
    try:
        answer = send_request(fleet, '/tours/cut')
    finally:
        fleet.configure_target('guide-1', mode='well')
    assert answer.json()['target'] != 'guide-1'


def test_stream_of_a_killed_target_ends_with_an_error(fleet):
    """A target killed before its answer is read yields no complete answer."""
    answer = fleet.http.request(
        'GET',
        f'{fleet.vms[1].url}/tours/x?large=1',
        preload_content=False,
    )
    answer.read(1)
    fleet.kill('guide-2')
    with pytest.raises(urllib3.exceptions.HTTPError):
        answer.read()
    fleet.start_target('guide-2')


def test_refused_hop_is_retried_in_another_zone(fleet, key):
    """The VM in the second zone refuses the hop, as its only target is down."""
    fleet.kill('feed-1')
    fleet.kill('feed-2')
    try:
        answer = send_request(fleet, '/feed/x', key, method='POST')
    finally:
        fleet.start_target('feed-1')
        fleet.start_target('feed-2')
    assert answer.status == 200
    assert answer.json()['target'] in {'feed-3', 'feed-4', 'feed-5', 'feed-6'}


def test_key_is_not_forwarded_by_a_hop(fleet, key):
    fleet.kill('feed-1')
    double_encoded_key = key.replace(key[0], f'%25{ord(key[0]):x}')
    try:
        answer = send_request(
            fleet,
            f'/feed/hopped?key={key}&a={key}&b={double_encoded_key}&c=1',
            key,
            headers={'Cookie': f'session={key}', 'Forwarded': f'for={key}'},
        )
    finally:
        fleet.start_target('feed-1')
    run = find_run(fleet, '/feed/hopped')
    assert run['target'] == answer.json()['target']
    assert run['target'] != 'feed-1'
    assert run['path'] == '/feed/hopped?c=1'
    assert not {'Cookie', 'Forwarded', 'Toucanhall-Hop'} & run['headers'].keys()


def test_key_is_in_no_journal_log_or_refusal(fleet, key):
    refusals = [
        send_request(fleet, f'/feed/{key}', key),
        send_request(fleet, f'/feed/%{ord(key[0]):x}{key[1:]}', key),
        send_request(fleet, f'/nowhere/{key}?key={key}', key),
        send_request(fleet, f'/feed/../{key}', key),
        send_request(fleet, '/feed/x', f'{key}-withdrawn'),
    ]
    assert all(answer.status in {400, 401, 404} for answer in refusals)
    bodies = [answer.data.decode() for answer in refusals]
    logs = [fleet.read_log(vm.name) for vm in fleet.vms]
    ran = [json.dumps(run) for run in fleet.read_journals()]
    assert not any(key in text for text in (*bodies, *logs, *ran))


def test_callers_cannot_send_headers_of_entry_vms(fleet):
    send_request(
        fleet, '/tours/spoof', headers={'Toucanhall-Request-Id': 'spoofed'}
    )
    run = find_run(fleet, '/tours/spoof')
    assert 'spoofed' not in json.dumps(run)
    forged = send_request(
        fleet, '/tours/x', headers={'Toucanhall-Hop': 'forged'}
    )
    assert forged.json()['reason'] == 'bad-request'
