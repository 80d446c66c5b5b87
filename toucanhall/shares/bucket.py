"""A token bucket, as pure functions of its state and the time."""

from typing import Final, NamedTuple

__all__ = (
    'Bucket',
    'MAX_CLOCK_SKEW_RATIO',
    'GIFT_SECONDS',
    'LOAN_SECONDS',
    'Loan',
    'give',
    'receive',
    'refill',
    'resize',
    'take',
    'wait_for',
)

GIFT_SECONDS: Final = 0.25  # lifetime of a gift on the receiver's clock
# Bound on the difference in speed of two clocks.
MAX_CLOCK_SKEW_RATIO: Final = 0.002
LOAN_SECONDS: Final = GIFT_SECONDS * (1 + MAX_CLOCK_SKEW_RATIO)
_GIFT_FRACTION: Final = 0.35  # of the giver's tokens


class Loan(NamedTuple):
    """Capacity that stays unused until a gift of `tokens` has expired."""

    tokens: float
    until: float


class Bucket(NamedTuple):
    """The tokens at a time, the rate in tokens/s and the capacity `cap`."""

    tokens: float
    updated_at: float
    rate: float
    cap: float
    loans: tuple[Loan, ...] = ()


def refill(bucket: Bucket, now: float) -> Bucket:
    """Return the bucket at a later time.

    It is refilled up to the end of each loan in turn: tokens that exceeded the
    reduced capacity during a loan are not added afterwards.
    """
    for loan in sorted(bucket.loans, key=lambda entry: entry.until):
        if loan.until > now:
            break
        bucket = _accrue(bucket, loan.until)
        bucket = bucket._replace(
            loans=tuple(other for other in bucket.loans if other is not loan),
        )
    return _accrue(bucket, now)


def resize(bucket: Bucket, rate: float, cap: float, now: float) -> Bucket:
    """Return the bucket with another rate and cap; this adds no tokens."""
    return _accrue(refill(bucket, now)._replace(rate=rate, cap=cap), now)


def take(bucket: Bucket, now: float) -> tuple[Bucket, bool]:
    """Return the bucket and whether one token was taken from it."""
    filled = refill(bucket, now)
    if filled.tokens < 1:
        return filled, False
    return filled._replace(tokens=filled.tokens - 1), True


def give(bucket: Bucket, wanted: float, now: float) -> tuple[Bucket, float]:
    """Return the bucket after a gift was debited, and the tokens given.

    The capacity of the bucket is reduced by the gift until the receiver has
    used or dropped it.
    """
    filled = refill(bucket, now)
    tokens = max(0.0, min(wanted, filled.tokens * _GIFT_FRACTION))
    loan = Loan(tokens, now + LOAN_SECONDS)
    debited = filled._replace(
        tokens=filled.tokens - tokens,
        loans=(*filled.loans, loan),
    )
    return (debited, tokens) if tokens else (filled, 0.0)


def receive(
    bucket: Bucket,
    tokens: float,
    asked_at: float,
    now: float,
) -> Bucket:
    """Return the bucket after a gift; an expired gift is dropped."""
    filled = refill(bucket, now)
    if now - asked_at >= GIFT_SECONDS:
        return filled
    return filled._replace(
        tokens=min(_compute_capacity(filled), filled.tokens + tokens)
    )


def wait_for(bucket: Bucket) -> float:
    """Return the seconds until one token is available; 0 without a rate."""
    if bucket.rate <= 0:
        return 0.0
    return max(0.0, (1 - bucket.tokens) / bucket.rate)


def _accrue(bucket: Bucket, now: float) -> Bucket:
    elapsed = max(0.0, now - bucket.updated_at)
    tokens = min(
        _compute_capacity(bucket), bucket.tokens + elapsed * bucket.rate
    )
    return bucket._replace(
        tokens=tokens,
        updated_at=max(now, bucket.updated_at),
    )


def _compute_capacity(bucket: Bucket) -> float:
    return max(0.0, bucket.cap - sum(loan.tokens for loan in bucket.loans))
