"""Connections to targets that are kept open between requests."""

from collections.abc import Callable
from typing import Final

from toucanhall.fleet.model import Address
from toucanhall.web.client import (
    ConnectionSettings,
    OutOfDescriptorsError,
    ReceivedAnswer,
    ServerConnection,
    UnreachableError,
    open_connection,
)

__all__ = ('ConnectionPool',)

# Targets close idle connections after ten seconds, sometimes without notice.
_MAX_IDLE_SECONDS: Final = 7.0
# A request that must not be sent twice uses a connection that was in use just
# now: if the target closes it meanwhile, nobody knows whether the request ran.
_MAX_IDLE_WITHOUT_RETRY_SECONDS: Final = 2.0
_MAX_IDLE_PER_TARGET_COUNT: Final = 24
# Before the end of the keep-alive time that a target announced.
_KEEP_ALIVE_MARGIN_SECONDS: Final = 1.0


class ConnectionPool:
    """Idle connections by address; the last one used is reused first."""

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        settings: ConnectionSettings,
        max_idle_connections: int,
    ) -> None:
        """Open connections by `settings`; bound the number of idle ones."""
        self._clock = clock
        self._max_idle_connections = max_idle_connections
        self._idle_count = 0
        self._settings = settings
        self._idle: dict[Address, list[ServerConnection]] = {}
        self.opened_count = 0
        # Addresses at which none could be opened since the last one that was.
        self.failed_addresses: set[Address] = set()
        # Those in use for requests that may be sent again.
        self._abandonable: set[ServerConnection] = set()

    async def acquire(
        self,
        address: Address,
        request_id: bytes,
        *,
        may_retry: bool,
        connect_timeout_seconds: float,
    ) -> ServerConnection:
        """Return an idle connection that may carry a request, or open one."""
        connection = self._take_idle(address, request_id, may_retry=may_retry)
        return connection or await self.open(
            address, connect_timeout_seconds=connect_timeout_seconds
        )

    async def open(
        self, address: Address, *, connect_timeout_seconds: float
    ) -> ServerConnection:
        """Open a connection, or raise UnreachableError."""
        self.opened_count += 1
        number = self.opened_count
        try:
            connection = await open_connection(
                address,
                seconds=connect_timeout_seconds,
                settings=self._settings,
            )
        except OutOfDescriptorsError:
            raise
        except UnreachableError:
            self.failed_addresses.add(address)
            raise
        self.failed_addresses.clear()
        connection.number = number
        return connection

    async def exchange(
        self,
        connection: ServerConnection,
        sent: bytes,
        request_id: bytes,
        *,
        may_retry: bool,
    ) -> ReceivedAnswer:
        """Send a request on a connection that was acquired.

        Raises the errors of `ServerConnection.exchange`.
        """
        if may_retry:
            self._abandonable.add(connection)
        try:
            return await connection.exchange(sent, request_id)
        finally:
            self._abandonable.discard(connection)

    def abandon(self) -> None:
        """End the exchanges of requests that may be sent again."""
        for connection in tuple(self._abandonable):
            connection.terminate('cut off from all targets')

    def close_idle(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
        self._idle_count = 0

    def release(self, address: Address, connection: ServerConnection) -> None:
        """Keep a connection whose answer was read completely."""
        idle = self._idle.setdefault(address, [])
        is_full = (
            len(idle) >= _MAX_IDLE_PER_TARGET_COUNT
            or self._idle_count >= self._max_idle_connections
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
                if self._may_use(connection, now, _MAX_IDLE_SECONDS):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)
        self._idle_count = sum(map(len, self._idle.values()))

    def _take_idle(
        self, address: Address, request_id: bytes, *, may_retry: bool
    ) -> ServerConnection | None:
        """Return the last used of the fitting connections; close stale ones."""
        max_idle_seconds = (
            _MAX_IDLE_SECONDS if may_retry else _MAX_IDLE_WITHOUT_RETRY_SECONDS
        )
        now = self._clock()
        for connection in tuple(reversed(self._idle.get(address, ()))):
            if not self._may_use(connection, now, _MAX_IDLE_SECONDS):
                self._remove(address, connection)
                connection.close()
            elif connection.may_carry(request_id) and self._may_use(
                connection, now, max_idle_seconds
            ):
                self._remove(address, connection)
                return connection
        return None

    def _remove(self, address: Address, connection: ServerConnection) -> None:
        self._idle[address].remove(connection)
        self._idle_count -= 1

    def _may_use(
        self,
        connection: ServerConnection,
        now: float,
        max_idle_seconds: float,
    ) -> bool:
        announced_seconds = connection.keep_alive_seconds
        if announced_seconds is not None:
            max_idle_seconds = min(
                max_idle_seconds,
                announced_seconds - _KEEP_ALIVE_MARGIN_SECONDS,
            )
        return (
            connection.is_usable
            and now - connection.idle_since < max_idle_seconds
        )
