"""Connections to the platform's store that are kept between calls."""

import time
from typing import Final

from toucanhall.fleet.model import Address
from toucanhall.web.client import (
    ConnectionSettings,
    ReceivedAnswer,
    ServerConnection,
    open_connection,
)

__all__ = ('StoreConnections',)

_CONNECT_TIMEOUT_SECONDS: Final = 0.5
_MAX_IDLE_SECONDS: Final = 5.0


class StoreConnections:
    """The connections of one process to the store.

    Answers have no id of their request. So a connection serves only reads of
    one kind, where a late copy of an earlier answer is older than what is
    known already, or a single other call.
    """

    def __init__(
        self, *, address: Address, settings: ConnectionSettings
    ) -> None:
        """Open connections to an address by `settings`."""
        self._address = address
        self._settings = settings
        self._idle_connections: dict[str, list[ServerConnection]] = {}

    async def exchange(
        self, encoded_request: bytes, read_kind: str
    ) -> ReceivedAnswer:
        """Send a request and return its answer, or raise ConnectionError.

        `read_kind` is the kind that it lists, empty for any other call.
        """
        connection = await self._acquire(read_kind)
        reply = await connection.exchange(encoded_request)
        if not read_kind:
            connection.close()
        elif connection.is_usable:
            connection.idle_since = time.monotonic()
            self._idle_connections.setdefault(read_kind, []).append(connection)
        return reply

    async def _acquire(self, read_kind: str) -> ServerConnection:
        min_idle_since = time.monotonic() - _MAX_IDLE_SECONDS
        idle_connections = self._idle_connections.get(read_kind)
        while idle_connections:
            connection = idle_connections.pop()
            if connection.is_usable and connection.idle_since > min_idle_since:
                return connection
            connection.close()
        return await open_connection(
            self._address,
            seconds=_CONNECT_TIMEOUT_SECONDS,
            settings=self._settings,
        )
