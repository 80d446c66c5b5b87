"""Tests of authenticated frames."""

import threading

from hypothesis import given
from hypothesis import strategies as st

from tests.builders import make_heartbeat
from toucanhall import runtime
from toucanhall.counters import Counters
from toucanhall.membership import Heartbeat
from toucanhall.transport import Exchange, seal, unseal
from toucanhall.transport.exchange import Handler, Identity

SECRET = b'fleet'
ADDRESS = '127.64.203.1'
TAKE_SECONDS = 0.3


def make_exchange(port):
    return Exchange(
        identity=Identity('vm-1', 's', SECRET),
        address=ADDRESS,
        port=port,
        counters=Counters(host=ADDRESS, port=port + 1),
    )


def test_frame_comes_through():
    envelope = unseal(SECRET, seal(SECRET, 'a', 's', make_heartbeat()))
    assert envelope.unwrap().kind == 'Heartbeat'


def test_frame_of_another_secret_is_forged():
    opened = unseal(SECRET, seal(b'other', 'a', 's', make_heartbeat()))
    assert opened.failure().reason == 'forged'


@given(st.binary(max_size=200))
def test_any_bytes_are_refused_and_nothing_is_raised(frame):
    assert unseal(SECRET, frame).failure().reason == 'forged'


def test_stop_waits_for_the_thread_that_takes_messages():
    exchange = make_exchange(port=9101)
    taken = threading.Event()

    def take(_envelope, _heartbeat):
        taken.set()
        runtime.pause(TAKE_SECONDS)

    exchange.start((Handler(Heartbeat, take),))
    exchange.send(ADDRESS, make_heartbeat())
    assert taken.wait(5)
    exchange.stop()
    assert 'exchange' not in {thread.name for thread in threading.enumerate()}


def test_handler_that_fails_once_does_not_end_the_messages():
    exchange = make_exchange(port=9103)
    taken = []
    is_taken = threading.Event()

    def take(_envelope, heartbeat):
        taken.append(heartbeat.sequence)
        if len(taken) == 1:
            raise ValueError('nobody expected this')
        is_taken.set()

    exchange.start((Handler(Heartbeat, take),))
    for sequence in (1, 2):
        exchange.send(ADDRESS, make_heartbeat(sequence=sequence))
    assert is_taken.wait(5)
    assert taken == [1, 2]
    exchange.stop()
