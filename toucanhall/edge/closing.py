"""Closes the connections of callers when the VM stops as planned."""

import asyncio
from collections.abc import Collection
from typing import Final, Protocol

__all__ = ('close_connections',)

# A request may be in transit on a connection that was used this recently: twice
# the longest one-way delay of today's deployments plus a connection set-up.
_QUIET_SECONDS: Final = 0.3
_STEP_SECONDS: Final = 0.05
# Counted in polls, not seconds: a process that was paused has neither read what
# callers sent meanwhile nor accepted their connections.
_LEAST_STEPS: Final = round(_QUIET_SECONDS / _STEP_SECONDS)


class _Closable(Protocol):
    def close_idle(self, *, quiet: float) -> bool:
        """Close if no request is under way or came in `quiet` seconds."""


async def close_connections(
    connections: Collection[_Closable],
    *,
    until: float,
) -> None:
    """Close connections as they become idle, until a time of the loop's clock.

    Requests that arrived while the process was paused are still read and
    answered, so this may end some polls later.
    """
    loop = asyncio.get_running_loop()
    steps = 0
    is_last = False
    while not is_last:
        is_over = not connections or loop.time() >= until
        is_last = is_over and steps >= _LEAST_STEPS
        for connection in tuple(connections):
            connection.close_idle(quiet=_QUIET_SECONDS)
        await asyncio.sleep(_STEP_SECONDS)
        steps += 1
