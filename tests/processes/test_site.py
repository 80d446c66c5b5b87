"""VMs as real processes on a stand-in of the platform: the path of requests."""

import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.site.deployment import Deployment, wait_until
from standins.site.documents import HOST, KEY, make_configuration, make_rule
from toucanhall.observe import events

NET = 61


@pytest.fixture(scope='module')
def site():
    with Deployment(net=NET) as deployment:
        for name in ('t1', 't2'):
            deployment.add_target(name)
        for vm in ('vm-1', 'vm-2'):
            deployment.start_vm(vm)
        deployment.wait_ready()
        yield deployment


@pytest.fixture(autouse=True)
def well(site):
    yield
    for target in site.targets.values():
        target.mode = 'well'
        target.seconds = 0.01
        target.executed.clear()
        target.cancelled_ids.clear()
    wait_until(lambda: serves(site), 'all targets in use again')


def serves(site):
    outcomes = [site.request('vm-1', item=str(item)) for item in range(8)]
    outcomes.append(site.request('vm-1', '/book/1', method='POST'))
    return all(found.status == 200 for found in outcomes)


def list_runs(site, request_id):
    return [
        run
        for target in site.targets.values()
        for run in target.executed
        if run.request_id == request_id
    ]


def test_request_reaches_one_target_with_its_team_and_without_its_key(site):
    found = site.request('vm-1', headers={'X-Toucanhall-Tenant-Id': 'forged'})
    (run,) = list_runs(site, found.request_id)
    assert found.status == 200
    assert found.body == f'{run.target} /view/1 '
    assert found.headers['X-Toucanhall-Response-Stamp'] == 'stamp'
    assert run.team == 'guides'
    assert run.key == ''
    assert 0 < run.deadline <= 2000


def test_same_object_goes_to_the_same_target_from_each_vm(site):
    for item in range(6):
        bodies = {
            site.request(vm, item=str(item)).body
            for vm in ('vm-1', 'vm-2')
            for _time in range(2)
        }
        assert len(bodies) == 1


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    (
        ('/nowhere/1', KEY, 404),
        ('/view/1', 'unknown', 401),
        ('/view/1', None, 401),
    ),
)
def test_what_no_configuration_allows_is_denied(site, path, key, status):
    assert site.request('vm-1', path, key=key).status == status


@pytest.mark.parametrize('mode', ('shed', 'fail', 'cut', 'lost'))
def test_idempotent_request_is_sent_once_more(site, mode):
    site.targets['t1'].mode = mode
    outcomes = [site.request('vm-1', item=str(item)) for item in range(8)]
    assert [found.status for found in outcomes] == [200] * 8
    assert all(found.body.startswith('t2') for found in outcomes)


@pytest.mark.parametrize('mode', ('stray', 'twice', 'unframed', 'leaving'))
def test_answer_is_the_one_of_its_request(site, mode):
    for target in site.targets.values():
        target.mode = mode
    with ThreadPoolExecutor(4) as pool:
        outcomes = list(
            pool.map(
                lambda item: site.request('vm-1', f'/view/{item}'),
                range(40),
            ),
        )
    assert {found.status for found in outcomes} == {200}
    for item, found in enumerate(outcomes):
        assert found.body.endswith(f' /view/{item} ')
        assert found.headers['X-Toucanhall-Request-Id'] == found.request_id


@pytest.mark.parametrize(
    ('mode', 'status', 'runs'),
    (
        ('lost', 502, 1),
        ('cut', 502, 1),
        ('fail', 500, 1),
        ('shed', 503, 0),
        ('busy', 502, 1),
        ('limit', 502, 1),
        ('slow', 502, 1),
    ),
)
def test_booking_runs_once_at_most_and_a_refusal_is_true(
    site,
    mode,
    status,
    runs,
):
    for target in site.targets.values():
        target.mode = mode
    found = site.request('vm-1', '/book/1', method='POST', body=b'seat')
    assert found.status == status
    assert len(list_runs(site, found.request_id)) == runs
    assert ('Retry-After' in found.headers) == (status == 503)


def test_figures_that_cannot_be_read_are_passed_over(site):
    for target in site.targets.values():
        target.mode = 'odd'
    assert site.request('vm-1').status == 200
    headers = {'X-Toucanhall-Request-Deadline': '9' * 5000}
    assert site.request('vm-1', headers=headers).status == 200


