"""Tests of callers' HTTP with a server on a loopback port."""

import json
import socket
import threading
from contextlib import contextmanager

import pytest
from freezegun import freeze_time
from hypothesis import given
from hypothesis import strategies as st
from waitress.adjustments import Adjustments

from tests.builders import make_settings_text
from toucanhall import settings
from toucanhall.forwarding.edge import (
    Channel,
    Parser,
    check_head,
    check_target,
)
from toucanhall.forwarding.records import Answer
from toucanhall.forwarding.server import make_server
from toucanhall.forwarding.web import make_application

HOST = 'Host: a\r\n'
POST = f'POST /x HTTP/1.1\r\n{HOST}'


def serve(request):
    """Echo the body; `/cut` truncates the answer, `/crash` raises."""
    if request.path == '/crash':
        raise KeyError(request.path)
    body = cut() if request.path == '/cut' else (request.body,)
    headers = (('X-Method', request.method), ('X-Target', request.target))
    return Answer(200, 'OK', headers, body)


def cut():
    yield b'part'
    raise OSError('cut')


@pytest.fixture(scope='module', name='address')
def start_server():
    """Serve on a free port until the module's tests are done."""
    with socket.create_server(('127.0.0.1', 0)) as free:
        port = free.getsockname()[1]
    bounds = {'header_bytes': 1024, 'body_bytes': 1000, 'threads': 2}
    text = make_settings_text(
        address='127.0.0.1', caller_port=port, bounds=bounds,
    )  # fmt: skip
    read = settings.read(text, {'SECRET': 'x'}).unwrap()
    server = make_server(read, make_application(serve))
    threading.Thread(target=server.run, daemon=True).start()
    yield '127.0.0.1', port
    server.close()


@contextmanager
def send(address, text):
    """Send bytes and yield a reader of the response."""
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(text.encode('latin-1'))
        with connection.makefile('rb') as reader:
            yield reader


@pytest.mark.parametrize(
    ('text', 'status', 'reason'),
    [
        (f'{POST}Content-Length: 1\r\nContent-Length: 2', 400, 'bad-request'),
        (f'{POST}Content-Length: 1\r\nContent-Length: 1', 400, 'bad-request'),
        (f'{POST}Content-Length: 1, 1', 400, 'bad-request'),
        (f'{POST}Content-Length: +1', 400, 'bad-request'),
        (
            f'{POST}Content-Length: 5\r\nTransfer-Encoding: chunked',
            400,
            'bad-request',
        ),
        (f'{POST}Transfer-Encoding: gzip', 501, 'not-supported'),
        (f'{POST}Transfer-Encoding: chunked\r\n\r\nzz', 400, 'bad-request'),
        (
            'POST /x HTTP/1.0\r\nTransfer-Encoding: chunked',
            400,
            'bad-request',
        ),
        (f'{POST}X-A: 1\r\n folded: 2', 400, 'bad-request'),
        (f'{POST}X-A: 1\nX-B: 2', 400, 'bad-request'),
        (f'{POST}X A: 1', 400, 'bad-request'),
        (f'{POST}no colon', 400, 'bad-request'),
        (f'GET /x HTTP/1.1\r\n{HOST}{HOST[:-2]}', 400, 'bad-request'),
        ('GET /x HTTP/1.1', 400, 'bad-request'),
        (f'GET /x HTTP/2.0\r\n{HOST}', 400, 'bad-request'),
        (f'GET http://a/x HTTP/1.1\r\n{HOST}', 400, 'bad-request'),
        (f'GET /x\xe9 HTTP/1.1\r\n{HOST}', 400, 'bad-request'),
        (f'{POST}Content-Length: 1001', 413, 'body-too-large'),
        (f'{POST}X-A: {"a" * 2000}', 431, 'head-too-large'),
    ],
)
def test_malformed_or_ambiguous_request_is_refused(
    address, text, status, reason
):
    with send(address, f'{text}\r\n\r\n') as reader:
        head, _, body = reader.read().partition(b'\r\n\r\n')
    problem = json.loads(body)
    assert head.startswith(f'HTTP/1.1 {status} '.encode()) or (
        head.startswith(f'HTTP/1.0 {status} '.encode())
    )
    assert (problem['status'], problem['reason']) == (status, reason)
    assert b'\r\nContent-Type: application/problem+json' in head
    assert b'\r\nToucanhall-Ran: no' in head


