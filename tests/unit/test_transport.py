"""Tests of authenticated frames and of the exchange of messages."""

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
HANDLER_SECONDS = 0.3


def make_exchange(port):
    return Exchange(
        identity=Identity('vm-1', 's', SECRET),
        address=ADDRESS,
        port=port,
        counters=Counters(host=ADDRESS, port=port + 1),
    )


def test_sealed_frame_is_unsealed():
    envelope = unseal(SECRET, seal(SECRET, 'a', 's', make_heartbeat()))
    assert envelope.unwrap().kind == 'Heartbeat'


def test_frame_sealed_with_another_secret_is_forged():
    unsealed = unseal(SECRET, seal(b'other', 'a', 's', make_heartbeat()))
    assert unsealed.failure().reason == 'forged'


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_forged_and_raise_nothing(frame):
    assert unseal(SECRET, frame).failure().reason == 'forged'


def test_stop_waits_for_the_receiving_thread():
    exchange = make_exchange(port=9101)
    handled = threading.Event()

    def handle(_envelope, _heartbeat):
        handled.set()
        runtime.pause(HANDLER_SECONDS)

    exchange.start((Handler(Heartbeat, handle),))
    exchange.send(ADDRESS, make_heartbeat())
    assert handled.wait(5)
    exchange.stop()
    assert 'exchange' not in {thread.name for thread in threading.enumerate()}


def test_messages_are_handled_after_a_handler_raised():
    exchange = make_exchange(port=9103)
    handled = []
    are_handled = threading.Event()

    def handle(_envelope, heartbeat):
        handled.append(heartbeat.sequence)
        if len(handled) == 1:
            raise ValueError('nobody expected this')
        are_handled.set()

    exchange.start((Handler(Heartbeat, handle),))
    for sequence in (1, 2):
        exchange.send(ADDRESS, make_heartbeat(sequence=sequence))
    assert are_handled.wait(5)
    assert handled == [1, 2]
    exchange.stop()
