"""Requests through VMs that run as real processes, with stand-ins around."""

import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.site.deployment import Deployment, wait_until
from standins.site.documents import HOST, KEY, make_configuration, make_rule
from toucanhall.observe import events

NETWORK_OCTET = 61


@pytest.fixture(scope='module')
def deployment():
    with Deployment(network_octet=NETWORK_OCTET) as deployment:
        for name in ('t1', 't2'):
            deployment.add_target(name)
        for vm in ('vm-1', 'vm-2'):
            deployment.start_vm(vm)
        deployment.wait_ready()
        yield deployment


@pytest.fixture(autouse=True)
def restore_targets(deployment):
    yield
    for target in deployment.targets.values():
        target.mode = 'well'
        target.work_seconds = 0.01
        target.executed.clear()
        target.cancelled_ids.clear()
    wait_until(
        lambda: serves_all_requests(deployment),
        'all targets serve requests again',
    )


def serves_all_requests(deployment):
    outcomes = [
        deployment.request('vm-1', affinity_key=str(number))
        for number in range(8)
    ]
    outcomes.append(deployment.request('vm-1', '/book/1', method='POST'))
    return all(outcome.status == 200 for outcome in outcomes)


def list_executed(deployment, request_id):
    return [
        run
        for target in deployment.targets.values()
        for run in target.executed
        if run.request_id == request_id
    ]


def test_one_target_receives_the_request_with_its_team_and_without_its_key(
    deployment,
):
    outcome = deployment.request(
        'vm-1', headers={'X-Toucanhall-Tenant-Id': 'forged'}
    )
    (run,) = list_executed(deployment, outcome.request_id)
    assert outcome.status == 200
    assert outcome.body == f'{run.target} /view/1 '
    assert outcome.headers['X-Toucanhall-Response-Stamp'] == 'stamp'
    assert run.team == 'guides'
    assert run.key == ''
    assert 0 < run.deadline_ms <= 2000


