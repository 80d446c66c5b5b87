"""Tests of forwarding to a scripted target: answers, errors, connections."""

import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from tests.builders import make_request
from tests.scripted import (
    SILENCE,
    make_answer,
    make_chunked,
    start_target,
)
from toucanhall.forwarding.dispatch import Dispatcher

ID = ('Toucanhall-Request-Id', 'own')
HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
SECONDS = 5


def send(dispatcher, target, seconds=SECONDS, fresh=False, **changes):
    """Send a request to a scripted target."""
    request = make_request(headers=(ID,), **changes)
    return dispatcher.send(target.address, request, seconds, fresh=fresh)


def read(sent):
    """Return the whole body of an answer."""
    return b''.join(sent.unwrap().body)


@pytest.mark.parametrize(
    'answer',
    [
        make_answer(),
        b''.join((HINTS, HINTS, make_answer())),
        b''.join((b'HTTP/1.1 100 Continue\r\n\r\n', make_answer())),
        make_chunked(b'2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n'),
        make_answer('Toucanhall-Request-Id: own', body=b'whole'),
    ],
)
def test_complete_answer_is_returned(answer):
    with start_target(answer) as target:
        sent = send(Dispatcher(), target)
        assert sent.unwrap().status == 200
        assert read(sent) == b'whole'


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
        make_answer('Content-Length: 6', body=b'12345'),
        b'HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n12345',
        b'HTTP/1.1 200 OK\r\n\r\nno length',
        make_chunked(b'5\r\nshort\r\n'),
        make_chunked(b'zz\r\nshort\r\n0\r\n\r\n'),
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
        b'Content-Length: 5\r\n\r\n5\r\nshort\r\n0\r\n\r\n',
        b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nno header\r\nContent-Length: 1\r\n\r\n1',
        make_answer('Toucanhall-Request-Id: other', body=b'foreign'),
        b'not HTTP\r\n\r\n',
        HINTS * 20,
    ],
)
def test_incomplete_malformed_or_foreign_answer_is_an_error(answer):
    with start_target(answer, closes=True) as target:
        error = send(Dispatcher(), target, fresh=True).failure()
        assert error.sent


def test_repeated_headers_are_kept_and_hop_by_hop_headers_dropped():
    answer = make_answer(
        'Set-Cookie: a=1',
        'Set-Cookie: b=2',
        'ETag: "x"',
        'Connection: X-Own',
        'X-Own: 1',
        'Keep-Alive: 5',
        body=b'',
    )
    with start_target(answer) as target:
        headers = send(Dispatcher(), target).unwrap().headers
    assert headers == (
        ('Content-Length', '0'),
        ('Set-Cookie', 'a=1'),
        ('Set-Cookie', 'b=2'),
        ('ETag', '"x"'),
    )


@pytest.mark.parametrize('status', ['204 No Content', '304 Not Modified'])
def test_answer_without_body_keeps_the_connection(status):
    empty = f'HTTP/1.1 {status}\r\nETag: "x"\r\n\r\n'.encode()
    with start_target(empty, make_answer()) as target:
        dispatcher = Dispatcher()
        assert read(send(dispatcher, target)) == b''
        assert read(send(dispatcher, target)) == b'whole'
        assert target.connections == 1


def test_answer_to_head_has_a_length_and_no_body():
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'
    with start_target(head, make_answer()) as target:
        dispatcher = Dispatcher()
        sent = send(dispatcher, target, method='HEAD')
        assert sent.unwrap().headers == (('Content-Length', '9'),)
        assert read(sent) == b''
        assert read(send(dispatcher, target)) == b'whole'


def test_connection_with_unread_bytes_is_not_reused():
    longer = make_answer(body=b'whole') + make_answer(body=b'foreign')
    with start_target(longer, make_answer(body=b'second')) as target:
        dispatcher = Dispatcher()
        assert read(send(dispatcher, target)) == b'whole'
        assert read(send(dispatcher, target)) == b'second'
        assert target.connections == 2


def test_connection_of_an_unread_answer_is_not_reused():
    large = make_answer(body=bytes(200_000))
    with start_target(large, make_answer(body=b'second')) as target:
        dispatcher = Dispatcher()
        body = send(dispatcher, target).unwrap().body
        next(iter(body))
        body.close()
        assert read(send(dispatcher, target)) == b'second'
        assert target.connections == 2


def test_truncated_large_answer_raises():
    cut = make_answer(body=bytes(200_000))[:-1]
    with start_target(cut, closes=True) as target:
        sent = send(Dispatcher(), target)
        with pytest.raises(OSError, match='missing'):
            read(sent)


def test_safe_request_is_retried_on_a_new_connection_after_silence():
    answers = (make_answer(body=b'first'), SILENCE, make_answer(body=b'second'))
    with start_target(*answers) as target:
        dispatcher = Dispatcher()
        read(send(dispatcher, target))
        assert read(send(dispatcher, target, seconds=2)) == b'second'
        assert target.connections == 2


def test_unsafe_request_is_sent_once_on_a_new_connection():
    answers = (make_answer(body=b'first'), SILENCE)
    with start_target(*answers) as target:
        dispatcher = Dispatcher()
        read(send(dispatcher, target))
        sent = send(dispatcher, target, seconds=0.3, fresh=True)
        assert sent.failure().sent
        assert (target.connections, len(target.requests)) == (2, 2)


def test_deadline_ends_an_incomplete_answer():
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12'
    with start_target(head) as target:
        assert send(Dispatcher(), target, seconds=0.3).failure().sent


def test_refused_connection_is_reported_as_not_sent():
    with socket.create_server(('127.0.0.1', 0)) as closed:
        address = f'127.0.0.1:{closed.getsockname()[1]}'
    sent = Dispatcher().send(address, make_request(), SECONDS, fresh=True)
    assert not sent.failure().sent


def test_folded_header_is_joined_to_one_line():
    with start_target(make_answer('X-Long: a\r\n b')) as target:
        headers = send(Dispatcher(), target).unwrap().headers
    assert headers[-1] == ('X-Long', 'a b')


def test_connection_header_cannot_drop_the_request_id():
    request = make_request(headers=(('Connection', ID[0]), ID))
    with start_target(make_answer()) as target:
        Dispatcher().send(target.address, request, SECONDS, fresh=True)
        assert f'{ID[0]}: own' in target.requests[0]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.binary(min_size=1, max_size=40),
            st.sampled_from(
                [
                    b'HTTP/1.1 200 OK\r\n',
                    b'HTTP/1.1 103 \r\n\r\n',
                    b'Content-Length: 3\r\n',
                    b'Content-Length: \xb2\r\n',
                    b'Transfer-Encoding: chunked\r\n',
                    b'\r\n',
                    b'-3\r\nabc\r\n',
                ]
            ),
        ),
        min_size=1,
        max_size=8,
    )
)
def test_arbitrary_answer_does_not_crash_the_dispatcher(parts):
    with start_target(b''.join(parts), closes=True) as target:
        sent = send(Dispatcher(), target, fresh=True)
        if not isinstance(sent, Success):
            assert sent.failure().sent
