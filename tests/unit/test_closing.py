"""Tests of closing connections at a planned stop, on a simulated clock."""

import asyncio

import pytest

from tests.virtual_time import run_in_virtual_time
from toucanhall.edge.closing import close_connections


class StubConnection:
    """A connection that was last used at a given time."""

    def __init__(self, connections, *, used_at):
        self._connections = connections
        self._used_at = used_at
        connections.add(self)
        self.closed_at = None

    def close_idle(self, *, min_idle_seconds):
        """Close if the last use was at least `min_idle_seconds` ago."""
        now = asyncio.get_running_loop().time()
        if now - self._used_at >= min_idle_seconds:
            self.closed_at = now
            self._connections.discard(self)


def close(used_at, until):
    """Close connections; return when each one closed and when all was done."""

    async def act():
        connections = set()
        stubs = [StubConnection(connections, used_at=time) for time in used_at]
        await close_connections(connections, until=until)
        closed = [stub.closed_at for stub in stubs]
        return closed, asyncio.get_running_loop().time()

    return run_in_virtual_time(act())


def test_connection_stays_open_while_a_request_may_be_in_transit():
    (idle, used), _ = close((-1.0, 0.0), 2.0)
    assert idle == 0.0
    assert 0.3 <= used <= 0.36


def test_connection_in_constant_use_is_left_open_at_the_deadline():
    (closed,), ended = close((10.0,), 1.0)
    assert closed is None
    assert 1.0 <= ended <= 1.11


@pytest.mark.parametrize('until', (-1.0, 0.0))
def test_connection_accepted_after_the_deadline_may_still_be_used(until):
    async def act():
        connections = set()
        closing = asyncio.create_task(
            close_connections(connections, until=until),
        )
        await asyncio.sleep(0.01)
        accepted = StubConnection(connections, used_at=0.0)
        await closing
        return accepted.closed_at

    assert run_in_virtual_time(act()) >= 0.3
