"""Tests of the platform adapter: decoding, headers, directory, names."""

import re
from pathlib import Path

import pytest
import yaml

from standins.site.documents import (
    make_configuration,
    make_rule,
    make_settings,
    make_target_entry,
)
from tests.fleetdata import make_member
from toucanhall.edge.directory import pick_nearest_vms
from toucanhall.fleet.model import Address
from toucanhall.fleet.tables import find_route
from toucanhall.platform import settings_file
from toucanhall.platform.documents import (
    InvalidDocumentError,
    decode_configuration,
    decode_target,
)
from toucanhall.platform.endpoints import (
    make_directory_answer,
    read_directory_query,
)
from toucanhall.platform.headers import (
    find_unknown_headers,
    make_caller_answer,
    make_target_request,
    read_caller_headers,
    read_target_headers,
)
from toucanhall.platform.units import format_seconds, read_seconds, read_version
from toucanhall.web.client import ReceivedAnswer
from toucanhall.web.messages import Request

PACKAGE_PATH = Path(__file__).parents[2] / 'toucanhall'
# Packages that run on the platform, and the check of its configurations.
PLATFORM_PACKAGES = (
    'configuration_check',
    'edge',
    'fleet',
    'limits',
    'observe',
    'placement',
    'web',
)
PLATFORM_WORDS = re.compile(
    r'x-toucanhall|/toucanhall/|tenant|backend|virtual_hosts|path_rules'
    r'|home_regions|traffic_split|cold_left|api_keys|allow_stale|wait_ms'
    r'|rate_per_s|node_name|boot\.yaml',
    re.IGNORECASE,
)


@pytest.mark.parametrize(
    ('text', 'seconds'),
    (('1500ms', 1.5), ('2.5s', 2.5), ('0ms', 0.0)),
)
def test_duration_is_read(text, seconds):
    assert read_seconds(text) == seconds
    assert read_seconds(format_seconds(seconds)) == seconds


@pytest.mark.parametrize('text', ('5', '5 s', 's', '', None, 5, '-1s'))
def test_invalid_duration_is_rejected(text):
    with pytest.raises(ValueError, match='not a duration'):
        read_seconds(text)


def test_version_is_hexadecimal():
    assert read_version('0000001c') == 28
    with pytest.raises(TypeError):
        read_version(28)


def test_route_with_the_longest_prefix_is_found():
    rules = [make_rule('/a/'), make_rule('/a/b/'), make_rule('/')]
    configuration = decode_configuration(make_configuration(rules=rules))
    found = [
        find_route(configuration, 'tours.example', path)
        for path in ('/a/b/c', '/a/c', '/x')
    ]
    assert [route.prefix for route in found if route] == ['/a/b/', '/a/', '/']
    assert find_route(configuration, 'other.example', '/a/') is None


@pytest.mark.parametrize(
    'fields',
    (
        {'version': 7},
        {'virtual_hosts': None},
        {'virtual_hosts': [{'host': 'a', 'path_rules': [{}]}]},
        {'services': 'guide'},
        {'limits': {'header_timeout': 'soon'}},
    ),
)
def test_invalid_configuration_is_rejected(fields):
    with pytest.raises(InvalidDocumentError):
        decode_configuration({**make_configuration(), **fields})


def test_target_is_decoded():
    entry = make_target_entry(
        '127.0.0.1:9000',
        'east-a',
        state='draining',
        cold_left='2s',
        born=17,
    )
    target = decode_target('t1', entry, 4)
    assert target.address == Address('127.0.0.1', 9000)
    assert target.is_draining
    assert target.cold_seconds == 2
    assert target.started_at == 17


@pytest.mark.parametrize(
    'fields',
    (
        {'service': None},
        {'address': 'nowhere'},
        {'address': ':90'},
        {'zone': 4},
        {'slots': '9'},
        {'slots': True},
        {'slots': 0},
        {'state': 'odd'},
        {'cold_left': 7},
    ),
)
def test_invalid_target_is_rejected(fields):
    entry = {**make_target_entry('127.0.0.1:9000', 'east-a'), **fields}
    with pytest.raises(InvalidDocumentError, match='target t1'):
        decode_target('t1', entry, 4)


