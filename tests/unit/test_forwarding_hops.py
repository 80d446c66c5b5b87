"""Tests of hop tokens and disclaimers between entry VMs."""

from returns.result import Success

from toucanhall.forwarding import hops
from toucanhall.transport.exchange import Identity

SENDER = Identity('north-a-1', 'start', b'secret')
HOP = hops.Hop('hostels', 'd', 'id-1', 'POST', '/bookings', 2.5)


def test_hop_token_is_read_back():
    token = hops.make_token(SENDER, HOP)
    assert hops.read_token(b'secret', token) == Success(HOP)


def test_hop_token_with_wrong_secret_or_encoding_is_invalid():
    token = hops.make_token(SENDER, HOP)
    assert hops.read_token(b'other', token).failure()
    assert hops.read_token(b'secret', 'not base64 \xe9').failure()


def test_disclaimer_is_valid_for_its_request_and_secret_only():
    disclaimer = hops.make_disclaimer(SENDER, 'id-1')
    assert hops.is_disclaimed(b'secret', disclaimer, 'id-1')
    assert not hops.is_disclaimed(b'secret', disclaimer, 'id-2')
    assert not hops.is_disclaimed(b'other', disclaimer, 'id-1')
    assert not hops.is_disclaimed(b'secret', '', 'id-1')


def test_hop_token_is_not_a_disclaimer():
    token = hops.make_token(SENDER, HOP)
    assert not hops.is_disclaimed(b'secret', token, 'id-1')
