"""A token bucket, as pure functions of its state and the time."""

from typing import NamedTuple

__all__ = ('Bucket', 'resize', 'take', 'wait_for')


class Bucket(NamedTuple):
    """Tokens at a time, with the rate in tokens/s and the most it holds."""

    tokens: float
    updated_at: float
    rate: float
    cap: float


def refill(bucket: Bucket, now: float) -> Bucket:
    """Return the bucket at a later time."""
    elapsed = max(0.0, now - bucket.updated_at)
    tokens = min(bucket.cap, bucket.tokens + elapsed * bucket.rate)
    return bucket._replace(tokens=tokens, updated_at=now)


def resize(bucket: Bucket, rate: float, cap: float, now: float) -> Bucket:
    """Return the bucket with another rate and cap; tokens only shrink."""
    filled = refill(bucket, now)
    return filled._replace(rate=rate, cap=cap, tokens=min(cap, filled.tokens))


def take(bucket: Bucket, now: float) -> tuple[Bucket, bool]:
    """Return the bucket and whether one token was taken from it."""
    filled = refill(bucket, now)
    if filled.tokens < 1:
        return filled, False
    return filled._replace(tokens=filled.tokens - 1), True


def wait_for(bucket: Bucket) -> float:
    """Return the seconds until one token is there, if ever."""
    if bucket.rate <= 0:
        return 0.0
    return max(0.0, (1 - bucket.tokens) / bucket.rate)
