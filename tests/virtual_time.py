"""An event loop whose clock stands still but when it would wait."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Found = TypeVar('Found')


class _Selector(selectors.DefaultSelector):
    """Moves a clock on instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return what is ready; else let the time pass."""
        found = super().select(0)
        if not found:
            self.now += timeout or 0.0
        return found


def run_in_virtual_time(act: Coroutine[Any, Any, Found]) -> Found:
    """Run a coroutine on a clock that starts at 0.0 seconds."""
    selector = _Selector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    try:
        return loop.run_until_complete(act)
    finally:
        loop.close()
