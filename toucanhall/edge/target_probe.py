"""Finds out by opening connections whether a target has crashed."""

import asyncio
import random
from collections.abc import Callable, Collection, Iterable
from typing import Final

from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.fleet.model import Target
from toucanhall.web.client import RefusedError, UnreachableError

__all__ = ('TargetProbe',)

# As for requests: three round trips between the farthest regions.
_CONNECT_TIMEOUT_SECONDS: Final = 0.35
# Targets of which one has to accept, or this VM itself may be cut off.
_WITNESSES_COUNT: Final = 3


class TargetProbe:
    """Opens connections to targets; those that are accepted are kept."""

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        list_targets: Callable[[], Collection[Target]],
    ) -> None:
        """Open connections for `pool`; `list_targets` returns all targets."""
        self._pool = pool
        self._list_targets = list_targets

    async def has_crashed(self, target: Target) -> bool:
        """Whether nothing listens at a target while others accept.

        A target that does not answer at all may be cut off from this VM: it
        does not count as crashed.
        """
        if not await self._is_refused(target):
            return False
        others = [
            other
            for other in self._list_targets()
            if other.id != target.id and not other.is_draining
        ]
        if not others:
            return True
        witnesses = random.sample(others, min(len(others), _WITNESSES_COUNT))
        return await self.is_any_accepted(witnesses)

    async def is_any_accepted(self, targets: Iterable[Target]) -> bool:
        """Whether one of some targets accepts a connection."""
        pending = {
            asyncio.ensure_future(self._is_accepted(target))
            for target in targets
        }
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    return True
        finally:
            for task in pending:
                task.cancel()
        return False

    async def _is_accepted(self, target: Target) -> bool:
        try:
            await self._open(target)
        except UnreachableError:
            return False
        return True

    async def _is_refused(self, target: Target) -> bool:
        try:
            await self._open(target)
        except RefusedError:
            return True
        except UnreachableError:
            return False
        return False

    async def _open(self, target: Target) -> None:
        connection = await self._pool.open(
            target.address, connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS
        )
        self._pool.release(target.address, connection)