def test_affinity_key_selects_the_same_target_on_each_vm(deployment):
    for number in range(6):
        bodies = {
            deployment.request(vm, affinity_key=str(number)).body
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
def test_request_without_route_or_known_key_is_denied(
    deployment, path, key, status
):
    assert deployment.request('vm-1', path, key=key).status == status


@pytest.mark.parametrize('mode', ('shed', 'fail', 'cut', 'lost'))
def test_idempotent_request_is_retried_at_another_target(deployment, mode):
    deployment.targets['t1'].mode = mode
    outcomes = [
        deployment.request('vm-1', affinity_key=str(number))
        for number in range(8)
    ]
    assert [outcome.status for outcome in outcomes] == [200] * 8
    assert all(outcome.body.startswith('t2') for outcome in outcomes)


@pytest.mark.parametrize('mode', ('stray', 'twice', 'unframed', 'leaving'))
def test_answer_belongs_to_its_request(deployment, mode):
    for target in deployment.targets.values():
        target.mode = mode
    with ThreadPoolExecutor(4) as pool:
        outcomes = list(
            pool.map(
                lambda number: deployment.request('vm-1', f'/view/{number}'),
                range(40),
            ),
        )
    assert {outcome.status for outcome in outcomes} == {200}
    for number, outcome in enumerate(outcomes):
        assert outcome.body.endswith(f' /view/{number} ')
        assert outcome.headers['X-Toucanhall-Request-Id'] == outcome.request_id


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
def test_booking_is_executed_at_most_once_and_never_if_refused(
    deployment,
    mode,
    status,
    runs,
):
    for target in deployment.targets.values():
        target.mode = mode
    outcome = deployment.request('vm-1', '/book/1', method='POST', body=b'seat')
    assert outcome.status == status
    assert len(list_executed(deployment, outcome.request_id)) == runs
    assert ('Retry-After' in outcome.headers) == (status == 503)


@pytest.mark.parametrize('suffix', ('', '_without_id'))
@pytest.mark.parametrize('moment', ('before', 'after'))
def test_refusal_written_again_does_not_answer_a_booking(
    deployment, moment, suffix
):
    targets = deployment.targets.values()
    for _booking in range(8):
        for target in targets:
            target.mode = f'refusal_{moment}{suffix}'
        refused = deployment.request('vm-1', '/book/1', method='POST')
        # The copy of a refusal before may come first.
        assert refused.status in {502, 503}
        time.sleep(0.4)  # until the targets do not count as full any more
        for target in targets:
            target.mode = 'well'
            target.work_seconds = 0.1
        outcome = deployment.request('vm-1', '/book/1', method='POST')
        time.sleep(0.15)
        runs = [
            executed
            for target in targets
            for executed in target.executed
            if executed.request_id == outcome.request_id
        ]
        assert len(runs) <= 1
        assert not runs or outcome.status in {200, 502, 504}


def test_load_and_deadline_of_thousands_of_digits_are_ignored(deployment):
    for target in deployment.targets.values():
        target.mode = 'odd'
    assert deployment.request('vm-1').status == 200
    headers = {'X-Toucanhall-Request-Deadline': '9' * 5000}
    assert deployment.request('vm-1', headers=headers).status == 200


def test_malformed_bytes_on_any_port_do_not_end_the_process(deployment):
    ip = deployment.get_ip('vm-1')
    datagrams_sent = (
        b'',
        b'x' * 1400,
        b'\x93\xc0\xc0\xc2',
        b'\x93\x91\x01\xc0\xc3',
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        for message in datagrams_sent:
            datagrams.sendto(message, (ip, 7560))
    for port in (8388, 8384, 8383, 8381, 9464):
        for message in (b'\x00' * 512, b'GET /%ff%00?a=%zz HTTP/1.1\r\n\r\n'):
            with socket.create_connection((ip, port)) as caller:
                caller.sendall(message)
    time.sleep(1.0)
    assert deployment.vms['vm-1'].poll() is None
    assert deployment.request('vm-1').status == 200
    assert len(deployment.resolve_addresses('vm-2', 'east-a')) == 2
    assert deployment.find_events('vm-1', events.MESSAGE_DROPPED.number)


def test_query_and_body_are_forwarded_unchanged(deployment):
    outcome = deployment.request(
        'vm-1', '/book/2?a=b', method='POST', body=b'seat 4'
    )
    assert outcome.body.endswith(' /book/2?a=b seat 4')


def test_final_answer_comes_at_the_timeout_of_its_route(deployment):
    deployment.write(
        'config',
        'main',
        make_configuration(
            deployment.store.revision,
            rules=[
                make_rule('/view/'),
                make_rule('/quick/', timeout='300ms'),
                make_rule('/book/', route_type='non_idempotent'),
            ],
        ),
    )
    wait_until(
        lambda: deployment.request('vm-1', '/quick/1').status == 200, 'route'
    )
    for target in deployment.targets.values():
        target.work_seconds = 1.0
    outcome = deployment.request('vm-1', '/quick/1')
    assert outcome.status == 504
    assert 0.25 < outcome.seconds < 0.5


def test_target_work_is_cancelled_when_the_caller_of_a_read_disconnects(
    deployment,
):
    for target in deployment.targets.values():
        target.work_seconds = 2.0
    outcome = deployment.request(
        'vm-1',
        timeout_ms=200,
        headers={'X-Toucanhall-Request-Deadline': '3000'},
    )
    assert outcome.status == 0
    wait_until(
        lambda: any(
            outcome.request_id in target.cancelled_ids
            for target in deployment.targets.values()
        ),
        'the targets ended the work of the request',
        timeout_seconds=0.5,
    )


def test_pipelined_requests_run_in_parallel_and_are_answered_in_order(
    deployment,
):
    for target in deployment.targets.values():
        target.work_seconds = 0.3
    with socket.create_connection((deployment.get_ip('vm-1'), 8388)) as caller:
        caller.settimeout(3)
        message = b''.join(
            f'GET /view/{number} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Toucanhall-Request-Id: pipelined-{number}\r\n'
            f'Cookie: X-Toucanhall-Affinity-Key={number}\r\n'
            f'X-Toucanhall-Request-Deadline: 3000\r\n'
            f'Authorization: Bearer {KEY}\r\n\r\n'.encode()
            for number in range(4)
        )
        started_at = time.monotonic()
        caller.sendall(message)
        received = b''
        while received.count(b' /view/') < 4:
            received += caller.recv(65536)
    assert time.monotonic() - started_at < 0.9
    positions = [received.index(b' /view/%d ' % number) for number in range(4)]
    assert positions == sorted(positions)


@pytest.mark.parametrize(
    ('message', 'status'),
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
def test_malformed_or_too_large_request_is_rejected(
    deployment, message, status
):
    with socket.create_connection((deployment.get_ip('vm-1'), 8388)) as caller:
        caller.settimeout(3)
        try:
            caller.sendall(message)
        except ConnectionError:
            return
        assert caller.recv(65536).split()[1] == status


def test_traffic_split_follows_its_weights(deployment):
    deployment.write(
        'config',
        'main',
        make_configuration(
            deployment.store.revision,
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
        lambda: deployment.request('vm-1', '/split/1').status in {200, 503},
        'the route is in force',
    )
    statuses = [
        deployment.request('vm-1', '/split/1').status for _time in range(200)
    ]
    assert 0.65 < statuses.count(200) / 200 < 0.85
    assert set(statuses) == {200, 503}


def test_crashed_target_is_suspended_and_requests_go_elsewhere(deployment):
    third = deployment.add_target('t3')
    wait_until(
        lambda: any(
            deployment.request(
                'vm-1', affinity_key=str(number)
            ).body.startswith('t3')
            for number in range(30)
        ),
        'the third target serves requests',
    )
    deployment.call_in_loop(third.stop)
    statuses = {
        deployment.request('vm-1', affinity_key=str(number)).status
        for number in range(30)
    }
    deployment.remove('servers', 't3')
    assert statuses == {200}
    assert deployment.find_events('vm-1', events.TARGET_SUSPENDED.number)


def test_metrics_count_requests_and_refusals(deployment):
    deployment.request('vm-1')
    deployment.request('vm-1', key='unknown')
    text = deployment.read_metrics('vm-1')
    assert 'toucanhall_request_seconds_count{route="view"}' in text
    assert (
        'toucanhall_refusals_total{reason="unknown-key",status="401"}' in text
    )


def test_stopping_vm_finishes_requests_and_asks_callers_to_close(deployment):
    deployment.start_vm('vm-3')
    deployment.wait_ready('vm-3')
    for target in deployment.targets.values():
        target.work_seconds = 0.4
    with ThreadPoolExecutor(4) as pool:
        pending = [
            pool.submit(deployment.request, 'vm-3') for _call in range(4)
        ]
        time.sleep(0.2)
        deployment.signal_vm('vm-3', signal.SIGTERM)
        outcomes = [request.result() for request in pending]
    assert {outcome.status for outcome in outcomes} == {200}
    assert not deployment.is_ready('vm-3')
    late_outcome = deployment.request('vm-3')
    assert late_outcome.status == 200
    assert late_outcome.headers['Connection'] == 'close'
    wait_until(
        lambda: (
            deployment.get_ip('vm-3') + ':8388'
            not in deployment.resolve_addresses('vm-1', 'east-a')
        ),
        'the directory no longer lists the VM',
        timeout_seconds=1.0,
    )
    assert deployment.vms['vm-3'].wait(5) == 0


def test_stopping_vm_refuses_requests_that_would_outlast_it(deployment):
    deployment.start_vm('vm-4')
    deployment.wait_ready('vm-4')
    for target in deployment.targets.values():
        target.work_seconds = 0.8
    for number in range(24):
        deployment.request('vm-4', affinity_key=str(number))
    deployment.signal_vm('vm-4', signal.SIGTERM)
    time.sleep(1.2)
    outcome = deployment.request('vm-4')
    assert outcome.status == 503
    assert outcome.body == 'vm-stopping'
    assert outcome.seconds < 0.3
    assert not list_executed(deployment, outcome.request_id)
    assert deployment.vms['vm-4'].wait(5) == 0


def call_until_refused(address, cut_off):
    """Send requests on new connections until one is refused.

    Records when a connection was accepted but closed without an answer.
    """
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
                cut_off.append(time.monotonic())


# The VM is paused from the first to the second time, in seconds after the
# signal. Its listener closes at 1.5 s; requests that are still unanswered are
# answered at 1.82 s. A pause over one of these times must lose no request.
@pytest.mark.parametrize(
    'pause',
    ((0.0, 0.0), (1.3, 1.55), (1.45, 1.7), (1.3, 1.9), (1.75, 1.95)),
)
def test_stopping_vm_under_load_answers_every_accepted_request(
    deployment, pause
):
    deployment.start_vm('vm-5')
    deployment.wait_ready('vm-5')
    for target in deployment.targets.values():
        target.work_seconds = 0.1
    address = (deployment.get_ip('vm-5'), 8388)
    cut_off = []
    with ThreadPoolExecutor(8) as pool:
        calls = [
            pool.submit(call_until_refused, address, cut_off)
            for _call in range(8)
        ]
        time.sleep(0.3)
        deployment.signal_vm('vm-5', signal.SIGTERM)
        pause_vm(deployment, 'vm-5', pause)
        for call in calls:
            call.result()
    assert deployment.vms['vm-5'].wait(5) == 0
    assert not cut_off


def pause_vm(deployment, vm, pause):
    """Pause a VM from one time to another, in seconds from now."""
    start, end = pause
    if end:
        time.sleep(start)
        deployment.signal_vm(vm, signal.SIGSTOP)
        time.sleep(end - start)
        deployment.signal_vm(vm, signal.SIGCONT)


def test_requests_whose_callers_left_during_a_pause_are_not_forwarded(
    deployment,
):
    for target in deployment.targets.values():
        target.work_seconds = 0.2
    with ThreadPoolExecutor(16) as pool:
        # Opens connections to the targets: a request on an idle one is sent
        # without a wait.
        list(
            pool.map(
                lambda number: deployment.request(
                    'vm-2', affinity_key=str(number)
                ),
                range(16),
            ),
        )
        deployment.signal_vm('vm-2', signal.SIGSTOP)
        outcomes = list(
            pool.map(
                lambda number: deployment.request(
                    'vm-2', affinity_key=str(number), timeout_ms=300
                ),
                range(16),
            ),
        )
    time.sleep(0.7)
    deployment.signal_vm('vm-2', signal.SIGCONT)
    wait_until(
        lambda: deployment.request('vm-2').status == 200,
        'the resumed VM serves requests',
    )
    assert {outcome.status for outcome in outcomes} == {0}
    assert not any(
        list_executed(deployment, outcome.request_id) for outcome in outcomes
    )
