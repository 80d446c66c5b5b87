"""Tests of targets that refuse requests although they report free slots."""

import asyncio

import pytest

from tests.fleetdata import make_environment, make_target
from toucanhall.edge.answer_reader import AnswerReader, Start
from toucanhall.edge.attempts import Attempts
from toucanhall.edge.target_state import make_target_state
from toucanhall.placement.choice import Candidate
from toucanhall.quarantine.verdicts import Verdict
from toucanhall.web.client import ConnectionUse, ReceivedAnswer

TARGET = make_target('t1', slots=9)


def read_refusal(journal, load_header, has_large_bodies):
    """Return what a refusal means, and the load that it leaves."""

    async def read():
        state = make_target_state(make_environment(), journal)
        state.registry.replace_targets({TARGET.id: TARGET}, 0.0)
        state.registry.has_large_bodies = has_large_bodies
        load = state.registry.loads[TARGET.id]
        reply = ReceivedAnswer(
            status=503,
            headers=(
                (b'x-toucanhall-not-executed', b'1'),
                (b'x-toucanhall-backend-load', load_header),
            ),
            body=b'',
            is_keep_alive=True,
        )
        reader = AnswerReader(
            registry=state.registry, journal=journal, limits=state.limits
        )
        now = asyncio.get_running_loop().time()
        failure = reader.read(
            Candidate(TARGET, load),
            reply,
            Start(now, 0.0, 0.0),
            ConnectionUse(1, 1, 0),
        )
        return failure, load.estimate_requests(now)

    return asyncio.run(read())


@pytest.mark.parametrize(
    ('load_header', 'has_large_bodies', 'may_ask_again', 'is_full'),
    (
        (b'1,0,9,100', True, True, False),
        (b'1,0,9', True, True, False),
        (b'9,4,9', True, False, True),
        (b'odd', True, False, True),
        (b'1,0,9', False, False, True),
    ),
)
def test_object_is_not_moved_when_its_target_refuses_with_free_slots(
    journal, load_header, has_large_bodies, may_ask_again, is_full
):
    failure, requests = read_refusal(journal, load_header, has_large_bodies)
    assert not failure.may_have_run
    assert failure.may_ask_again is may_ask_again
    assert (requests >= TARGET.slots) is is_full


def test_target_is_asked_again_only_once():
    attempts = Attempts(verdict=Verdict())
    for tried in (set(), {'t1'}):
        attempts.tried.add('t1')
        attempts.allow_again('t1')
        assert attempts.tried == tried
