"""Tests of attempts at targets that do not answer."""

import asyncio

import pytest

from tests.fleetdata import make_admitted, make_opening, make_target
from toucanhall.edge.pool import Pool
from toucanhall.edge.sending import Sender
from toucanhall.fleet.model import Address
from toucanhall.placement.choice import Candidate
from toucanhall.placement.field import Field
from toucanhall.placement.order import Place

USUAL = 0.02
TARGET = make_target(address=Address('127.64.205.1', 9004))
ANSWER = (
    b'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
)


def wait_for_answers(journal, waits, *, answers=0):
    """Let requests wait for the given seconds, all at once.

    The target answers so many of them after their first moment. Returns
    whether it is suspended at the end.
    """
    left = [answers]

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        if left[0]:
            left[0] -= 1
            await asyncio.sleep(USUAL)
            writer.write(ANSWER)
            writer.close()

    async def act():
        server = await asyncio.start_server(serve, *TARGET.address)
        loop = asyncio.get_running_loop()
        field = Field(place=Place('east-a', 'east'), regions={'east-a': 'east'})
        field.take_targets({TARGET.id: TARGET}, loop.time())
        pool = Pool(clock=loop.time, opening=make_opening(), most_idle=10)
        sender = Sender(field=field, pool=pool, journal=journal)
        load = field.loads[TARGET.id]
        candidate = Candidate(TARGET, load)
        tasks = [
            asyncio.wait_for(
                sender.attempt(make_admitted(), candidate, USUAL), seconds
            )
            for seconds in waits
        ]
        await asyncio.gather(*tasks, return_exceptions=True)
        server.close()
        return load.is_suspended(loop.time())

    return asyncio.run(act())


@pytest.mark.parametrize(
    ('waits', 'answers', 'is_suspended'),
    (
        ((0.2, 0.2, 0.2), 0, True),
        ((0.2, 0.2), 0, False),
        ((0.04, 0.04, 0.04, 0.04), 0, False),
        ((0.2, 0.2, 0.2, 0.2), 1, False),
    ),
)
def test_target_that_answers_nothing_is_left_alone(
    journal,
    waits,
    answers,
    is_suspended,
):
    assert wait_for_answers(journal, waits, answers=answers) is is_suspended