@pytest.mark.parametrize(
    'target',
    [
        '/tours/../bookings',
        '/tours/%2e%2e/bookings',
        '/tours/%252e%252E/bookings',
        '/tours%2fx',
        '/tours%252fx',
        '/tours/..%5cbookings',
        r'/tours\bookings',
        '//bookings',
        '/tours/%00',
        '*',
        'bookings',
        '/tours#x',
    ],
)
def test_target_that_could_evade_its_route_is_refused(target):
    assert check_target(target)


@pytest.mark.parametrize(
    'target', ['/tours/x', '/tours/a..b/%C3%A9?a=/../b', '/t?next=http://a/b'],
)  # fmt: skip
def test_valid_target_has_no_fault(target):
    assert not check_target(target)


def test_error_does_not_contain_the_callers_text(address):
    secret = f'{POST}Authorization: Bearer open-sesame\rx'
    with send(address, f'{secret}\r\n\r\n') as reader:
        assert b'open-sesame' not in reader.read()


def test_crash_is_answered_as_maybe_run(address):
    crash = f'GET /crash HTTP/1.1\r\n{HOST}\r\n'
    with send(address, crash) as reader:
        text = reader.read()
    assert b' 500 ' in text
    assert b'Toucanhall-Ran: maybe' in text


def test_truncated_answer_has_no_final_chunk(address):
    with send(address, f'GET /cut HTTP/1.1\r\n{HOST}\r\n') as reader:
        text = reader.read()
    assert text.endswith(b'4\r\npart\r\n')


def test_chunked_body_is_received_and_head_has_no_body(address):
    chunked = f'{POST}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n'
    last = f'HEAD /x?a=%2F HTTP/1.1\r\n{HOST}Connection: close\r\n\r\n'
    with send(address, chunked) as reader:
        lines = list(iter(lambda: reader.readline().strip(), b''))
        assert b'X-Method: POST' in lines
        assert reader.read(2) == b'ab'
    with send(address, last) as reader:
        assert reader.read().endswith(b'\r\n\r\n')


class FakeServer:
    """The attributes of a server that a channel uses."""

    def __init__(self):
        """Start with no task."""
        self.active_channels = {}
        self.tasks = []
        self.add_task = self.tasks.append


def test_request_received_too_slowly_is_refused():
    server = FakeServer()
    own_end, peer = socket.socketpair()
    with peer, freeze_time() as clock:
        channel = Channel(server, own_end, ('', 0), Adjustments(), map={})
        channel.received(b'GET / HTTP/1.1\r\n')
        clock.tick(20)
        channel.received(b'Host: a\r\n')
        assert not server.tasks
        clock.tick(20)
        channel.received(b'X-A: a\r\n')
        assert channel.requests[0].error.code == 408
        assert server.tasks == [channel]
        channel.handle_close()


def test_body_of_maximum_size_is_accepted(address):
    text = f'{POST}Content-Length: 1000\r\nConnection: close\r\n\r\n'
    with send(address, text + 'a' * 1000) as reader:
        assert reader.read().endswith(b'a' * 1000)


HEADS = st.one_of(
    st.binary(max_size=300),
    st.lists(
        st.sampled_from(
            [
                b'GET / HTTP/1.1\r\n',
                b'POST /%2e%2e?a HTTP/1.0\r\n',
                b'Content-Length: 3\r\n',
                b'Content-Length: \xff\r\n',
                b'Transfer-Encoding: chunked\r\n',
                b'Host: a\r\n',
                b' \t',
                b'\r\n',
                b'\n',
                b'3\r\nabc\r\n0\r\n\r\n',
                b'GET http://[/ HTTP/1.1\r\n',
            ]
        ),
        max_size=12,
    ).map(b''.join),
)


@given(HEADS)
def test_arbitrary_bytes_do_not_crash_the_parser(text):
    parser = Parser(Adjustments())
    while text and not parser.completed:
        text = text[parser.received(text) :]


@given(st.binary(max_size=100))
def test_arbitrary_head_does_not_crash_the_check(head):
    assert isinstance(check_head(head), str)
