"""Connections to targets and entry VMs, with a pool and time limits."""

import errno
import socket
import struct
import threading
from collections import defaultdict, deque
from http import client
from typing import Any, Final, NamedTuple

from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read

from toucanhall import runtime

__all__ = ('Connection', 'ConnectionPool', 'WaitLimits', 'open_connection')

_MAX_IDLE_SECONDS: Final = 4.0
_MAX_IDLE_CONNECTIONS: Final = 64
_TIMEVAL: Final = struct.Struct('@ll')
_MICROSECONDS_PER_SECOND: Final = 1_000_000
_MIN_WAIT_SECONDS: Final = 0.001  # the kernel takes 0 for no limit
# http.client skips 100 itself. Statuses that are in neither set, such as 101 or
# 600, are malformed.
_RETURNED_STATUSES: Final = frozenset((100, *range(200, 600)))
_INTERIM_STATUSES: Final = range(102, 200)
_MAX_HEADER_LINE_BYTES: Final = 65536
_MAX_INTERIM_RESPONSES: Final = 16


class WaitLimits(NamedTuple):
    """The deadline of an exchange, and the longest wait for one operation."""

    give_up_at: float
    max_silence_seconds: float


class LimitedSocket(socket.socket):
    """A socket whose waits are bounded by the limits of its exchange.

    The kernel enforces the timeouts. Python's own would cost two more system
    calls per wait, each of which releases the interpreter lock.
    """

    limits = WaitLimits(0.0, 0.0)
    is_peeking = False

    def recv_into(self, *arguments: Any) -> int:
        """Receive within the limits; while peeking, do not wait."""
        if self.is_peeking:
            raise BlockingIOError(errno.EAGAIN, 'peeking')
        self._set_timeout(socket.SO_RCVTIMEO)
        try:
            return super().recv_into(*arguments)
        except BlockingIOError as error:
            raise TimeoutError('silent for too long') from error

    def sendall(self, content: Any, flags: int = 0) -> None:
        """Send all within the limits."""
        rest = memoryview(content)
        while rest:
            self._set_timeout(socket.SO_SNDTIMEO)
            try:
                rest = rest[self.send(rest, flags) :]
            except BlockingIOError as error:
                raise TimeoutError('took nothing for too long') from error

    def _set_timeout(self, option: int) -> None:
        remaining = self.limits.give_up_at - runtime.read_clock()
        if remaining <= 0:
            raise TimeoutError('the deadline of the request has passed')
        wait = max(
            min(remaining, self.limits.max_silence_seconds), _MIN_WAIT_SECONDS
        )
        seconds = int(wait)
        timeout = _TIMEVAL.pack(
            seconds, int((wait - seconds) * _MICROSECONDS_PER_SECOND)
        )
        self.setsockopt(socket.SOL_SOCKET, option, timeout)


class FinalResponse(client.HTTPResponse):
    """A response that skips interim responses such as 103."""

    has_unread_bytes: bool

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Start without unread bytes."""
        super().__init__(*arguments, **options)
        self.has_unread_bytes = False

    def _read_status(self) -> tuple[str, int, str]:
        for _ in range(_MAX_INTERIM_RESPONSES):
            head = super()._read_status()  # type: ignore[misc]
            if head[1] in _RETURNED_STATUSES:
                return tuple(head)
            if head[1] not in _INTERIM_STATUSES:
                break
            self._skip_headers()
        raise client.BadStatusLine('no final answer')

    def _skip_headers(self) -> None:
        line = self.fp.readline(_MAX_HEADER_LINE_BYTES)
        while line.strip():
            line = self.fp.readline(_MAX_HEADER_LINE_BYTES)

    def _close_conn(self) -> None:
        self.has_unread_bytes = _has_unread(self.fp)
        super()._close_conn()  # type: ignore[misc]


def _has_unread(buffered: Any) -> bool:
    limited = getattr(getattr(buffered, 'raw', None), '_sock', None)
    if not isinstance(limited, LimitedSocket):
        return False
    limited.is_peeking = True
    try:
        return bool(buffered.peek())
    except OSError:
        return True
    finally:
        limited.is_peeking = False


class Connection(HTTPConnection):
    """One connection to one address."""

    response_class = FinalResponse
    sock: LimitedSocket

    def read_head(self) -> Any:
        """Return the final response with its body not yet read."""
        return client.HTTPConnection.getresponse(self)

    def _new_conn(self) -> socket.socket:
        limited = LimitedSocket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            limited.settimeout(self.timeout)
            limited.connect((self.host, self.port))
            limited.settimeout(None)
            limited.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            limited.close()
            raise
        return limited


def open_connection(address: str, seconds: float) -> Connection:
    """Connect to `host:port`; raises OSError on failure."""
    host, port = address.split(':')
    connection = Connection(host, int(port), timeout=seconds)
    connection.connect()
    return connection


class _Idle(NamedTuple):
    connection: Connection
    since: float


class ConnectionPool:
    """Idle connections by address, whose last exchange was complete."""

    def __init__(self) -> None:
        """Start with no connection."""
        self._lock = threading.Lock()
        self._idle: dict[str, deque[_Idle]] = defaultdict(deque)

    def acquire(self, address: str) -> Connection | None:
        """Return the usable idle connection that was last used, or None."""
        now = runtime.read_clock()
        while True:
            with self._lock:
                idle = self._idle[address]
                found = idle.pop() if idle else None
            if found is None:
                return None
            if _is_usable(found, now):
                return found.connection
            found.connection.close()

    def release(self, address: str, connection: Connection) -> None:
        """Pool a connection whose exchange was complete."""
        now = runtime.read_clock()
        with self._lock:
            idle = self._idle[address]
            idle.append(_Idle(connection, now))
            is_stale = now - idle[0].since > _MAX_IDLE_SECONDS
            oldest = (
                idle.popleft()
                if is_stale or len(idle) > _MAX_IDLE_CONNECTIONS
                else None
            )
        if oldest is not None:
            oldest.connection.close()


def _is_usable(idle: _Idle, now: float) -> bool:
    if now - idle.since > _MAX_IDLE_SECONDS or idle.connection.sock is None:
        return False
    return not wait_for_read(idle.connection.sock, timeout=0)
