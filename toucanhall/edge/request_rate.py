"""Measures how many requests per second this VM receives."""

from typing import Final

__all__ = ('RequestRate',)

_NEW_SAMPLE_FRACTION: Final = 0.25  # averages some four heartbeats


class RequestRate:
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
        elapsed_seconds = max(0.001, now - self._measured_at)
        sample = self._count / elapsed_seconds
        self.per_second += (sample - self.per_second) * _NEW_SAMPLE_FRACTION
        self._count = 0
        self._measured_at = now
