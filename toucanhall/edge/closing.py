"""Closes the connections of callers at a planned stop."""

import asyncio
from collections.abc import Collection
from typing import Final, Protocol

__all__ = ('close_connections',)

# A request may be on its way on a connection that was used so lately: twice
# the longest way of today's deployments, and the opening of a connection.
_QUIET_SECONDS: Final = 0.3
_STEP_SECONDS: Final = 0.05
# Steps rather than seconds: a process that did not run for a while has not yet
# read what callers sent meanwhile, nor accepted their connections.
_LEAST_STEPS: Final = round(_QUIET_SECONDS / _STEP_SECONDS)


class _Closable(Protocol):
    def close_idle(self, *, min_idle_seconds: float) -> bool:
        """Close a connection without requests that was not used lately."""


async def close_connections(
    connections: Collection[_Closable],
    *,
    until: float,
) -> None:
    """Close connections as they become idle, until a time of the loop.

    What came while the process did not run is still read and answered, so this
    may end some steps later.
    """
    loop = asyncio.get_running_loop()
    steps = 0
    is_last = False
    while not is_last:
        is_over = not connections or loop.time() >= until
        is_last = is_over and steps >= _LEAST_STEPS
        for connection in tuple(connections):
            connection.close_idle(min_idle_seconds=_QUIET_SECONDS)
        await asyncio.sleep(_STEP_SECONDS)
        steps += 1