def write_settings(folder, **fields):
    settings = make_settings(
        'vm-1',
        '127.0.0.1',
        'east-a',
        zones={'east-a': 'east'},
        store='127.0.0.9:1',
    )
    path = folder / 'settings.yaml'
    path.write_text(yaml.safe_dump({**settings, **fields}))
    return path


def test_settings_are_read(tmp_path):
    found = settings_file.load_settings(
        write_settings(tmp_path, unknown_field=1)
    )
    assert found.vm == 'vm-1'
    assert found.region == 'east'
    assert found.listeners.requests == Address('127.0.0.1', 8388)
    assert found.bounds.shutdown_grace_seconds == 2.0


@pytest.mark.parametrize(
    ('fields', 'reason'),
    (
        ({'zone': None, 'listen': {'front': 'x'}}, 'not host:port'),
        ({'bounds': {'grace': 5}}, 'not a duration'),
        ({'platform': {}}, "no field 'address'"),
        ({'internal_port_range': []}, 'index'),
    ),
)
def test_invalid_settings_are_rejected(tmp_path, fields, reason):
    path = write_settings(tmp_path, **fields)
    with pytest.raises(settings_file.SettingsError, match=reason):
        settings_file.load_settings(path)


def test_missing_settings_file_is_rejected(tmp_path):
    with pytest.raises(settings_file.SettingsError, match='No such file'):
        settings_file.load_settings(tmp_path / 'none.yaml')


def make_request(*headers):
    return Request(b'GET', b'/view/1', headers, b'')


def test_head_of_a_caller_request_is_read():
    head = read_caller_headers(
        make_request(
            (b'host', b'Tours.Example:80'),
            (b'x-toucanhall-request-id', b'r1'),
            (b'x-toucanhall-request-deadline', b'1500'),
            (b'cookie', b'a=b; X-Toucanhall-Affinity-Key=17'),
            (b'authorization', b'Bearer k1'),
        ),
    )
    assert head == (b'r1', 'tours.example', '/view/1', 1.5, 'k1', '17')


def test_target_gets_team_and_target_id_but_no_api_key():
    target_request = make_target_request(
        make_request(
            (b'authorization', b'Bearer k1'),
            (b'x-toucanhall-tenant-id', b'forged'),
            (b'connection', b'close, x-private'),
            (b'x-private', b'1'),
            (b'accept', b'*/*'),
        ),
        target='t1',
        team='guides',
        remaining_seconds=1.2345,
    )
    assert dict(target_request.headers) == {
        b'accept': b'*/*',
        b'x-toucanhall-request-deadline': b'1234',
        b'x-toucanhall-expect-instance': b't1',
        b'x-toucanhall-tenant-id': b'guides',
    }


def make_received_answer(status, *headers):
    return ReceivedAnswer(status, headers, b'', is_keep_alive=True)


@pytest.mark.parametrize(
    ('status', 'has_proof_header', 'is_not_run'),
    (
        (503, True, True),
        (429, True, True),
        (503, False, False),
        (421, False, True),
        (500, True, False),
        (200, True, False),
    ),
)
def test_only_the_target_confirms_that_a_request_did_not_run(
    status,
    has_proof_header,
    is_not_run,
):
    headers = (
        ((b'x-toucanhall-not-executed', b'1'),) if has_proof_header else ()
    )
    head = read_target_headers(make_received_answer(status, *headers))
    assert head.is_not_run is is_not_run


@pytest.mark.parametrize(
    ('content', 'pending_requests'),
    ((b'3,2,8', 5), (b'3, 0, 8', 3), (b'odd', None), (b'1,x,8', None)),
)
def test_pending_requests_of_a_target_are_read(content, pending_requests):
    reply = make_received_answer(200, (b'x-toucanhall-backend-load', content))
    assert read_target_headers(reply).pending_requests == pending_requests


