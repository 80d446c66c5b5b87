"""Measures how many requests per second this VM receives."""

from typing import Final

__all__ = ('Arrivals',)

_WEIGHT: Final = 0.25  # of one beat: some four of them count


class Arrivals:
    """The smoothed rate of requests, updated with each heartbeat."""

    def __init__(self, *, now: float) -> None:
        """Start at a rate of zero."""
        self._count = 0
        self._measured_at = now
        self.per_second = 0.0

    def add(self) -> None:
        """Count a request."""
        self._count += 1

    def measure(self, now: float) -> None:
        """Update the rate with the requests since the last measurement."""
        elapsed = max(0.001, now - self._measured_at)
        rate = self._count / elapsed
        self.per_second += (rate - self.per_second) * _WEIGHT
        self._count = 0
        self._measured_at = now
