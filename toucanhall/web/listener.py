"""Listening sockets that close without resetting opened connections."""

import asyncio
import socket
from collections.abc import Callable, Iterator
from typing import Final

from toucanhall.fleet.model import Address

__all__ = ('Listener', 'open_listener')

# As many as are opened within a busy second.
_MAX_BACKLOG_CONNECTIONS: Final = 1024
# Some iterations of the loop, in which accepted connections get a protocol.
_PROTOCOL_DELAY_SECONDS: Final = 0.01


class Listener:
    """A listening socket and the factory of its protocols."""

    def __init__(
        self,
        *,
        server: asyncio.Server,
        make_protocol: Callable[[], asyncio.Protocol],
    ) -> None:
        """Wrap a server that listens on one socket."""
        self._server = server
        self._make_protocol = make_protocol

    async def close(self) -> None:
        """Accept connections that are already open, then refuse new ones.

        When a server closes, asyncio resets accepted connections that have no
        protocol yet, and the kernel resets those that were not accepted.
        """
        loop = asyncio.get_running_loop()
        own = self._server.sockets[0]
        with own.dup() as listening:
            loop.remove_reader(own.fileno())
            await asyncio.sleep(_PROTOCOL_DELAY_SECONDS)
            self._server.close()
            accepted = list(_accept_waiting(listening))
        await asyncio.gather(
            *(
                loop.connect_accepted_socket(self._make_protocol, connection)
                for connection in accepted
            ),
        )


async def open_listener(
    address: Address,
    make_protocol: Callable[[], asyncio.Protocol],
) -> Listener:
    """Listen at an address; raise `OSError` if it is in use."""
    server = await asyncio.get_running_loop().create_server(
        make_protocol,
        address.host,
        address.port,
        backlog=_MAX_BACKLOG_CONNECTIONS,
    )
    return Listener(server=server, make_protocol=make_protocol)


def _accept_waiting(listening: socket.socket) -> Iterator[socket.socket]:
    while True:
        try:
            connection, _ = listening.accept()
        except OSError:  # no connection waits, or no descriptor is free
            return
        connection.setblocking(False)
        yield connection
