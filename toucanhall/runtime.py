"""Clocks, random identifiers, timers and error handling of threads."""

import secrets
import threading
import time
import traceback
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any, Final

from toucanhall import events

__all__ = (
    'dispatch',
    'call_and_log_errors',
    'make_id',
    'pause',
    'read_boot_clock',
    'read_clock',
    'read_utc',
    'read_wall_milliseconds',
    'start_ticker',
)

_ID_BYTES: Final = 12
_NANOSECONDS_PER_MILLISECOND: Final = 1_000_000


def read_clock() -> float:
    """Return the seconds of the monotonic clock."""
    return time.monotonic()


def read_boot_clock() -> float:
    """Return the seconds since boot, with those of a suspended machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_utc() -> str:
    """Return the current UTC time as ISO 8601, to the second."""
    return datetime.now(UTC).isoformat(timespec='seconds')


def read_wall_milliseconds() -> int:
    """Return the milliseconds of the wall clock, which may be set back."""
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


def make_id() -> str:
    """Return a random identifier, unique across processes."""
    return secrets.token_hex(_ID_BYTES)


def pause(seconds: float) -> None:
    """Block the calling thread for some seconds."""
    time.sleep(seconds)


def dispatch(
    handlers: Mapping[type, Callable[[Any], None]],
    message: object,
) -> None:
    """Call the handler of a message's type; log an unexpected error."""
    call_and_log_errors(_call_handler, handlers, message)


def _call_handler(
    handlers: Mapping[type, Callable[[Any], None]],
    message: object,
) -> None:
    handlers[type(message)](message)


def call_and_log_errors(call: Callable[..., Any], *arguments: Any) -> None:
    """Call a function; log an unexpected error instead of raising it.

    For threads that handle many messages: an error with one message must not
    end the thread.
    """
    try:
        call(*arguments)
    except Exception as error:  # noqa: BLE001
        frame = traceback.extract_tb(error.__traceback__)[-1]
        events.log(
            events.UNEXPECTED_ERROR,
            work=f'{frame.name}:{frame.lineno}',
            why=repr(error),
        )


def start_ticker(
    period_seconds: float,
    call: Callable[[], None],
    stopping: threading.Event,
) -> threading.Thread:
    """Call a function every `period_seconds` until the event is set.

    An unexpected error is logged and the next call follows as usual.
    """

    def tick() -> None:
        while not stopping.wait(period_seconds):
            call_and_log_errors(call)

    thread = threading.Thread(target=tick, name='ticker', daemon=True)
    thread.start()
    return thread
