"""Tests of the shares of a limit that slots hold."""

from hypothesis import given
from hypothesis import strategies as st

from tests.builders import make_catalogue
from toucanhall.shares.parts import compute_min_limit, compute_slot_limits
from toucanhall.shares.revisions import (
    Confirmed,
    list_pending,
    record_confirmed,
)

EVERY_SLOT = frozenset(range(256))


def make(rate, burst, fraction=0.5, slots=64):
    """Return a catalogue with one team and two zones."""
    return make_catalogue(
        zones={
            'north-a': {'region': 'north', 'fraction': fraction},
            'south-a': {'region': 'south', 'fraction': 1 - fraction},
        },
        teams={'hostels': {'rate': rate, 'burst': burst}},
        slots_per_zone=slots,
    )


@given(st.floats(1, 1e4), st.floats(1, 1e4), st.floats(0, 1))
def test_shares_never_sum_to_more_than_the_limit(rate, burst, fraction):
    catalogue = make(rate, burst, fraction)
    held = [
        compute_min_limit([catalogue], zone, 'hostels', EVERY_SLOT)
        for zone in catalogue.zones
    ]
    assert sum(limit.rate for limit in held) <= rate * (1 + 1e-9)
    assert sum(limit.burst for limit in held) <= burst * (1 + 1e-9)


@given(st.floats(1, 100), st.integers(1, 256))
def test_each_share_of_a_small_limit_holds_a_token(burst, slots):
    catalogue = make(1, burst, slots=slots)
    parts = [
        limit
        for zone in catalogue.zones
        for limit in compute_slot_limits(catalogue, zone, 'hostels').values()
        if limit.burst
    ]
    assert parts
    assert min(limit.burst for limit in parts) >= 1


def test_minimum_of_two_revisions_is_held():
    older, newer = make(10, 1000), make(20, 400, 0.2)
    held = compute_min_limit([older, newer], 'north-a', 'hostels', EVERY_SLOT)
    assert held.rate <= 4 + 1e-9
    assert held.burst <= 80 + 1e-9


def test_revision_counts_as_confirmed_only_after_a_wait():
    zones = {'north-a': 2, 'south-a': 2}
    known = {1: make(1, 1), 2: make(2, 2)}
    confirmed = record_confirmed(Confirmed(), zones, 0)
    assert list_pending(known, confirmed.settled) == (1, 2)
    confirmed = record_confirmed(confirmed, zones, 6)
    assert list_pending(known, confirmed.settled) == (2,)


def test_nothing_is_held_while_an_unknown_revision_may_be_in_use():
    assert list_pending({3: make(1, 1)}, {'north-a': 2, 'south-a': 3}) == ()
