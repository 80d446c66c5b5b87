"""A team's tokens on one VM and its asks for gifts, as pure functions."""

import math
from typing import Final, NamedTuple

from toucanhall.shares.bucket import (
    CLOCK_MARGIN,
    GIFT_SECONDS,
    Bucket,
    give,
    receive,
    refill,
    resize,
    take,
    wait_for,
)
from toucanhall.shares.parts import Limit

__all__ = ('Purse', 'accept', 'ask', 'hold', 'make_purse', 'part_with', 'spend')

ASK_GAP_SECONDS: Final = 0.01
_ASK_BELOW: Final = 0.25  # of the cap
_LEAST_ASKED: Final = 0.01  # tokens


class Purse(NamedTuple):
    """The bucket, when its open asks were sent, and the latest of all.

    The time of an ask names it, so no two are sent at once. `turn` counts them.
    """

    bucket: Bucket
    asks: tuple[float, ...] = ()
    asked_at: float = -math.inf
    turn: int = 0


def make_purse(now: float) -> Purse:
    """Return a purse that holds no part of a limit."""
    return Purse(Bucket(0, now, 0, 0))


def hold(purse: Purse, limit: Limit, now: float) -> Purse:
    """Return the purse with another part of the limit; tokens only shrink.

    A clock that is fast within the margin refills no faster than the limit.
    """
    rate = limit.rate / (1 + CLOCK_MARGIN)
    bucket = resize(purse.bucket, rate, limit.burst, now)
    return purse._replace(bucket=bucket)


def spend(purse: Purse, now: float) -> tuple[Purse, float | None]:
    """Take one token; return the purse and the wait for one, if refused."""
    bucket, taken = take(purse.bucket, now)
    wait = None if taken else wait_for(bucket)
    return purse._replace(bucket=bucket), wait


def ask(purse: Purse, now: float) -> tuple[Purse, float]:
    """Return the purse after it may have asked, and the tokens asked for."""
    bucket = refill(purse.bucket, now)
    asks = tuple(at for at in purse.asks if now - at < GIFT_SECONDS)
    wanted = bucket.cap - bucket.tokens
    is_recent = now - purse.asked_at < ASK_GAP_SECONDS
    is_short = bucket.tokens < max(1, bucket.cap * _ASK_BELOW)
    if is_recent or not is_short or wanted < _LEAST_ASKED:
        return purse._replace(bucket=bucket, asks=asks), 0.0
    return Purse(bucket, (*asks, now), now, purse.turn + 1), wanted


def part_with(purse: Purse, wanted: float, now: float) -> tuple[Purse, float]:
    """Return the purse after a gift was debited, and the tokens of it."""
    bucket, tokens = give(purse.bucket, wanted, now)
    return purse._replace(bucket=bucket), tokens


def accept(purse: Purse, tokens: float, asked_at: float, now: float) -> Purse:
    """Return the purse after a gift; each ask is answered once."""
    if asked_at not in purse.asks:
        return purse
    bucket = receive(purse.bucket, tokens, asked_at, now)
    asks = tuple(at for at in purse.asks if at != asked_at)
    return purse._replace(bucket=bucket, asks=asks)
