"""How long requests of a route usually take at a target that is not full."""

from typing import Final

__all__ = ('UsualTimes',)

_WEIGHT: Final = 0.05  # averages over some twenty answers
_FIRST_SHARE: Final = 0.5
_MOST_RATIO: Final = 4.0


class UsualTimes:
    """Smoothed response times by route, in seconds."""

    def __init__(self) -> None:
        """Start without any answer."""
        self._times: dict[str, float] = {}

    def get(self, route: str, objective: float) -> float:
        """Return the expected time; half of the objective before any answer."""
        return self._times.get(
            route,
            objective * _FIRST_SHARE,
        )

    def take(
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
        usual = self.get(route, objective)
        self._times[route] = usual + (seconds - usual) * _WEIGHT
        return min(_MOST_RATIO, seconds / max(usual, 0.001))
