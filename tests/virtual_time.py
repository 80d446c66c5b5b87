"""An event loop in virtual time: waits take no real time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar('Result')


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return the ready events; without one, skip the timeout."""
        ready_events = super().select(0)
        if not ready_events:
            self.now += timeout or 0.0
        return ready_events


def run_in_virtual_time(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in virtual time that starts at 0.0 seconds."""
    selector = _VirtualTimeSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
