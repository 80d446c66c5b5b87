"""How long requests of a route usually take at a target with room."""

from typing import Final

__all__ = ('ResponseTimes',)

_WEIGHT: Final = 0.05  # of one answer: some twenty answers count
_FIRST_SHARE: Final = 0.5  # of the objective, before any answer
_MOST_RATIO: Final = 4.0


class ResponseTimes:
    """Smoothed times of answers by route, in seconds."""

    def __init__(self) -> None:
        """Start without any answer."""
        self._times: dict[str, float] = {}

    def get(self, route: str, objective: float) -> float:
        """Return the usual time; half of the objective before any answer."""
        return self._times.get(route, objective * _FIRST_SHARE)

    def record(
        self,
        route: str,
        objective: float,
        seconds: float,
        fill: float,
    ) -> float | None:
        """Take an answer; return its time over the usual time.

        Answers of a target that was full tell nothing of its speed.
        """
        if fill >= 1:
            return None
        usual = self.get(route, objective)
        self._times[route] = usual + (seconds - usual) * _WEIGHT
        return min(_MOST_RATIO, seconds / max(usual, 0.001))