@pytest.mark.parametrize(
    ('content', 'pending_requests', 'machine_percent'),
    (
        (b'3,2,8,250', 5, 250),
        (b'3, 2, 8, 100', 5, 100),
        (b'3,2,8', 5, None),
        (b'3,2,8,fast', 5, None),
        (b'3,2,8,0', 5, None),
        (b'3,2,8,-5', 5, None),
        (b'3,x,8,100', None, None),
        (b'3,2,8,100,7', None, None),
    ),
)
def test_load_with_the_speed_of_the_machine_is_not_ignored(
    content, pending_requests, machine_percent
):
    reply = make_received_answer(200, (b'x-toucanhall-backend-load', content))
    head = read_target_headers(reply)
    assert head.pending_requests == pending_requests
    assert head.machine_percent == machine_percent


@pytest.mark.parametrize(
    ('route_type', 'is_idempotent', 'has_large_bodies'),
    (
        ('idempotent', True, False),
        ('non_idempotent', False, False),
        ('download', True, True),
        ('upload', False, True),
        ('unknown', False, False),
    ),
)
def test_uploads_run_once_and_downloads_may_run_again(
    route_type, is_idempotent, has_large_bodies
):
    rule = make_rule('/pack/', route_type=route_type)
    configuration = decode_configuration(make_configuration(rules=(rule,)))
    (route,) = configuration.hosts['tours.example']
    assert route.is_idempotent is is_idempotent
    assert route.has_large_bodies is has_large_bodies


def test_caller_gets_the_stamp_but_neither_load_nor_limit():
    reply = make_received_answer(
        200,
        (b'x-toucanhall-response-stamp', b's1'),
        (b'x-toucanhall-backend-load', b'1,0,9'),
        (b'server-limit', b'8.5'),
        (b'keep-alive', b'timeout=5'),
    )
    answer = make_caller_answer(reply)
    assert answer.headers == ((b'x-toucanhall-response-stamp', b's1'),)


@pytest.mark.parametrize(
    ('contents', 'limit', 'malformed'),
    (
        ((b'8.5',), 8.5, b''),
        ((b'0',), 0.0, b''),
        ((b'12',), 12.0, b''),
        ((b'8', b'2.5'), 2.5, b''),
        ((b'8, 2.5',), 2.5, b''),
        ((b'x', b'2.5'), 2.5, b''),
        ((b'nan',), None, b'nan'),
        ((b'inf',), None, b'inf'),
        ((b'-1',), None, b'-1'),
        ((b'+1',), None, b'+1'),
        ((b'1e2',), None, b'1e2'),
        ((b'.5',), None, b'.5'),
        ((b'1_0',), None, b'1_0'),
        ((b'two',), None, b'two'),
        ((b'9' * 5000,), None, b'9' * 5000),
        ((b'\xd9\xa1',), None, b'\xd9\xa1'),
        ((), None, b''),
    ),
)
@pytest.mark.parametrize(
    'name', (b'server-limit', b'x-toucanhall-server-limit')
)
def test_limit_of_a_target_is_read(name, contents, limit, malformed):
    stamp = (b'x-toucanhall-response-stamp', b's1')
    headers = [(name, content) for content in contents]
    found = read_target_headers(make_received_answer(200, stamp, *headers))
    assert found.limit_per_second == limit
    assert found.malformed_limit == malformed
    assert found.tells_limit is (not malformed)


@pytest.mark.parametrize(
    ('status', 'headers', 'tells_limit'),
    (
        (200, {b'x-toucanhall-response-stamp': b's1'}, True),
        (500, {b'x-toucanhall-response-stamp': b's1'}, True),
        (200, {}, False),
        (503, {b'x-toucanhall-not-executed': b'1'}, False),
        (
            503,
            {b'x-toucanhall-not-executed': b'1', b'server-limit': b'2'},
            True,
        ),
        (421, {b'server-limit': b'2'}, False),
    ),
)
def test_only_some_answers_tell_whether_there_is_a_limit(
    status, headers, tells_limit
):
    reply = make_received_answer(status, *headers.items())
    assert read_target_headers(reply).tells_limit is tells_limit


