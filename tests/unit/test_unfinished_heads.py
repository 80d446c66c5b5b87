"""Tests of targets whose answers were not complete when the wait ended."""

import asyncio

import pytest

from tests.attemptdata import make_admitted
from tests.fleetdata import make_environment, make_opening, make_target
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.edge.sender import Sender
from toucanhall.edge.target_links import TargetLinks
from toucanhall.edge.target_probe import TargetProbe
from toucanhall.edge.target_state import make_target_state
from toucanhall.fleet.model import Address
from toucanhall.placement.choice import Candidate

ADDRESS = Address('127.92.203.1', 9003)
HEAD = b'HTTP/1.1 200 OK\r\nx: y\r\n'
# After which a target is suspended.
FAILURES_COUNT = 3


def make_sender(targets, journal, settings=None):
    registry = targets.registry
    pool = ConnectionPool(
        clock=asyncio.get_running_loop().time,
        settings=settings or make_opening(),
        max_idle_connections=10,
    )
    return Sender(
        registry=registry,
        pool=pool,
        journal=journal,
        limits=targets.limits,
        links=TargetLinks(
            registry=registry,
            pool=pool,
            probe=TargetProbe(pool=pool, list_targets=registry.list_targets),
            on_change=lambda: None,
            journal=journal,
        ),
    )


async def attempt_and_leave(part, journal):
    """Send requests and end the wait for each; return whether suspended."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(part)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, *ADDRESS)
    targets = make_target_state(make_environment(), journal)
    target = make_target(address=ADDRESS)
    targets.registry.replace_targets({target.id: target}, 0.0)
    load = targets.registry.loads[target.id]
    sender = make_sender(targets, journal)
    for _request in range(FAILURES_COUNT):
        task = asyncio.create_task(
            sender.attempt(make_admitted(), Candidate(target, load))
        )
        await asyncio.sleep(0.1)  # noqa: WPS476
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task  # noqa: WPS476
    server.close()
    return load.is_suspended(asyncio.get_running_loop().time())


@pytest.mark.parametrize(
    ('part', 'is_suspended'),
    (
        (HEAD, True),
        (HEAD + b'content-length: 9\r\n\r\nhalf', False),
        (b'HTTP/1.1 102 Processing\r\n\r\n', False),
        (b'', False),
    ),
)
def test_target_is_suspended_if_the_wait_ends_in_its_heads(
    part, is_suspended, journal
):
    assert asyncio.run(attempt_and_leave(part, journal)) == is_suspended
