"""Model of gifts; guards against admitting more than the limit.

A giver that may die, a receiver, and messages that are lost, late and
duplicated. A meter represents the limit: full at B, refilled at R, debited by
each admission. While the tokens of both and of the gift in transit never exceed
it, no window admits more than B + R*t. A tick is half the lifetime of a gift on
the slowest clock allowed, so that the clocks of giver and receiver may differ
by the whole allowed skew. The successor of a dead giver starts when all gifts
of that giver have expired; the wait of the fence, which is longer than the
lifetime of a gift, ensures this.
"""

import math
from typing import NamedTuple
from unittest import mock

import pytest
from minicheck import Protocol

from tests.models.reports import explore, report_model, report_variant
from toucanhall.shares import bucket, fence, share
from toucanhall.shares.bucket import LOAN_SECONDS, Bucket
from toucanhall.shares.share import Share

TICK = LOAN_SECONDS / 2
CAP = 2.0  # of each
BURST = CAP * 2
RATES = (0.5 / TICK, 2 / TICK)  # of each: slow and fast against gifts
DIGITS = 6
MAX_LAG = 6  # ticks after which a bucket is full and no gift in transit
DOWN = 2  # ticks
START_TOKENS = 0.0


class State(NamedTuple):
    """Both shares, a gift request and a gift in transit, and the meter."""

    giver: Share
    receiver: Share
    asked: tuple[float, float] | None = None  # tokens, asked at
    gift: tuple[float, float] | None = None
    meter: float = BURST
    is_used: bool = False
    down: int = 0


def make(tokens, rate):
    """Return a share at the present, which is 0."""
    return Share(Bucket(tokens, 0, rate, CAP))


def shift(found):
    """Return a share at the next tick, at which the present is 0 again."""
    kept = found.bucket
    loans = tuple(
        loan._replace(until=round(loan.until - TICK, DIGITS))
        for loan in kept.loans
    )
    updated_at = round(kept.updated_at - TICK, DIGITS)
    asks = tuple(round(at - TICK, DIGITS) for at in found.asks)
    moved = kept._replace(loans=loans, updated_at=updated_at)
    return Share(moved, asks, found.asked_at - TICK)


def tidy(found):
    """Return a share in which lags without an effect are equal."""
    kept = found.bucket
    if kept.updated_at <= -MAX_LAG * TICK:
        kept = bucket.refill(kept, 0)
    return Share(
        kept._replace(
            tokens=round(kept.tokens, DIGITS),
            loans=tuple(
                loan._replace(tokens=round(loan.tokens, DIGITS))
                for loan in kept.loans
            ),
        ),
        tuple(at for at in found.asks if at > -LOAN_SECONDS),
        0 if found.asked_at == 0 else -math.inf,
    )


def is_fresh(message):
    """Return whether a message may still have an effect."""
    return message is not None and message[1] > -LOAN_SECONDS


def list_steps(state):
    """Yield the possible steps."""
    if state.meter < 0:  # do not explore beyond a fault
        return
    yield 'time passes', pass_time(state)
    yield from list_spending(state)
    after, wanted = share.ask(state.receiver, 0)
    if wanted:
        yield (
            'asks',
            state._replace(receiver=after, asked=(round(wanted, DIGITS), 0.0)),
        )
    if state.asked and not state.down:
        after, tokens = share.give_tokens(state.giver, state.asked[0], 0)
        if tokens and state.gift is None:
            gift = round(tokens, DIGITS), state.asked[1]
            yield 'gives', state._replace(giver=after, gift=gift, is_used=False)
    if state.gift:
        after = share.accept(state.receiver, *state.gift, 0)
        yield 'accepts', state._replace(receiver=after, is_used=True)
    if not state.down:
        giver = make(START_TOKENS, state.giver.bucket.rate)
        yield 'giver dies', state._replace(giver=giver, down=DOWN)


