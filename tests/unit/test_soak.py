"""Tests of the soak itself: its draws, and that it sees broken promises."""

import pytest

from standins.site.target import ExecutedRequest
from standins.soak.invariants import Call, check_calls, check_runs
from standins.soak.schedule import FaultSubjects, draw_faults

SUBJECTS = FaultSubjects(('vm-1', 'vm-2'), ('t1', 't2'), ('east-a',))


def make_call(**fields):
    call = Call(
        request_id='r1',
        vm='vm-1',
        path='/book/1',
        team='guides',
        is_booking=True,
        status=200,
        body='t1 /book/1 deposit',
        seconds=0.1,
        is_vm_undisturbed=True,
        may_be_denied=False,
    )
    return call._replace(**fields)


def make_run(**fields):
    run = ExecutedRequest('t1', 'r1', '/book/1', 'guides', 1000, '')
    return run._replace(**fields)


def test_seed_draws_the_same_faults_again():
    assert draw_faults(7, 20.0, SUBJECTS) == draw_faults(7, 20.0, SUBJECTS)
    assert draw_faults(7, 20.0, SUBJECTS) != draw_faults(8, 20.0, SUBJECTS)


def test_faults_are_of_all_kinds_and_overlap():
    faults = [
        fault for seed in range(20) for fault in draw_faults(seed, 20, SUBJECTS)
    ]
    kinds = {'vm', 'target', 'store', 'target link', 'store link', 'change'}
    assert {fault.kind for fault in faults} == kinds
    ends = zip(faults, faults[1:], strict=False)
    assert any(
        one.start_seconds
        < other.start_seconds
        < one.start_seconds + one.seconds
        for one, other in ends
    )


@pytest.mark.parametrize(
    ('call', 'runs'),
    (
        (make_call(body='t1 /book/2 deposit'), 1),
        (make_call(body=''), 1),
        (make_call(), 0),
        (make_call(status=401), 0),
        (make_call(status=502), 2),
        (make_call(status=503), 1),
        (make_call(status=0), 0),
        (make_call(status=504, seconds=2.6), 1),
    ),
)
def test_broken_promise_is_seen(call, runs):
    assert check_calls([call], [make_run()] * runs)


@pytest.mark.parametrize(
    ('call', 'runs'),
    (
        (make_call(), 1),
        (make_call(status=401, may_be_denied=True), 0),
        (make_call(status=503), 0),
        (make_call(status=504), 1),
        (make_call(status=0, is_vm_undisturbed=False), 1),
        (make_call(is_booking=False), 2),
    ),
)
def test_kept_promise_is_passed_over(call, runs):
    assert not check_calls([call], [make_run()] * runs)


@pytest.mark.parametrize(
    'run',
    (
        make_run(request_id='r2'),
        make_run(path='/book/2'),
        make_run(team='partners'),
        make_run(key='Bearer guide-key'),
    ),
)
def test_run_that_nobody_asked_for_is_seen(run):
    assert check_runs([make_call()], [run])
    assert not check_runs([make_call()], [make_run()])
