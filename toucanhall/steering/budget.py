"""The retry budget: a fraction of the requests that succeeded."""

from typing import Final, NamedTuple

__all__ = ('Budget', 'earn', 'spend')

_MOST_RETRIES: Final = 10.0


class Budget(NamedTuple):
    """Retries that may be spent, and what each success adds."""

    retries: float = 1.0
    ratio: float = 0.08


def earn(budget: Budget) -> Budget:
    """Return the budget after a success."""
    retries = min(_MOST_RETRIES, budget.retries + budget.ratio)
    return budget._replace(retries=retries)


def spend(budget: Budget) -> tuple[Budget, bool]:
    """Return the budget and whether one retry was taken from it."""
    if budget.retries < 1:
        return budget, False
    return budget._replace(retries=budget.retries - 1), True
