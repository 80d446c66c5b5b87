"""How many requests a second this VM takes."""

from typing import Final

__all__ = ('RequestRate',)

_WEIGHT: Final = 0.25  # of one beat: some four of them count


class RequestRate:
    """The smoothed rate of requests, measured with each heartbeat."""

    def __init__(self, *, now: float) -> None:
        """Start without any request."""
        self._count = 0
        self._measured_at = now
        self.per_second = 0.0

    def add(self) -> None:
        """Count a request."""
        self._count += 1

    def measure(self, now: float) -> None:
        """Take the requests since the last time into the rate."""
        elapsed = max(0.001, now - self._measured_at)
        rate = self._count / elapsed
        self.per_second += (rate - self.per_second) * _WEIGHT
        self._count = 0
        self._measured_at = now
