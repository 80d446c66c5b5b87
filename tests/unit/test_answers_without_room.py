"""Tests that a VM without room for an answer holds that against no target."""

import asyncio

from tests.attemptdata import make_admitted
from tests.fleetdata import make_environment, make_opening, make_target
from tests.unit.test_unfinished_heads import make_sender
from toucanhall.edge.target_state import make_target_state
from toucanhall.fleet.model import Address
from toucanhall.placement.choice import Candidate
from toucanhall.web import client
from toucanhall.web.buffer_budget import BufferBudget

ADDRESS = Address('127.93.62.1', 9362)
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 500000\r\n\r\n' + b'b' * 500_000
# After which a target is suspended.
FAILURES_COUNT = 3


async def serve(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    writer.write(ANSWER)
    await reader.read()
    writer.close()


async def attempt_without_room(journal):
    """Return how requests ended, and whether their target is suspended."""
    listener = await asyncio.start_server(serve, *ADDRESS)
    targets = make_target_state(make_environment(), journal)
    target = make_target(address=ADDRESS)
    targets.registry.replace_targets({target.id: target}, 0.0)
    load = targets.registry.loads[target.id]
    budget = BufferBudget(max_bytes=1_000_000)
    budget.set_usage(object(), 900_000)
    settings = make_opening()._replace(buffer_budget=budget)
    sender = make_sender(targets, journal, settings)
    outcomes = await asyncio.gather(
        *[
            sender.attempt(make_admitted(), Candidate(target, load))
            for _request in range(FAILURES_COUNT)
        ]
    )
    listener.close()
    await asyncio.sleep(0.05)
    return outcomes, load.is_suspended(asyncio.get_running_loop().time())


def test_answer_without_room_may_have_run_and_suspends_no_target(
    monkeypatch, journal
):
    monkeypatch.setattr(client, 'MAX_ROOM_WAIT_SECONDS', 0.2)
    outcomes, is_suspended = asyncio.run(attempt_without_room(journal))
    assert [found.reason for found in outcomes] == ['broken'] * FAILURES_COUNT
    assert all(found.may_have_run for found in outcomes)
    assert not is_suspended