def test_bytes_that_are_no_message_end_no_process(site):
    ip = site.get_ip('vm-1')
    junk = (b'', b'x' * 1400, b'\x93\xc0\xc0\xc2', b'\x93\x91\x01\xc0\xc3')
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        for sent in junk:
            datagrams.sendto(sent, (ip, 7560))
    for port in (8388, 8384, 8383, 8381, 9464):
        for sent in (b'\x00' * 512, b'GET /%ff%00?a=%zz HTTP/1.1\r\n\r\n'):
            with socket.create_connection((ip, port)) as caller:
                caller.sendall(sent)
    time.sleep(1.0)
    assert site.vms['vm-1'].poll() is None
    assert site.request('vm-1').status == 200
    assert len(site.resolve_addresses('vm-2', 'east-a')) == 2
    assert site.find_events('vm-1', events.MESSAGE_DROPPED.number)


def test_body_is_passed_on_unchanged(site):
    found = site.request('vm-1', '/book/2?a=b', method='POST', body=b'seat 4')
    assert found.body.endswith(' /book/2?a=b seat 4')


def test_final_answer_comes_at_the_timeout_of_the_route(site):
    site.write(
        'config',
        'main',
        make_configuration(
            site.store.revision,
            rules=[
                make_rule('/view/'),
                make_rule('/quick/', timeout='300ms'),
                make_rule('/book/', route_type='non_idempotent'),
            ],
        ),
    )
    wait_until(lambda: site.request('vm-1', '/quick/1').status == 200, 'route')
    for target in site.targets.values():
        target.seconds = 1.0
    found = site.request('vm-1', '/quick/1')
    assert found.status == 504
    assert 0.25 < found.seconds < 0.5


def test_work_ends_when_the_caller_of_an_idempotent_request_leaves(site):
    for target in site.targets.values():
        target.seconds = 2.0
    found = site.request(
        'vm-1',
        wait_ms=200,
        headers={'X-Toucanhall-Request-Deadline': '3000'},
    )
    assert found.status == 0
    wait_until(
        lambda: any(
            found.request_id in target.cancelled_ids
            for target in site.targets.values()
        ),
        'work ended',
        seconds=0.5,
    )


def test_pipelined_requests_run_side_by_side_and_keep_their_order(site):
    for target in site.targets.values():
        target.seconds = 0.3
    with socket.create_connection((site.get_ip('vm-1'), 8388)) as caller:
        caller.settimeout(3)
        sent = b''.join(
            f'GET /view/{item} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Toucanhall-Request-Id: pipelined-{item}\r\n'
            f'Cookie: X-Toucanhall-Affinity-Key={item}\r\n'
            f'X-Toucanhall-Request-Deadline: 3000\r\n'
            f'Authorization: Bearer {KEY}\r\n\r\n'.encode()
            for item in range(4)
        )
        began = time.monotonic()
        caller.sendall(sent)
        received = b''
        while received.count(b' /view/') < 4:
            received += caller.recv(65536)
    assert time.monotonic() - began < 0.9
    places = [received.index(b' /view/%d ' % item) for item in range(4)]
    assert places == sorted(places)


@pytest.mark.parametrize(
    ('sent', 'status'),
    (
        (b'BAD\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nX: ' + b'a' * 20000 + b'\r\n\r\n', b'431'),
        (
            b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n',
            b'400',
        ),
        (
            b'POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n'
            + b'a' * 1100000,
            b'413',
        ),
    ),
)
def test_request_beyond_the_limits_is_rejected(site, sent, status):
    with socket.create_connection((site.get_ip('vm-1'), 8388)) as caller:
        caller.settimeout(3)
        try:
            caller.sendall(sent)
        except ConnectionError:
            return
        assert caller.recv(65536).split()[1] == status


def test_split_keeps_to_its_weights(site):
    site.write(
        'config',
        'main',
        make_configuration(
            site.store.revision,
            rules=[
                make_rule('/view/'),
                make_rule('/book/', route_type='non_idempotent'),
                make_rule(
                    '/split/',
                    service=None,
                    traffic_split=[
                        {'service': 'guide', 'weight': 75},
                        {'service': 'feed', 'weight': 25},
                    ],
                ),
            ],
        ),
    )
    wait_until(
        lambda: site.request('vm-1', '/split/1').status in {200, 503},
        'route',
    )
    statuses = [site.request('vm-1', '/split/1').status for _time in range(200)]
    assert 0.65 < statuses.count(200) / 200 < 0.85
    assert set(statuses) == {200, 503}


def test_crashed_target_is_left_alone_and_used_again(site):
    third = site.add_target('t3')
    wait_until(
        lambda: any(
            site.request('vm-1', item=str(item)).body.startswith('t3')
            for item in range(30)
        ),
        'the third target serves',
    )
    site.call_in_loop(third.stop)
    statuses = {
        site.request('vm-1', item=str(item)).status for item in range(30)
    }
    site.remove('servers', 't3')
    assert statuses == {200}
    assert site.find_events('vm-1', events.TARGET_SUSPENDED.number)


