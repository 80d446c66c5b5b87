"""What callers of full targets are told, and what is recorded of it."""

import asyncio

from tests.attemptdata import make_admitted, make_attempt_loop
from tests.fleetdata import make_environment, make_opening, make_target
from tests.sheddingdata import make_shedding
from toucanhall.edge.attempts import Attempts
from toucanhall.edge.connection_pool import ConnectionPool
from toucanhall.edge.failure_answers import FailureAnswers
from toucanhall.edge.request_recorder import RequestRecorder
from toucanhall.edge.target_state import make_target_state
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


async def attempt_with_full_targets(percent, journal, metrics):
    """Return what the attempt loop answers to a caller that came back."""
    targets = make_target_state(make_environment(), journal)
    admitted = make_admitted()
    target = make_target(service=admitted.service.name)
    targets.registry.replace_targets({target.id: target}, 0.0)
    load = targets.registry.loads[target.id]
    load.record_reported_load(0, 0.0, percent)
    load.in_flight = 40
    pool = ConnectionPool(
        clock=asyncio.get_running_loop().time,
        settings=make_opening(),
        max_idle_connections=10,
    )
    recorder = RequestRecorder(
        fleet_tables=FleetTables(on_change=lambda _table: None),
        journal=journal,
        metrics=metrics,
    )
    attempts = make_attempt_loop(targets, pool, journal, recorder)
    now = asyncio.get_running_loop().time()
    answers = []
    for seconds in (3.0, 2.0):
        request = admitted._replace(
            received_at=now, deadline=now + seconds, objective_at=now + 0.5
        )
        begun = attempts.begin(request, may_relay=False)
        answers.append(await attempts.run(request, begun))  # noqa: WPS476
    return [dict(answer.headers)[b'retry-after'] for answer in answers]


# Guards against an attempt loop that does not ask load shedding.
def test_attempt_loop_tells_times_and_counts_returned_callers(journal):
    metrics = Metrics()
    waits = asyncio.run(attempt_with_full_targets(100, journal, metrics))
    assert b'0.250' not in waits and len(set(waits)) == 2
    rendered = metrics.render()
    assert 'callers_returned_total' in rendered
    assert 'callers_refused_again_total{reason="targets-full"} 1' in rendered


def test_attempt_loop_is_as_before_without_a_fourth_figure(journal):
    metrics = Metrics()
    waits = asyncio.run(attempt_with_full_targets(None, journal, metrics))
    assert waits == [b'0.250', b'0.250']
    assert 'callers_' not in metrics.render()
