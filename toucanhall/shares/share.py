"""A team's tokens on one VM and its gift requests, as pure functions."""

import math
from typing import Final, NamedTuple

from toucanhall.shares.bucket import (
    GIFT_SECONDS,
    MAX_CLOCK_SKEW_RATIO,
    Bucket,
    give,
    receive,
    refill,
    resize,
    take,
    wait_for,
)
from toucanhall.shares.parts import Limit

__all__ = (
    'Share',
    'accept',
    'ask',
    'hold',
    'make_share',
    'give_tokens',
    'spend',
)

_MIN_REQUEST_INTERVAL_SECONDS: Final = 0.01
_REQUEST_BELOW_FRACTION: Final = 0.25  # of the cap
_MIN_REQUEST_TOKENS: Final = 0.01


class Share(NamedTuple):
    """A bucket and its gift requests.

    `asks` are the times of the open requests and `asked_at` is that of the last
    one. A request is identified by its time, so no two are sent at the same
    time. `turn` counts all requests.
    """

    bucket: Bucket
    asks: tuple[float, ...] = ()
    asked_at: float = -math.inf
    turn: int = 0


def make_share(now: float) -> Share:
    """Return an empty share without rate and burst."""
    return Share(Bucket(0, now, 0, 0))


def hold(share: Share, limit: Limit, now: float) -> Share:
    """Return the share with another limit; this adds no tokens.

    The rate is reduced so that a clock that is fast within the allowed skew
    refills no faster than the limit.
    """
    rate = limit.rate / (1 + MAX_CLOCK_SKEW_RATIO)
    bucket = resize(share.bucket, rate, limit.burst, now)
    return share._replace(bucket=bucket)


def spend(share: Share, now: float) -> tuple[Share, float | None]:
    """Take one token; return the share, and the wait in s if refused."""
    bucket, taken = take(share.bucket, now)
    wait = None if taken else wait_for(bucket)
    return share._replace(bucket=bucket), wait


def ask(share: Share, now: float) -> tuple[Share, float]:
    """Return the share, and the tokens to request from a peer or 0."""
    bucket = refill(share.bucket, now)
    asks = tuple(at for at in share.asks if now - at < GIFT_SECONDS)
    wanted = bucket.cap - bucket.tokens
    is_recent = now - share.asked_at < _MIN_REQUEST_INTERVAL_SECONDS
    is_short = bucket.tokens < max(1, bucket.cap * _REQUEST_BELOW_FRACTION)
    if is_recent or not is_short or wanted < _MIN_REQUEST_TOKENS:
        return share._replace(bucket=bucket, asks=asks), 0.0
    return Share(bucket, (*asks, now), now, share.turn + 1), wanted


def give_tokens(share: Share, wanted: float, now: float) -> tuple[Share, float]:
    """Return the share after a gift was debited, and the tokens given."""
    bucket, tokens = give(share.bucket, wanted, now)
    return share._replace(bucket=bucket), tokens


def accept(share: Share, tokens: float, asked_at: float, now: float) -> Share:
    """Return the share after a gift; only one gift per request counts."""
    if asked_at not in share.asks:
        return share
    bucket = receive(share.bucket, tokens, asked_at, now)
    asks = tuple(at for at in share.asks if at != asked_at)
    return share._replace(bucket=bucket, asks=asks)
