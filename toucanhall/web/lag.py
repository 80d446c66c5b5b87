"""Measures the event loop lag: how long ready work waits to be run."""

import asyncio
from typing import Final

__all__ = ('LoopLag',)

_TICK_INTERVAL_SECONDS: Final = 0.1
_SMOOTHING_WEIGHT: Final = 0.3  # of the latest tick; about three ticks count


class LoopLag:
    """Exponential moving average of the delay of a timer, in seconds."""

    def __init__(self) -> None:
        """Start without lag."""
        self._loop = asyncio.get_running_loop()
        self._due_at = 0.0
        self.seconds = 0.0

    def start(self) -> None:
        """Start to measure."""
        self._due_at = self._loop.time() + _TICK_INTERVAL_SECONDS
        self._loop.call_at(self._due_at, self._tick)

    def record(self, delay: float) -> None:
        """Record the delay of one tick, in seconds."""
        self.seconds += (delay - self.seconds) * _SMOOTHING_WEIGHT

    def _tick(self) -> None:
        self.record(max(0.0, self._loop.time() - self._due_at))
        self.start()
