"""Tests of the end of connections at a planned stop, on a paused clock."""

import asyncio

import pytest

from tests.virtual_time import run_in_virtual_time
from toucanhall.edge.closing import close_connections


class Caller:
    """A connection that is used last at a time, and then closed when quiet."""

    def __init__(self, connections, *, used_at):
        self._connections = connections
        self._used_at = used_at
        connections.add(self)
        self.closed_at = None

    def close_idle(self, *, min_idle_seconds):
        """Close if nothing was sent for some seconds."""
        now = asyncio.get_running_loop().time()
        if now - self._used_at >= min_idle_seconds:
            self.closed_at = now
            self._connections.discard(self)


def close(used_at, until):
    """Close connections; return when each closed, and when it was over."""

    async def act():
        connections = set()
        callers = [Caller(connections, used_at=time) for time in used_at]
        await close_connections(connections, until=until)
        closed = [caller.closed_at for caller in callers]
        return closed, asyncio.get_running_loop().time()

    return run_in_virtual_time(act())


def test_connection_stays_while_a_request_may_be_on_its_way():
    (idle, used), _ = close((-1.0, 0.0), 2.0)
    assert idle == 0.0
    assert 0.3 <= used <= 0.36


def test_connection_that_is_used_on_and_on_ends_with_the_time():
    (closed,), ended = close((10.0,), 1.0)
    assert closed is None
    assert 1.0 <= ended <= 1.11


@pytest.mark.parametrize('until', (-1.0, 0.0))
def test_time_that_passed_unused_leaves_some_for_what_was_sent(until):
    async def act():
        connections = set()
        closing = asyncio.create_task(
            close_connections(connections, until=until),
        )
        await asyncio.sleep(0.01)
        late = Caller(connections, used_at=0.0)
        await closing
        return late.closed_at

    assert run_in_virtual_time(act()) >= 0.3