def test_metrics_count_requests_and_refusals(site):
    site.request('vm-1')
    site.request('vm-1', key='unknown')
    text = site.read_metrics('vm-1')
    assert 'toucanhall_request_seconds_count{route="view"}' in text
    assert (
        'toucanhall_refusals_total{reason="unknown-key",status="401"}' in text
    )


def test_stop_finishes_what_was_read_and_tells_callers_to_leave(site):
    site.start_vm('vm-3')
    site.wait_ready('vm-3')
    for target in site.targets.values():
        target.seconds = 0.4
    with ThreadPoolExecutor(4) as pool:
        under_way = [pool.submit(site.request, 'vm-3') for _call in range(4)]
        time.sleep(0.2)
        site.signal_vm('vm-3', signal.SIGTERM)
        outcomes = [found.result() for found in under_way]
    assert {found.status for found in outcomes} == {200}
    assert not site.is_ready('vm-3')
    late = site.request('vm-3')
    assert late.status == 200
    assert late.headers['Connection'] == 'close'
    wait_until(
        lambda: (
            site.get_ip('vm-3') + ':8388'
            not in site.resolve_addresses('vm-1', 'east-a')
        ),
        'not named by the directory',
        seconds=1.0,
    )
    assert site.vms['vm-3'].wait(5) == 0


def test_stop_refuses_at_once_what_it_has_no_time_for(site):
    site.start_vm('vm-4')
    site.wait_ready('vm-4')
    for target in site.targets.values():
        target.seconds = 0.8
    for item in range(24):
        site.request('vm-4', item=str(item))
    site.signal_vm('vm-4', signal.SIGTERM)
    time.sleep(1.2)
    found = site.request('vm-4')
    assert found.status == 503
    assert found.body == 'vm-stopping'
    assert found.seconds < 0.3
    assert not list_runs(site, found.request_id)
    assert site.vms['vm-4'].wait(5) == 0


def call_until_refused(address, cut):
    """Call on new connections until none is accepted; note calls cut off."""
    head = (
        f'GET /view/1 HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Authorization: Bearer {KEY}\r\n'
        'X-Toucanhall-Request-Deadline: 2000\r\n\r\n'
    ).encode()
    while True:
        try:
            caller = socket.create_connection(address, timeout=3)
        except OSError:
            return
        with caller:
            time.sleep(0.05)
            try:
                caller.sendall(head)
                answered = caller.recv(65536).startswith(b'HTTP/1.1 ')
            except ConnectionError:
                answered = False
            if not answered:
                cut.append(time.monotonic())


# The VM does not run from the first time after the signal to the second: its
# listener closes at 1.5 s, what is unanswered gets its answer at 1.82 s.
@pytest.mark.parametrize(
    'frozen',
    ((0.0, 0.0), (1.3, 1.55), (1.45, 1.7), (1.3, 1.9), (1.75, 1.95)),
)
def test_stop_under_load_cuts_off_no_request_without_an_answer(site, frozen):
    site.start_vm('vm-5')
    site.wait_ready('vm-5')
    for target in site.targets.values():
        target.seconds = 0.1
    address = (site.get_ip('vm-5'), 8388)
    cut = []
    with ThreadPoolExecutor(8) as pool:
        calls = [
            pool.submit(call_until_refused, address, cut) for _call in range(8)
        ]
        time.sleep(0.3)
        site.signal_vm('vm-5', signal.SIGTERM)
        freeze(site, 'vm-5', frozen)
        for call in calls:
            call.result()
    assert site.vms['vm-5'].wait(5) == 0
    assert not cut


def freeze(site, vm, frozen):
    """Let a VM not run from one time to another, in seconds from now."""
    start, end = frozen
    if end:
        time.sleep(start)
        site.signal_vm(vm, signal.SIGSTOP)
        time.sleep(end - start)
        site.signal_vm(vm, signal.SIGCONT)


def test_requests_that_waited_unread_are_not_sent_on_after_their_callers(site):
    for target in site.targets.values():
        target.seconds = 0.2
    with ThreadPoolExecutor(16) as pool:
        # Leaves idle connections to the targets, on which a request is sent
        # without a wait.
        list(
            pool.map(
                lambda item: site.request('vm-2', item=str(item)),
                range(16),
            ),
        )
        site.signal_vm('vm-2', signal.SIGSTOP)
        outcomes = list(
            pool.map(
                lambda item: site.request('vm-2', item=str(item), wait_ms=300),
                range(16),
            ),
        )
    time.sleep(0.7)
    site.signal_vm('vm-2', signal.SIGCONT)
    wait_until(lambda: site.request('vm-2').status == 200, 'serves again')
    assert {found.status for found in outcomes} == {0}
    assert not any(list_runs(site, found.request_id) for found in outcomes)
