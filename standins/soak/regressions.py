"""Seeds for which the soak failed in the past, and why."""

from typing import Final, NamedTuple

__all__ = ('REGRESSIONS', 'Regression')


class Regression(NamedTuple):
    """A run that violated an invariant, and the cause."""

    seed: int
    seconds: float
    cause: str


_CPU_STARVATION: Final = (
    'no VM process got CPU time for up to 3.4 s (event 105 of each) beside '
    '750 other processes; four runs beside 450 passed'
)
REGRESSIONS: Final[tuple[Regression, ...]] = (
    Regression(75, 12.0, _CPU_STARVATION),
    Regression(76, 12.0, _CPU_STARVATION),
)
