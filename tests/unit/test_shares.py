"""Tests of buckets and of the slot table."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from toucanhall.shares import Holding, Table
from toucanhall.shares.bucket import (
    GIFT_SECONDS,
    LOAN_SECONDS,
    Bucket,
    give,
    receive,
    refill,
    resize,
    take,
)
from toucanhall.shares.parts import Limit
from toucanhall.shares.share import accept, ask, hold, make_share
from toucanhall.shares.slots import claim, find_slots

FIRST = Holding('a', 's1')
SECOND = Holding('b', 's2')


def test_new_bucket_starts_empty():
    _, admitted = take(Bucket(0, 0, 1, 5), 0)
    assert not admitted


@given(st.lists(st.floats(0, 5), max_size=60))
def test_admissions_stay_within_burst_and_rate(gaps):
    bucket, now, admitted = Bucket(3, 0, 2, 3), 0.0, 0
    for gap in gaps:
        now += gap
        bucket, taken = take(bucket, now)
        admitted += taken
        assert admitted <= 3 + 2 * now + 1e-6


def test_smaller_share_never_adds_tokens():
    bucket = resize(Bucket(4, 0, 1, 8), 0.5, 2, 0)
    assert bucket.tokens == 2
    assert resize(bucket, 1, 8, 0).tokens == 2


def test_slots_are_divided_evenly():
    live = frozenset(('a', 'b'))
    table = claim(Table({}), FIRST, live, 5)
    table = claim(table, SECOND, live, 5)
    assert len(find_slots(table, FIRST)) == 3
    assert len(find_slots(table, SECOND)) == 2


def test_restarted_vm_claims_its_earlier_slots():
    live = frozenset('a')
    table = claim(Table({}), FIRST, live, 4)
    restarted = Holding('a', 's9')
    table = claim(table, restarted, live, 4)
    assert len(find_slots(table, restarted)) == 4
    assert not len(find_slots(table, FIRST))


def test_no_two_gift_requests_have_the_same_time():
    share = hold(make_share(0), Limit(1, 2), 0)
    share, wanted = ask(share, 0)
    assert wanted == 2
    share = accept(share, 1, 0, 0)
    _, wanted = ask(share, 0)
    assert not wanted


def test_capacity_lent_to_a_gift_is_not_refilled_afterwards():
    bucket, tokens = give(Bucket(10, 0, 4, 10), 3, 0)
    assert tokens == 3
    assert refill(bucket, LOAN_SECONDS).tokens == 7
    assert refill(bucket, LOAN_SECONDS + 0.5).tokens == pytest.approx(9)


def test_expired_gift_is_dropped():
    short = Bucket(0, 0, 0, 10)
    assert receive(short, 4, 0, GIFT_SECONDS / 2).tokens == 4
    assert receive(short, 4, 0, GIFT_SECONDS).tokens == 0