def test_unknown_headers_of_a_target_are_found():
    reply = make_received_answer(
        200,
        (b'x-toucanhall-response-stamp', b's1'),
        (b'content-type', b'text/plain'),
        (b'x-new', b'8.5'),
    )
    assert find_unknown_headers(reply) == ((b'x-new', b'8.5'),)


def test_directory_query_is_read_and_answered():
    path = b'/toucanhall/resolve?name=Tours.Example&region=east&zone=east-a'
    found = read_directory_query(Request(b'GET', path, (), b''))
    assert found == ('tours.example', 'east-a', 'east')
    assert read_directory_query(make_request()) is None
    answer = make_directory_answer([Address('127.0.0.1', 80)], 2.0)
    assert answer.body == b'{"addresses":["127.0.0.1:80"],"ttl":"2000ms"}'


VMS = (
    make_member('vm-1', zone='east-a'),
    make_member('vm-2', zone='east-b'),
    make_member('vm-3', zone='west-a'),
    make_member('vm-4', zone='south-a'),
)
EAST = frozenset(('east-a', 'east-b', 'east-c'))
NORTH = frozenset(('north-a',))


@pytest.mark.parametrize(
    ('zone', 'zones_of_region', 'homes', 'expected'),
    (
        ('east-a', EAST, (), ['vm-1']),
        ('east-c', EAST, (), ['vm-1', 'vm-2']),
        ('north-a', NORTH, ('south-a',), ['vm-4']),
        ('north-a', NORTH, (), ['vm-1', 'vm-2', 'vm-3', 'vm-4']),
    ),
)
def test_directory_returns_the_nearest_vms(
    zone, zones_of_region, homes, expected
):
    found = pick_nearest_vms(VMS, zone, zones_of_region, frozenset(homes))
    assert sorted(member.vm for member in found) == expected


def make_uneven_zone(zone):
    """Return the VMs of a zone: two large ones and three small ones."""
    return [
        make_member(f'{zone}-{index}', zone=zone, capacity=capacity)
        for index, capacity in enumerate((2000.0, 2000.0, 150.0, 150.0, 150.0))
    ]


def test_clients_use_the_large_vms_of_their_region():
    vms = [*make_uneven_zone('east-a'), *make_uneven_zone('east-b')]
    found = pick_nearest_vms(vms, 'east-a', EAST, frozenset())
    names = ['east-a-0', 'east-a-1', 'east-b-0', 'east-b-1']
    assert sorted(member.vm for member in found) == names
    alone = pick_nearest_vms(vms[:5], 'east-a', EAST, frozenset())
    assert sorted(member.vm for member in alone) == names[:2]


def test_zone_of_three_vms_of_like_size_keeps_its_clients():
    vms = [
        make_member(f'{zone}-{index}', zone=zone)
        for zone in ('east-a', 'east-b')
        for index in range(3)
    ]
    found = pick_nearest_vms(vms, 'east-a', EAST, frozenset())
    assert {member.zone for member in found} == {'east-a'}


def test_zone_with_loop_lag_shares_its_clients():
    lagging = [VMS[0]._replace(lag=0.3), *VMS[1:]]
    found = pick_nearest_vms(lagging, 'east-a', EAST, frozenset())
    assert [member.vm for member in found] == ['vm-2']
    lagging[1] = lagging[1]._replace(lag=0.4)
    found = pick_nearest_vms(lagging, 'east-a', EAST, frozenset())
    assert sorted(member.vm for member in found) == ['vm-1', 'vm-2']


def test_only_the_adapter_uses_words_of_the_platform():
    paths = [
        path
        for name in PLATFORM_PACKAGES
        for path in (PACKAGE_PATH / name).glob('*.py')
    ]
    found = {
        path.name: match.group()
        for path in paths
        for match in PLATFORM_WORDS.finditer(path.read_text())
    }
    assert paths
    assert not found
