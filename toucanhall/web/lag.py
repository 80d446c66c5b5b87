"""How late the event loop is: the time that work waits to be looked at."""

import asyncio
from typing import Final

__all__ = ('LoopLag',)

_TICK_SECONDS: Final = 0.1
_WEIGHT: Final = 0.3  # of one tick: some three of them count


class LoopLag:
    """The smoothed lateness of a timer, in seconds."""

    def __init__(self) -> None:
        """Start with a loop that is in time."""
        self._loop = asyncio.get_running_loop()
        self._due_at = 0.0
        self.seconds = 0.0

    def start(self) -> None:
        """Measure from now on."""
        self._due_at = self._loop.time() + _TICK_SECONDS
        self._loop.call_at(self._due_at, self._tick)

    def record(self, late: float) -> None:
        """Take how late one tick was."""
        self.seconds += (late - self.seconds) * _WEIGHT

    def _tick(self) -> None:
        self.record(max(0.0, self._loop.time() - self._due_at))
        self.start()
