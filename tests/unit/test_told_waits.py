"""What callers of full targets are told, and what is recorded of it."""

import asyncio

from tests.attemptdata import make_admitted
from tests.sheddingdata import make_shedding
from toucanhall.edge.attempts import Attempts
from toucanhall.edge.failure_answers import FailureAnswers
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.fleet.tables import FleetTables
from toucanhall.observe.metrics import Metrics
from toucanhall.quarantine.verdicts import Verdict


class _Journal:
    def __init__(self):
        self.lines = []

    def write(self, _event, **fields):
        self.lines.append(fields)


async def refuse_full_targets(percent):
    journal, metrics = _Journal(), Metrics()
    shedding, registry = make_shedding(percent)
    for load in registry.loads.values():
        load.in_flight = 40
    admitted = make_admitted()
    now = asyncio.get_running_loop().time()
    admitted = admitted._replace(
        service=admitted.service._replace(name='guide'),
        received_at=now,
        deadline=now + 3.0,
        objective_at=now + 0.5,
    )
    answers = FailureAnswers(
        registry=registry,
        recorder=RequestRecorder(
            fleet_tables=FleetTables(on_change=lambda _table: None),
            journal=journal,
            metrics=metrics,
        ),
        shedding=shedding,
    )
    attempts = Attempts(verdict=Verdict())
    waits = []
    for _caller in range(3):
        answer = answers.answer(admitted, attempts)
        assert answer.status == 503
        waits.append(float(dict(answer.headers)[b'retry-after']))
    return waits, journal.lines, metrics.render()


def test_refusals_tell_and_record_their_times():
    waits, lines, metrics = asyncio.run(refuse_full_targets(100))
    assert len(set(waits)) == 3 and min(waits) > 0.25
    assert {line['reason'] for line in lines} == {'targets-full'}
    assert all(line['is_in_time'] for line in lines)
    assert 'told_wait_seconds_count{reason="targets-full"} 3' in metrics


def test_refusals_are_as_before_without_a_fourth_figure():
    waits, lines, metrics = asyncio.run(refuse_full_targets(None))
    assert waits == [0.25] * 3
    assert all('is_in_time' not in line for line in lines)
    assert 'told_wait' not in metrics
