"""Takes the connections of callers and those of other questions to a VM."""

from collections.abc import Awaitable, Callable

from toucanhall.edge.closing import close_connections
from toucanhall.fleet.model import Address
from toucanhall.web.listener import Listener, open_listener
from toucanhall.web.messages import Answer, Request
from toucanhall.web.server import Connection, Handler

__all__ = ('CallerConnections',)


class CallerConnections:
    """The connections of callers and the listener that takes them."""

    def __init__(self, *, handler: Handler) -> None:
        """Serve requests by a handler; nothing is opened yet."""
        self._handler = handler
        self._listener: Listener | None = None

    def count(self) -> int:
        """Return how many connections are open."""
        return len(self._handler.connections)

    async def open(self, address: Address) -> None:
        """Take connections at an address."""
        self._listener = await _open(address, self._handler)

    async def open_endpoint(
        self,
        address: Address,
        answer: Callable[[Request], Answer],
    ) -> None:
        """Answer other questions than those of callers at an address."""
        await _open(
            address,
            self._handler._replace(
                serve=_make_plain(answer),
                connections=set(),
            ),
        )

    async def close(self, until: float) -> None:
        """Take no new connection; close the others until a time of the loop."""
        if self._listener is not None:
            await self._listener.close()
        await close_connections(self._handler.connections, until=until)


async def _open(address: Address, handler: Handler) -> Listener:
    return await open_listener(address, lambda: Connection(handler=handler))


def _make_plain(
    answer: Callable[[Request], Answer],
) -> Callable[[Request], Awaitable[Answer]]:
    async def serve(request: Request) -> Answer:  # noqa: RUF029
        return answer(request)

    return serve
