"""Connections to targets and entry VMs, and how long each may be silent."""

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

__all__ = ('Line', 'Lines', 'Pace', 'open_line')

_IDLE_SECONDS: Final = 4.0
_IDLE_LINES: Final = 64
_TIMEVAL: Final = struct.Struct('@ll')
_MICROSECONDS: Final = 1_000_000
_SHORTEST_WAIT: Final = 0.001  # seconds; the kernel takes 0 for no limit
_CONTINUE: Final = 100
_SWITCHING: Final = 101
_FIRST_FINAL: Final = 200
_LARGEST_LINE: Final = 65536  # bytes
_INTERIM_ANSWERS: Final = 16


class Pace(NamedTuple):
    """When an exchange ends, and how many seconds it may be silent."""

    give_up_at: float
    silence: float


class PacedSocket(socket.socket):
    """A socket on which each wait ends by the pace of its exchange.

    The kernel keeps the time of a wait: a timeout of Python's own costs two
    more system calls per wait, each of which gives up the interpreter lock.
    """

    pace = Pace(0.0, 0.0)
    is_peeking = False

    def recv_into(self, *arguments: Any) -> int:
        """Receive within the pace; while peeking nothing is waited for."""
        if self.is_peeking:
            raise BlockingIOError(errno.EAGAIN, 'peeking')
        self._limit(socket.SO_RCVTIMEO)
        try:
            return super().recv_into(*arguments)
        except BlockingIOError as error:
            raise TimeoutError('silent for too long') from error

    def sendall(self, content: Any, flags: int = 0) -> None:
        """Send all within the pace."""
        rest = memoryview(content)
        while rest:
            self._limit(socket.SO_SNDTIMEO)
            try:
                rest = rest[self.send(rest, flags) :]
            except BlockingIOError as error:
                raise TimeoutError('took nothing for too long') from error

    def _limit(self, option: int) -> None:
        left = self.pace.give_up_at - runtime.read_clock()
        if left <= 0:
            raise TimeoutError('the deadline of the request has passed')
        wait = max(min(left, self.pace.silence), _SHORTEST_WAIT)
        seconds = int(wait)
        limit = _TIMEVAL.pack(seconds, int((wait - seconds) * _MICROSECONDS))
        self.setsockopt(socket.SOL_SOCKET, option, limit)


class FinalResponse(client.HTTPResponse):
    """A response that passes over interim answers such as 103."""

    has_stray: bool

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Start with nothing read."""
        super().__init__(*arguments, **options)
        self.has_stray = False

    def _read_status(self) -> tuple[str, int, str]:
        for _ in range(_INTERIM_ANSWERS):
            head = super()._read_status()  # type: ignore[misc]
            if head[1] == _CONTINUE or head[1] >= _FIRST_FINAL:
                return tuple(head)
            if head[1] == _SWITCHING:
                break
            self._skip_headers()
        raise client.BadStatusLine('no final answer')

    def _skip_headers(self) -> None:
        line = self.fp.readline(_LARGEST_LINE)
        while line.strip():
            line = self.fp.readline(_LARGEST_LINE)

    def _close_conn(self) -> None:
        self.has_stray = _has_unread(self.fp)
        super()._close_conn()  # type: ignore[misc]


def _has_unread(buffered: Any) -> bool:
    paced = getattr(getattr(buffered, 'raw', None), '_sock', None)
    if not isinstance(paced, PacedSocket):
        return False
    paced.is_peeking = True
    try:
        return bool(buffered.peek())
    except OSError:
        return True
    finally:
        paced.is_peeking = False


class Line(HTTPConnection):
    """One connection to one address."""

    response_class = FinalResponse
    sock: PacedSocket

    def read_head(self) -> Any:
        """Return the final answer's head; its body is still to be read."""
        return client.HTTPConnection.getresponse(self)

    def _new_conn(self) -> socket.socket:
        paced = PacedSocket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            paced.settimeout(self.timeout)
            paced.connect((self.host, self.port))
            paced.settimeout(None)
            paced.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            paced.close()
            raise
        return paced


def open_line(address: str, seconds: float) -> Line:
    """Connect to `host:port`; raises OSError when that fails."""
    host, port = address.split(':')
    line = Line(host, int(port), timeout=seconds)
    line.connect()
    return line


class _Idle(NamedTuple):
    line: Line
    since: float


class Lines:
    """Idle connections by address; only whole exchanges come back here."""

    def __init__(self) -> None:
        """Start with no connection."""
        self._lock = threading.Lock()
        self._idle: dict[str, deque[_Idle]] = defaultdict(deque)

    def take(self, address: str) -> Line | None:
        """Return a usable idle connection, the last used first."""
        now = runtime.read_clock()
        while True:
            with self._lock:
                idle = self._idle[address]
                found = idle.pop() if idle else None
            if found is None:
                return None
            if _is_usable(found, now):
                return found.line
            found.line.close()

    def give(self, address: str, line: Line) -> None:
        """Keep a connection whose exchange was whole."""
        now = runtime.read_clock()
        with self._lock:
            idle = self._idle[address]
            idle.append(_Idle(line, now))
            is_stale = now - idle[0].since > _IDLE_SECONDS
            oldest = (
                idle.popleft() if is_stale or len(idle) > _IDLE_LINES else None
            )
        if oldest is not None:
            oldest.line.close()


def _is_usable(idle: _Idle, now: float) -> bool:
    if now - idle.since > _IDLE_SECONDS or idle.line.sock is None:
        return False
    return not wait_for_read(idle.line.sock, timeout=0)
