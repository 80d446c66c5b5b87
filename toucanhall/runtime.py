"""The clock, identifiers and timers of the process."""

import secrets
import threading
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Final

__all__ = (
    'make_id',
    'pause',
    'read_clock',
    'read_utc',
    'read_wall_milliseconds',
    'start_ticker',
)

_ID_BYTES: Final = 12
_NANOSECONDS: Final = 1_000_000  # per millisecond


def read_clock() -> float:
    """Return seconds on the monotonic clock of the runtime."""
    return time.monotonic()


def read_utc() -> str:
    """Return the time of day in UTC, to the second, as ISO 8601."""
    return datetime.now(UTC).isoformat(timespec='seconds')


def read_wall_milliseconds() -> int:
    """Return milliseconds on the wall clock, which may be set back."""
    return time.time_ns() // _NANOSECONDS


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
