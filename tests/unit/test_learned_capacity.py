"""Tests of the learned speed and capacity of targets."""

import random

import pytest

from tests.capacity_model import (
    SLOTS,
    ModelPattern,
    learn,
    make_evidence,
    make_times,
    make_unlearning_load,
    run_model,
)
from toucanhall.placement.learned_capacity import LearnedCapacity
from toucanhall.placement.load import TargetLoad
from toucanhall.placement.response_times import UsualTimes

# Of the objects of a target, some are not in its memory: 3.3 times as long.
MIXED_RATIOS = (1.0, 1.0, 1.0, 3.3)


def test_target_without_evidence_is_usual():
    # Guards against a change for deployments that report nothing.
    load = TargetLoad(slots=SLOTS)
    load.record_reported_load(3, 1.0)
    assert load.compute_slowdown(1.0) == 1
    assert load.count_well_served() == SLOTS


def test_equal_speeds_are_usual_at_every_load():
    capacity = learn(make_times(MIXED_RATIOS, requests=range(1, 25)))
    assert capacity.compute_slowdown(30.0) == 1
    assert capacity.count_well_served(30.0) == SLOTS


def test_span_of_a_slow_machine_counts_while_it_lasts():
    # Guards against load that leaves a target for long after 300 ms.
    load = TargetLoad(slots=SLOTS)
    for number in range(10):
        load.record_reported_load(0, float(number), 100)
    load.record_reported_load(0, 10.0, 250)
    assert load.compute_slowdown(10.0) == 2.5
    assert load.compute_slowdown(10.3) == pytest.approx(1.75)
    assert load.compute_slowdown(12.0) < 1.02
    assert load.capacity.compute_lasting_slowdown(12.0) == 1


def test_figures_of_one_span_do_not_last():
    # Guards against several answers of one slow span as proof of a slow target.
    capacity = LearnedCapacity(slots=SLOTS)
    for number in range(60):
        capacity.record_machine(100 if number < 30 else 250, number * 0.02)
    assert capacity.compute_lasting_slowdown(1.2) == 1


def test_machine_that_is_slow_for_good_stays_slow():
    capacity = LearnedCapacity(slots=SLOTS)
    for number in range(10):
        capacity.record_machine(250, float(number))
    assert capacity.compute_slowdown(9.0) == 2.5
    assert capacity.compute_slowdown(14.0) == 2.5


def test_machine_figure_and_time_do_not_count_twice():
    evidence = make_times([2.5], requests=[2], machine_percent=250)
    capacity = learn(evidence)
    for found in evidence:
        capacity.record_machine(250, found.at)
    assert capacity.compute_slowdown(30.0) == 2.5


def test_target_that_reports_nothing_and_is_slow_for_good_is_slow():
    ratios = [2.5 * ratio for ratio in MIXED_RATIOS]
    capacity = learn(make_times(ratios, requests=[1, 2, 3, 4]))
    assert capacity.compute_slowdown(30.0) == pytest.approx(2.5)
    assert capacity.count_well_served(30.0) == SLOTS


def test_fast_target_is_usual():
    capacity = learn(make_times([0.3], requests=range(1, 7)))
    capacity.record_machine(40, 30.0)
    assert capacity.compute_slowdown(30.0) == 1
    assert capacity.count_well_served(30.0) == SLOTS


@pytest.mark.parametrize('knee', [2, 3])
def test_target_near_its_knee_serves_fewer_at_a_time(knee):
    # Guards against a knee that is taken for a slow target, or missed.
    times = make_times(
        MIXED_RATIOS,
        requests=(1, 2, 5, 2, 6, 1, 6),
        knee=knee,
    )
    capacity = learn(times)
    assert capacity.compute_slowdown(30.0) == 1
    assert capacity.count_well_served(30.0) == pytest.approx(knee, abs=0.5)


def test_target_with_a_knee_and_a_queue_serves_fewer_at_a_time():
    # Guards against a saturated target that tells nothing below its slots.
    capacity = learn(make_times([1.0], requests=[9], knee=2))
    assert 1 <= capacity.count_well_served(30.0) <= 3


@pytest.mark.parametrize(
    'fields',
    [
        {'is_target_cold': True},
        {'is_first_target': False},
        {'lag_seconds': 0.05},
        {'usual_seconds': 0.0, 'mean_seconds': 0.0},
    ],
    ids=['cold target', 'cold object', 'overloaded VM', 'unknown route'],
)
@pytest.mark.parametrize('requests', [1, 6, 12])
def test_times_that_tell_nothing_of_speed_are_ignored(fields, requests):
    times = make_times([5.0], requests=[requests])
    capacity = learn(found._replace(**fields) for found in times)
    assert capacity.compute_slowdown(30.0) == 1
    assert capacity.count_well_served(30.0) == SLOTS


