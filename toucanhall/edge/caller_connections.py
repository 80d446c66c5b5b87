"""Serves the connections of callers and the other endpoints of a VM."""

from collections.abc import Awaitable, Callable

from toucanhall.edge.closing import close_connections
from toucanhall.fleet.model import Address
from toucanhall.web.listener import Listener, open_listener
from toucanhall.web.messages import Answer, Request
from toucanhall.web.server import Connection, Handler

__all__ = ('CallerConnections',)


class CallerConnections:
    """The open connections of callers and the listener that accepts them."""

    def __init__(self, *, handler: Handler) -> None:
        """Serve requests with a handler; nothing is opened yet."""
        self._handler = handler
        self._listener: Listener | None = None

    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._handler.connections)

    async def open(self, address: Address) -> None:
        """Accept connections of callers at an address."""
        self._listener = await _listen(address, self._handler)

    async def open_endpoint(
        self,
        address: Address,
        answer: Callable[[Request], Answer],
    ) -> None:
        """Answer the requests of another endpoint at an address."""
        await self.open_service(address, _make_async(answer))

    async def open_service(
        self,
        address: Address,
        serve: Callable[[Request], Awaitable[Answer]],
    ) -> None:
        """The same, with an answer that takes time."""
        await _listen(
            address,
            # A VM without room for requests stays ready, and known to others.
            self._handler._replace(
                serve=serve, connections=set(), refuses_small=False
            ),
        )

    async def close(self, until: float) -> None:
        """Stop accepting; close open connections by a time of the loop."""
        if self._listener is not None:
            await self._listener.close()
        await close_connections(self._handler.connections, until=until)


async def _listen(address: Address, handler: Handler) -> Listener:
    return await open_listener(address, lambda: Connection(handler=handler))


def _make_async(
    answer: Callable[[Request], Answer],
) -> Callable[[Request], Awaitable[Answer]]:
    async def serve(request: Request) -> Answer:  # noqa: RUF029
        return answer(request)

    return serve
