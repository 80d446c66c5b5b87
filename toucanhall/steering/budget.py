"""The retry budget: a fraction of the number of successful requests."""

from typing import Final, NamedTuple

__all__ = ('Budget', 'earn', 'limit_attempt', 'refill', 'spend')

_MAX_RETRIES: Final = 10.0
_RETRIES_PER_SUCCESS: Final = 0.07
_RETRY_TIME_FRACTION: Final = 0.2
_RETRIES_PER_SECOND: Final = 0.2
# Enough for a request that meets a failed target and a failed entry VM.
_INITIAL_RETRIES: Final = 3.0


class Budget(NamedTuple):
    """The retries that may be spent, as of `updated_at` in seconds."""

    retries: float = _INITIAL_RETRIES
    updated_at: float = 0.0


def earn(budget: Budget) -> Budget:
    """Return the budget after a successful request."""
    return _add(budget, _RETRIES_PER_SUCCESS)


def refill(budget: Budget, now: float) -> Budget:
    """Return the budget at a later time.

    Time alone refills the budget up to its initial value, which is enough for
    one request. Without it, a VM whose requests all fail would never find out
    that other targets or VMs work again.
    """
    elapsed = max(0.0, now - budget.updated_at)
    missing = max(0.0, _INITIAL_RETRIES - budget.retries)
    added = min(missing, elapsed * _RETRIES_PER_SECOND)
    return _add(budget, added)._replace(updated_at=now)


def limit_attempt(remaining: float, *, may_retry: bool) -> float:
    """Return the timeout of an attempt, given the seconds that remain.

    An attempt that may be retried leaves time for the retry, in case its
    connection hangs.
    """
    return remaining * (1 - _RETRY_TIME_FRACTION) if may_retry else remaining


def spend(budget: Budget) -> tuple[Budget, bool]:
    """Return the budget and whether it allowed one retry."""
    if budget.retries < 1:
        return budget, False
    return budget._replace(retries=budget.retries - 1), True


def _add(budget: Budget, retries: float) -> Budget:
    return budget._replace(
        retries=min(_MAX_RETRIES, budget.retries + retries),
    )