@pytest.mark.parametrize('requests', [2, 6, 12])
def test_costly_objects_do_not_make_a_target_slow(requests):
    # Guards against a mean: half of the requests take six times as long.
    capacity = learn(make_times([1.0, 6.0], requests=[requests]))
    assert capacity.compute_slowdown(30.0) == 1
    assert capacity.count_well_served(30.0) == SLOTS


def test_costlier_objects_everywhere_become_usual():
    usual = UsualTimes()
    for _answer in range(100):
        usual.record('route', 0.1)
    for _answer in range(100):
        usual.record('route', 0.3)
    found = usual.get('route')
    assert found is not None
    assert found.median == pytest.approx(0.3, rel=0.1)
    assert found.mean == pytest.approx(0.3, rel=0.1)


def test_one_long_answer_hardly_moves_the_usual_time():
    usual = UsualTimes()
    for seconds in (0.1, 0.1, 5.0):
        usual.record('route', seconds)
    found = usual.get('route')
    assert found is not None
    assert found.median < 0.11


def test_estimates_without_news_return_to_the_usual_ones():
    # Guards against a target that is left unused for good.
    capacity = learn(make_times([2.5], requests=[2]))
    for found in make_times([8.0], requests=[6]):
        capacity.record(found)
    for number in range(30):
        capacity.record_machine(200, float(number))
    slowdowns = [capacity.compute_slowdown(at) for at in (31, 45, 50, 61)]
    counts = [capacity.count_well_served(at) for at in (31, 45, 50, 61)]
    assert slowdowns == sorted(slowdowns, reverse=True)
    assert counts == sorted(counts)
    assert (slowdowns[0] > 4, counts[0] < 3) == (True, True)
    assert (slowdowns[-1], counts[-1]) == (1, SLOTS)


def test_old_times_do_not_count_with_new_ones():
    capacity = learn(make_times([2.5], requests=[2]))
    capacity.record(make_evidence(at=100.0, seconds=0.25))
    assert capacity.compute_slowdown(100.0) == 1


def test_recovered_target_is_usual_after_a_dozen_answers():
    capacity = learn(make_times([2.5], requests=[2]))
    for number in range(12):
        capacity.record(make_evidence(at=30.0 + number))
    assert capacity.compute_slowdown(42.0) == 1


def test_change_is_told_once_and_so_is_its_end():
    # Guards against a log line for each answer.
    capacity = LearnedCapacity(slots=SLOTS)
    changes = []
    for number in range(20):
        capacity.record_machine(250 if number < 10 else 100, float(number))
        changes.append(capacity.take_change(float(number)))
    told = [change for change in changes if change]
    assert [after.slowdown for _before, after in told] == [2.5, 1.0]
    assert [before.slowdown for before, _after in told] == [1.0, 2.5]


def test_age_is_that_of_the_latest_news():
    capacity = LearnedCapacity(slots=SLOTS)
    capacity.record_machine(100, 3.0)
    capacity.record(make_evidence(at=5.0))
    assert capacity.compute_age(7.0) == 2


@pytest.mark.parametrize('seed', range(20))
def test_any_evidence_keeps_the_estimates_in_their_bounds(seed):
    rng = random.Random(seed)
    load = TargetLoad(slots=rng.randint(1, 12))
    now = 0.0
    for _answer in range(300):
        now += rng.expovariate(3)
        percent = rng.choice((None, 1, 100, 250, 10**6))
        load.record_reported_load(rng.randrange(30), now, percent)
        load.record_evidence(
            make_evidence(
                at=now,
                seconds=rng.choice((0.0, 0.1, 5.0, 1e6)),
                requests=rng.uniform(1, 40),
                machine_percent=percent,
            )
        )
        assert 1 <= load.compute_slowdown(now) <= 8
        assert 1 <= load.count_well_served() <= load.slots


NOISE = {'span_fraction': 0.15, 'long_fraction': 0.03}


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_vms_leave_equal_targets_at_the_usual_estimates(seed):
    outcomes = run_model(ModelPattern(rate=60), seed=seed)
    assert {found for row in outcomes.slowdowns for found in row} == {1.0}
    assert {found for row in outcomes.well_served for found in row} == {SLOTS}


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(
    'odd',
    [{'slow': 2.5}, {'slow': 2.5, 'reports_machine': True}, {'knee': 2.0}],
    ids=['slow', 'slow and reported', 'knee'],
)
def test_vms_that_learn_at_once_neither_oscillate_nor_leave_a_target(odd, seed):
    # Guards against VMs that leave a target together and return together.
    pattern = ModelPattern(rate=60, **odd, **NOISE)
    outcomes = run_model(pattern, seed=seed)
    usual = run_model(pattern, seed=seed, make_load=make_unlearning_load)
    assert outcomes.mean_seconds < usual.mean_seconds
    late = outcomes.counts[8:]
    mean = sum(late) / len(late)
    assert max(late) < 3 * mean
    # A count of a few requests is zero now and then, but not for 15 s.
    assert all(sum(late[at : at + 3]) for at in range(len(late) - 2))
