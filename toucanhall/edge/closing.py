"""Closes the connections of callers when the VM stops as planned."""

import asyncio
from collections.abc import Collection
from typing import Final, Protocol

__all__ = ('close_connections',)

# A request may be in transit on a connection that was used this recently: twice
# the longest one-way delay of today's deployments plus a connection set-up.
_MIN_IDLE_SECONDS: Final = 0.3
_POLL_INTERVAL_SECONDS: Final = 0.05
# Counted in polls, not seconds: a process that was paused has neither read what
# callers sent meanwhile nor accepted their connections.
_MIN_POLL_COUNT: Final = round(_MIN_IDLE_SECONDS / _POLL_INTERVAL_SECONDS)


class _Closable(Protocol):
    def close_idle(self, *, min_idle_seconds: float) -> bool:
        """Close if no request came for `min_idle_seconds` or is under way."""


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
    poll_count = 0
    is_last = False
    while not is_last:
        is_due = not connections or loop.time() >= until
        is_last = is_due and poll_count >= _MIN_POLL_COUNT
        for connection in tuple(connections):
            connection.close_idle(min_idle_seconds=_MIN_IDLE_SECONDS)
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        poll_count += 1
