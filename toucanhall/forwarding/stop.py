"""Stops the HTTP server without interrupting requests."""

import math
import time
from collections.abc import Callable
from threading import Event
from typing import Any, Final

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser

from toucanhall import runtime

__all__ = ('stop_after',)

_CHECK_INTERVAL_SECONDS: Final = 0.1
_MAX_IDLE_SECONDS: Final = 1.0


class _ClosingParser(HTTPRequestParser):
    """Parses each request as if it asked to close the connection."""

    headers: dict[str, str]

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the header and set `Connection: close`."""
        super().parse_header(header_plus)
        self.headers['CONNECTION'] = 'close'


class _ClosingChannel(HTTPChannel):
    """A connection that is closed after its next answer."""

    parser_class = _ClosingParser


def stop_after(server: Any, linger_seconds: float, idle_seconds: float) -> None:
    """Stop a server after callers had time to move to another VM.

    For `linger_seconds` it accepts connections, and closes each of them after
    an answer, so that callers resolve again which VM to use. Then it accepts
    the connections in the backlog, closes its listening socket, and ends its
    loop when no connection is left. A connection whose caller reads nothing
    for `idle_seconds` is closed. This function and all steps run on the thread
    of the server's loop.
    """
    ends_at = runtime.read_clock() + linger_seconds
    stopped = Event()
    _close_after_answers(server)

    def check() -> None:
        if runtime.read_clock() < ends_at:
            return
        if server.accepting:
            _stop_accepting(server)
        elif _close_idle(server, idle_seconds):
            stopped.set()
            server.trigger.close()

    runtime.start_ticker(
        _CHECK_INTERVAL_SECONDS, _make_tick(server, check, stopped), stopped
    )


def _make_tick(
    server: Any,
    check: Callable[[], None],
    stopped: Event,
) -> Callable[[], None]:
    def tick() -> None:
        if not stopped.is_set():
            server.trigger.pull_trigger(check)

    return tick


def _close_after_answers(server: Any) -> None:
    server.channel_class = _ClosingChannel
    for channel in tuple(server.active_channels.values()):
        channel.parser_class = _ClosingParser


def _stop_accepting(server: Any) -> None:
    known = -1
    while known < len(server.active_channels):
        known = len(server.active_channels)
        server.handle_accept()
    server.accepting = False
    server.del_channel()
    server.socket.close()


def _close_idle(server: Any, idle_seconds: float) -> bool:
    """Close idle connections; return whether no connection is left.

    A connection stays open for `_MAX_IDLE_SECONDS` after its last activity,
    because the caller may already have sent a request.
    """
    now = time.time()
    for channel in tuple(server.active_channels.values()):
        silence_seconds = now - channel.last_activity
        if silence_seconds > _get_max_idle_seconds(channel, idle_seconds):
            channel.handle_close()
    return not server.active_channels


def _get_max_idle_seconds(channel: Any, idle_seconds: float) -> float:
    if channel.total_outbufs_len:
        return idle_seconds
    return math.inf if channel.requests else _MAX_IDLE_SECONDS
