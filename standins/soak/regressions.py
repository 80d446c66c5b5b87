"""Seeds of the soak that failed once, and why."""

from typing import Final, NamedTuple

__all__ = ('REGRESSIONS', 'Regression')


class Regression(NamedTuple):
    """A run that broke a promise before its cause was mended."""

    seed: int
    seconds: float
    cause: str


REGRESSIONS: Final[tuple[Regression, ...]] = ()
