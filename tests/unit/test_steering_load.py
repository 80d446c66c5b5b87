"""Tests of the policy under simulated load, on the fleet of the benchmark."""

import pytest

from benches.steering import run
from benches.steering_places import DEPLOYMENTS

LOAD_SECONDS = 7
FAULT_AT_SECOND = 2
MAX_ATTEMPTS_RATIO = 1.1
MIN_OTHER_TEAMS_RATIO = 0.98


def measure(scenario, deployment='qureshi', seed=1):
    """Run the policy of this package on a small load; return the figures."""
    places = DEPLOYMENTS[deployment]
    return run(places, scenario, seed, 'ours', LOAD_SECONDS, FAULT_AT_SECOND)


def check_caps(measured):
    """Check what must hold in every scenario."""
    caps = ('overloads', 'link_cap_passed', 'shift_cap_passed')
    assert {name: measured[name] for name in caps} == dict.fromkeys(caps, 0)


@pytest.mark.parametrize('seed', (1, 2, 3))
def test_steady_load_refuses_nobody(seed):
    measured = measure('steady', seed=seed)
    check_caps(measured)
    assert not measured['wrongful']


def test_same_seed_makes_the_same_decisions():
    assert measure('zone-lost') == measure('zone-lost')


@pytest.mark.parametrize('seed', (1, 2, 3))
def test_surge_of_one_team_takes_little_from_other_teams(seed):
    measured = measure('surge', seed=seed)
    check_caps(measured)
    calm = measure('steady', seed=seed)
    ratio = measured['worst_other_team'] / calm['worst_other_team']
    assert ratio >= MIN_OTHER_TEAMS_RATIO


@pytest.mark.parametrize('seed', (1, 2, 3))
def test_lost_zone_refuses_nobody_after_three_seconds(seed):
    measured = measure('zone-lost', seed=seed)
    check_caps(measured)
    assert not measured['wrongful_settled']
    assert measured['attempts'] <= MAX_ATTEMPTS_RATIO


@pytest.mark.parametrize(
    'scenario',
    (
        'cold',
        'cut-and-healed',
        'drain',
        'morning-pull',
        'region-lost',
        'reports-late',
        'reports-lying',
        'reports-stopped',
    ),
)
def test_no_fault_exceeds_a_cap(scenario):
    check_caps(measure(scenario))
