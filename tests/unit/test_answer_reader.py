"""Tests of what answers of targets tell about them."""

import asyncio

import pytest

from tests.fleetdata import make_environment, make_target
from toucanhall.edge.answer_reader import AnswerReader, Start
from toucanhall.edge.target_state import make_target_state
from toucanhall.placement.choice import Candidate
from toucanhall.web.client import ConnectionUse, ReceivedAnswer

NOT_EXECUTED = ((b'x-toucanhall-not-executed', b'1'),)
START = Start(at=0.0, sent_at=0.0, load_ratio=0.1)
USE = ConnectionUse(number=1, requests=1, skipped_answers=0)


def read(journal, status):
    """Return the failure of a refused attempt, and its target's load."""

    async def act():
        targets = make_target_state(make_environment(), journal)
        targets.registry.replace_targets({'t1': make_target('t1')}, 0.0)
        reader = AnswerReader(
            registry=targets.registry, journal=journal, limits=targets.limits
        )
        load = targets.registry.loads['t1']
        failure = reader.read(
            Candidate(make_target('t1'), load),
            ReceivedAnswer(status, NOT_EXECUTED, b'', is_keep_alive=True),
            START,
            USE,
        )
        now = asyncio.get_running_loop().time()
        return failure, load.estimate_requests(now), load.is_suspended(now)

    return asyncio.run(act())


@pytest.mark.parametrize(
    ('status', 'reason', 'is_full', 'is_suspended'),
    (
        (400, 'not-run', False, False),
        (421, 'misdirected', False, True),
        (429, 'not-run', True, False),
        (503, 'not-run', True, False),
    ),
)
def test_only_a_refusal_for_want_of_room_fills_its_target(
    journal, status, reason, is_full, is_suspended
):
    failure, requests, suspended = read(journal, status)
    assert (failure.reason, failure.may_have_run) == (reason, False)
    assert failure.connection == USE
    assert (requests > 0) == is_full
    assert suspended == is_suspended
