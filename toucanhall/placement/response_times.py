"""How long requests of a route usually take at a target that is not full."""

from typing import Final

__all__ = ('ResponseTimes',)

_SMOOTHING_FACTOR: Final = 0.05  # averages over some twenty answers
_INITIAL_OBJECTIVE_FRACTION: Final = 0.5
_MAX_LATENCY_RATIO: Final = 4.0


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