def list_spending(state):
    """Let each admit a request."""
    after, wait = share.spend(state.receiver, 0)
    if wait is None:
        yield 'spends', state._replace(receiver=after, meter=state.meter - 1)
    after, wait = share.spend(state.giver, 0)
    if wait is None and not state.down:
        yield 'giver spends', state._replace(giver=after, meter=state.meter - 1)


def pass_time(state):
    """Advance by a tick; a lost message is one that expires."""
    asked, gift = (
        message and (message[0], round(message[1] - TICK, DIGITS))
        for message in (state.asked, state.gift)
    )
    down = max(0, state.down - 1)
    rate = state.giver.bucket.rate
    giver = make(START_TOKENS, rate) if state.down else shift(state.giver)
    meter = min(BURST, state.meter + rate * 2 * TICK)
    return state._replace(
        giver=giver,
        receiver=shift(state.receiver),
        asked=asked if is_fresh(asked) else None,
        gift=gift if is_fresh(gift) else None,
        meter=round(meter, DIGITS),
        down=down,
    )


def is_stock_bounded(fields):
    """Return whether all tokens together are within the meter."""
    state = State(**fields)
    giver = bucket.refill(state.giver.bucket, 0)
    receiver = bucket.refill(state.receiver.bucket, 0)
    stock = receiver.tokens
    if not state.down:
        stock += giver.tokens
    if (
        state.gift
        and not state.is_used
        and state.gift[1] in state.receiver.asks
    ):
        stock += state.gift[0]
    return stock <= state.meter + 1e-3


def check(rate):
    """Check that the sum of tokens stays within the limit."""
    protocol = Protocol(
        name='gifts',
        candidate=False,
        fields=State._fields,
        initial=tuple(State(make(CAP, rate), make(CAP, rate))),
        transitions=lambda fields: [
            (
                label,
                tuple(
                    after._replace(
                        giver=tidy(after.giver),
                        receiver=tidy(after.receiver),
                    ),
                ),
            )
            for label, after in list_steps(State(*fields))
        ],
        invariants={'stock': is_stock_bounded},
    )
    return explore(protocol)


@pytest.fixture(autouse=True)
def give_whole_tokens():
    """Let a giver give all its tokens, which keeps them whole numbers."""
    with mock.patch.object(bucket, '_GIFT_FRACTION', 1.0):
        yield


def find_faults(variant):
    """Return which rates lead to a counterexample."""
    faults = set()
    for rate in RATES:
        found = check(rate)['properties']['stock']
        report_variant(f'gifts {variant}, rate {rate:.0f}', found)
        if found['holds'] is False:
            faults.add(rate)
    return faults


@pytest.mark.parametrize('rate', RATES)
def test_stock_stays_within_the_limit(rate):
    checked = check(rate)
    report_model(f'gifts rate {rate:.0f}', checked)
    assert checked['properties']['stock']['holds'] is True


def test_wait_of_a_taker_outlives_gifts():
    assert fence.WAIT_SECONDS > LOAN_SECONDS


def give_without_loan(kept, wanted, now):
    """Debit a gift without reducing the capacity."""
    given, tokens = GIVE(kept, wanted, now)
    return given._replace(loans=kept.loans), tokens


def receive_old(kept, tokens, _asked_at, now):
    """Accept a gift even if it has expired."""
    return RECEIVE(kept, tokens, now, now)


def accept_again(found, tokens, asked_at, now):
    """Accept a gift each time it arrives."""
    after = ACCEPT(found, tokens, asked_at, now)
    return after._replace(asks=found.asks)


GIVE = bucket.give
RECEIVE = bucket.receive
ACCEPT = share.accept


@pytest.mark.parametrize(
    ('module', 'guard', 'broken'),
    [
        (share, 'give', give_without_loan),
        (share, 'accept', accept_again),
        (bucket, 'LOAN_SECONDS', 0.0),
    ],
)
def test_each_guard_is_needed(module, guard, broken):
    with mock.patch.object(module, guard, broken):
        faults = find_faults(guard)
    assert faults


def test_restart_needs_an_empty_bucket():
    with mock.patch(f'{__name__}.START_TOKENS', CAP):
        faults = find_faults('START_TOKENS')
    assert faults
