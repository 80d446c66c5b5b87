"""Tests of authenticated frames."""

from hypothesis import given
from hypothesis import strategies as st

from tests.builders import make_heartbeat
from toucanhall.transport import seal, unseal

SECRET = b'fleet'


def test_frame_comes_through():
    envelope = unseal(SECRET, seal(SECRET, 'a', 's', make_heartbeat()))
    assert envelope.unwrap().kind == 'Heartbeat'


def test_frame_of_another_secret_is_forged():
    opened = unseal(SECRET, seal(b'other', 'a', 's', make_heartbeat()))
    assert opened.failure().reason == 'forged'


@given(st.binary(max_size=200))
def test_any_bytes_are_refused_and_nothing_is_raised(frame):
    assert unseal(SECRET, frame).failure().reason == 'forged'
