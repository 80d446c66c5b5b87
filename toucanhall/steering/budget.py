"""The retry budget: a fraction of the requests that succeeded."""

from typing import Final, NamedTuple

__all__ = ('Budget', 'earn', 'limit_attempt', 'refill', 'spend')

_MAX_RETRIES: Final = 10.0
_RETRIES_PER_SUCCESS: Final = 0.07
_RETRY_TIME_FRACTION: Final = 0.2
_RETRIES_PER_SECOND: Final = 0.2
_INITIAL_RETRIES: Final = 3.0  # one target and one entry VM that have gone


class Budget(NamedTuple):
    """Retries that may be spent, as of a time in seconds."""

    retries: float = _INITIAL_RETRIES
    updated_at: float = 0.0


def earn(budget: Budget) -> Budget:
    """Return the budget after a success."""
    return _add(budget, _RETRIES_PER_SUCCESS)


def refill(budget: Budget, now: float) -> Budget:
    """Return the budget at a later time.

    A few retries come with time, or a VM whose requests all fail would never
    find out that other ways work again. Time brings no more than is enough
    for one request.
    """
    elapsed = max(0.0, now - budget.updated_at)
    missing = max(0.0, _INITIAL_RETRIES - budget.retries)
    added = min(missing, elapsed * _RETRIES_PER_SECOND)
    return _add(budget, added)._replace(updated_at=now)


def limit_attempt(remaining: float, *, may_retry: bool) -> float:
    """Return how long an attempt may take, out of the seconds that remain.

    The first attempt of a request that may be sent again leaves time for one
    more, in case that its connection has gone silent.
    """
    return remaining * (1 - _RETRY_TIME_FRACTION) if may_retry else remaining


def spend(budget: Budget) -> tuple[Budget, bool]:
    """Return the budget and whether one retry was taken from it."""
    if budget.retries < 1:
        return budget, False
    return budget._replace(retries=budget.retries - 1), True


def _add(budget: Budget, retries: float) -> Budget:
    return budget._replace(
        retries=min(_MAX_RETRIES, budget.retries + retries),
    )
