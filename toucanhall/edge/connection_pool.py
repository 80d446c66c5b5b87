"""Connections to targets that are kept between requests."""

from collections.abc import Callable
from typing import Final

from toucanhall.fleet.model import Address
from toucanhall.web.client import (
    ConnectionSettings,
    ServerConnection,
    open_connection,
)

__all__ = ('ConnectionPool',)

# Targets close idle connections after ten seconds, at times without a word.
_IDLE_SECONDS: Final = 7.0
# A request that must not be sent twice uses a connection that was in use just
# now: a target that closes it meanwhile leaves open whether the request ran.
_FRESH_SECONDS: Final = 2.0
_KEPT_PER_TARGET: Final = 24
_KEEP_ALIVE_MARGIN: Final = 1.0  # seconds before the time that a target told


class ConnectionPool:
    """Idle connections by address; the last one used is taken first."""

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        settings: ConnectionSettings,
        max_idle_connections: int,
    ) -> None:
        """Read answers within the bounds of `settings`; keep `max_idle_connections`."""
        self._clock = clock
        self._most_idle = max_idle_connections
        self._idle_count = 0
        self._opening = settings
        self._idle: dict[Address, list[ServerConnection]] = {}
        self.opened_count = 0

    async def acquire(
        self,
        address: Address,
        *,
        may_retry: bool,
        seconds: float,
    ) -> ServerConnection:
        """Return a connection that was idle, or one made in some seconds."""
        longest = _IDLE_SECONDS if may_retry else _FRESH_SECONDS
        now = self._clock()
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            self._idle_count -= 1
            if self._may_use(connection, now, longest):
                return connection
            if connection.is_usable and not may_retry:
                idle.append(connection)
                self._idle_count += 1
                break
            connection.close()
        self.opened_count += 1
        return await open_connection(
            address,
            seconds=seconds,
            settings=self._opening,
        )

    def release(self, address: Address, connection: ServerConnection) -> None:
        """Keep a connection whose answer was read whole."""
        idle = self._idle.setdefault(address, [])
        is_full = (
            len(idle) >= _KEPT_PER_TARGET or self._idle_count >= self._most_idle
        )
        if is_full or not connection.is_usable:
            connection.close()
            return
        connection.idle_since = self._clock()
        idle.append(connection)
        self._idle_count += 1

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        now = self._clock()
        for address, idle in tuple(self._idle.items()):
            kept = []
            for connection in idle:
                if self._may_use(connection, now, _IDLE_SECONDS):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)
        self._idle_count = sum(map(len, self._idle.values()))

    def _may_use(
        self,
        connection: ServerConnection,
        now: float,
        longest: float,
    ) -> bool:
        told = connection.keep_alive_seconds
        if told is not None:
            longest = min(longest, told - _KEEP_ALIVE_MARGIN)
        return connection.is_usable and now - connection.idle_since < longest
