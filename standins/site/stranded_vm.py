"""Runs a VM whose connections to targets can be cut, in one of these modes.

whole: nothing is cut
hang: connections carry nothing more; new ones are not answered
reset: connections are reset; new ones are refused
refuse: connections live on; new ones are refused

A file names the mode. Connections to the store and to other VMs work on.
"""

import asyncio
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from toucanhall.edge import __main__ as vm_program
from toucanhall.edge import connection_pool
from toucanhall.fleet.model import Address
from toucanhall.web.client import (
    ConnectionSettings,
    RefusedError,
    ServerConnection,
    UnreachableError,
    open_connection,
)

__all__ = ('MODE_VARIABLE',)

MODE_VARIABLE: Final = 'STRANDED_MODE_FILE'
_POLL_INTERVAL_SECONDS: Final = 0.02
# Third octets of the addresses of targets, see Deployment.
_TARGET_NETWORKS: Final = range(100, 200)
# As TCP_USER_TIMEOUT of the connections to targets.
_USER_TIMEOUT_SECONDS: Final = 1.5


class _Links:
    """The links of this VM to its targets."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._mode = 'whole'
        self._connections: set[ServerConnection] = set()
        self._poll_task: asyncio.Task[None] | None = None

    async def open(
        self,
        address: Address,
        *,
        seconds: float,
        settings: ConnectionSettings,
    ) -> ServerConnection:
        if int(address.host.split('.')[2]) not in _TARGET_NETWORKS:
            return await open_connection(
                address, seconds=seconds, settings=settings
            )
        if self._poll_task is None:
            self._poll_task = asyncio.create_task(self._poll())
        self._update()
        if self._mode == 'hang':
            await asyncio.sleep(seconds)
            raise UnreachableError('did not accept in time')
        if self._mode in {'reset', 'refuse'}:
            raise RefusedError('Connection refused')
        connection = await open_connection(
            address, seconds=seconds, settings=settings
        )
        self._connections.add(connection)
        return connection

    async def _poll(self) -> None:
        while True:
            self._update()
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    def _update(self) -> None:
        mode = self._path.read_text() if self._path.exists() else 'whole'
        if mode == self._mode:
            return
        self._mode = mode
        strike = _STRIKES.get(mode)
        if strike is not None:
            for connection in self._connections:
                strike(connection)
            self._connections.clear()


def _reset(connection: ServerConnection) -> None:
    transport = _get_transport(connection)
    if transport is not None:
        # As the event loop does on a reset; an abort tells of no error.
        transport._fatal_error(ConnectionResetError(), 'reset')


def _silence(connection: ServerConnection) -> None:
    transport = _get_transport(connection)
    if transport is None:
        return
    loop = asyncio.get_running_loop()
    transport.pause_reading()

    def drop(_sent: bytes) -> None:
        loop.call_later(
            _USER_TIMEOUT_SECONDS,
            transport._fatal_error,
            TimeoutError(),
            'silent',
        )

    transport.write = drop
    if connection._answer_future is not None:
        drop(b'')


def _get_transport(connection: ServerConnection) -> Any:
    return connection._transport


_STRIKES: Final[dict[str, Callable[[ServerConnection], None]]] = {
    'reset': _reset,
    'hang': _silence,
}


def main() -> int:
    """Run the VM with links that can be cut."""
    links = _Links(path=Path(os.environ[MODE_VARIABLE]))
    # The name by which the pool of connections to targets opens them.
    vars(connection_pool)['open_connection'] = links.open
    return vm_program.main()


if __name__ == '__main__':
    sys.exit(main())
