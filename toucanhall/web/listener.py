"""Listens for connections, and stops without cutting one off."""

import asyncio
import socket
from collections.abc import Callable, Iterator
from typing import Final

from toucanhall.fleet.model import Address

__all__ = ('Listener', 'open_listener')

_BACKLOG: Final = 1024  # as many connections as a busy second brings
# Some rounds of the loop, in which accepted connections get their protocol.
_SETTLE_SECONDS: Final = 0.01


class Listener:
    """A listening socket and what makes the protocols of its connections."""

    def __init__(
        self,
        *,
        server: asyncio.Server,
        make_protocol: Callable[[], asyncio.Protocol],
    ) -> None:
        """Keep a server that is listening on one socket."""
        self._server = server
        self._make_protocol = make_protocol

    async def close(self) -> None:
        """Accept what has been opened already, then refuse connections.

        asyncio resets a connection that it accepted but had not yet given its
        protocol when its server closes, and the system those not accepted.
        """
        loop = asyncio.get_running_loop()
        own = self._server.sockets[0]
        with own.dup() as listening:
            loop.remove_reader(own.fileno())
            await asyncio.sleep(_SETTLE_SECONDS)
            self._server.close()
            accepted = list(_accept_all(listening))
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
    """Listen at an address; raise `OSError` if it is taken."""
    server = await asyncio.get_running_loop().create_server(
        make_protocol,
        address.host,
        address.port,
        backlog=_BACKLOG,
    )
    return Listener(server=server, make_protocol=make_protocol)


def _accept_all(listening: socket.socket) -> Iterator[socket.socket]:
    while True:
        try:
            connection, _ = listening.accept()
        except OSError:  # none is left, or no descriptor is
            return
        connection.setblocking(False)
        yield connection
