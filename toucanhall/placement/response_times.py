"""How long requests of a route usually take at a target that is not full.

The mean serves to bound the wait of a request. The median over the first
targets of the objects is what the speed of one target is compared with: single
long runs and objects that a target does not remember hardly move it, and what
slows all answers alike, such as the link of the VM, moves it as much as them.
"""

import math
from typing import Final, NamedTuple

__all__ = ('ResponseTimes', 'UsualTime', 'UsualTimes')

_SMOOTHING_FACTOR: Final = 0.05  # averages over some twenty answers
_INITIAL_OBJECTIVE_FRACTION: Final = 0.5
_MAX_LATENCY_RATIO: Final = 4.0
# An answer moves the median by this fraction, up or down: a change by half
# takes eight answers in a row.
_MEDIAN_STEP_FRACTION: Final = 0.05
_MIN_SECONDS: Final = 0.001


class ResponseTimes:
    """Smoothed response times by route, in seconds."""

    def __init__(self) -> None:
        """Start without any answer."""
        self._seconds_by_route: dict[str, float] = {}

    def get(self, route: str, objective: float) -> float:
        """Return the expected time; half of the objective before any answer."""
        return self._seconds_by_route.get(
            route,
            objective * _INITIAL_OBJECTIVE_FRACTION,
        )

    def record(
        self,
        route: str,
        objective: float,
        seconds: float,
        fill: float,
    ) -> float | None:
        """Record an answer; return its time over the expected time.

        Answers of a target that was full say nothing about its speed: they are
        ignored, and the result is None.
        """
        if fill >= 1:
            return None
        expected = self.get(route, objective)
        self._seconds_by_route[route] = (
            expected + (seconds - expected) * _SMOOTHING_FACTOR
        )
        return min(_MAX_LATENCY_RATIO, seconds / max(expected, 0.001))


class UsualTime(NamedTuple):
    """The median and the mean of response times, in seconds."""

    median: float
    mean: float


class UsualTimes:
    """Response times at the first targets of objects, by route."""

    def __init__(self) -> None:
        """Start without any answer."""
        self._by_route: dict[str, UsualTime] = {}

    def get(self, route: str) -> UsualTime | None:
        """Return the usual time of a route; None before any answer."""
        return self._by_route.get(route)

    def record(self, route: str, seconds: float) -> None:
        """Record an answer of the first target of an object, not full."""
        seconds = max(_MIN_SECONDS, seconds)
        usual = self._by_route.get(route, UsualTime(seconds, seconds))
        direction = (seconds > usual.median) - (seconds < usual.median)
        self._by_route[route] = UsualTime(
            usual.median * math.exp(direction * _MEDIAN_STEP_FRACTION),
            usual.mean + (seconds - usual.mean) * _SMOOTHING_FACTOR,
        )
