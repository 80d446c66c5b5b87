"""The clock, identifiers and timers of the process."""

import secrets
import threading
import time
from collections.abc import Callable
from typing import Final

__all__ = ('make_id', 'pause', 'read_clock', 'start_ticker')

_ID_BYTES: Final = 12


def read_clock() -> float:
    """Return seconds on the monotonic clock of the runtime."""
    return time.monotonic()


def make_id() -> str:
    """Return a random identifier that no other process makes."""
    return secrets.token_hex(_ID_BYTES)


def pause(seconds: float) -> None:
    """Hold the calling thread for some seconds."""
    time.sleep(seconds)


def start_ticker(
    period: float,
    call: Callable[[], None],
    stopping: threading.Event,
) -> threading.Thread:
    """Call a function every `period` seconds until the event is set."""

    def tick() -> None:
        while not stopping.wait(period):
            call()

    thread = threading.Thread(target=tick, name='ticker', daemon=True)
    thread.start()
    return thread
