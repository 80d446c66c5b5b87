"""Replays of load patterns against the limits of teams and of repeats."""

import random
from typing import NamedTuple

import pytest

from tests.fleetdata import make_bounds, make_team
from toucanhall.fleet.membership import LATE_SECONDS
from toucanhall.limits.quota import Quotas, Told, Usage
from toucanhall.limits.retries import Retries

BEAT = 0.8
WINDOW = 5.0
OVERAGE = 0.1
SLACK = 20


class Load(NamedTuple):
    """Requests a second of one VM as (from second, rate)."""

    steps: tuple[tuple[float, float], ...]

    def find_rate(self, now):
        return [rate for since, rate in self.steps if since <= now][-1]


class Fleet:
    """VMs that exchange what they admitted at each beat, at times of theirs."""

    def __init__(self, *, loads, team, cut=()):
        self.team = team
        self.loads = loads
        self.cut = cut
        self.vms = [
            Quotas(window=WINDOW, beat=BEAT, now=-WINDOW) for _load in loads
        ]
        self.told = [{} for _load in loads]
        self.heard = [[({}, 0.0)] * len(loads) for _load in loads]
        self.admitted = []
        self.asked = 0
        self.now = 0.0

    def play(self, seconds, *, seed, since=0.0):
        draw = random.Random(seed)
        step = 0.01
        now = self.now
        beats = [now + draw.uniform(0, BEAT) for _vm in self.vms]
        while now < seconds:
            for index, vm in enumerate(self.vms):
                if now >= beats[index]:
                    beats[index] += BEAT
                    self.beat(index, vm, now)
                rate = self.loads[index].find_rate(now)
                if draw.random() < rate * step:
                    self.asked += now >= since
                    if not vm.admit(self.team, now):
                        self.admitted.append(now)
            now += step
        self.now = now

    def beat(self, index, vm, now):
        told = vm.measure(now)
        self.told[index] = told
        for other in range(len(self.vms)):
            if other in self.cut or index in self.cut:
                continue
            self.heard[other][index] = (told, now)
        others = [
            Told(told_before, now - at > LATE_SECONDS)
            for place, (told_before, at) in enumerate(self.heard[index])
            if place != index
        ]
        vm.divide([self.team], told, others, now)

    def find_most(self):
        """Return the most admissions in any window."""
        most = start = 0
        for end, at in enumerate(self.admitted):
            while at - self.admitted[start] >= WINDOW:
                start += 1
            most = max(most, end - start + 1)
        return most

    def count_admitted(self, since):
        return sum(at >= since for at in self.admitted)


def find_bound(team):
    return (team.rate * WINDOW + team.burst) * (1 + OVERAGE) + SLACK


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('rate', (20.0, 60.0))
def test_team_within_its_rate_is_not_refused(rate, seed):
    team = make_team(rate=rate * 1.6, burst=rate * 1.6)
    loads = [Load(((0, rate / 12),)) for _vm in range(12)]
    fleet = Fleet(loads=loads, team=team)
    fleet.play(20, seed=seed, since=6)
    refused = 1 - fleet.count_admitted(6) / fleet.asked
    assert refused < 0.01


@pytest.mark.parametrize('seed', range(3))
def test_callers_that_move_to_another_zone_are_not_refused(seed):
    team = make_team(rate=160.0, burst=160.0)
    loads = [
        *(Load(((0, 10.0), (8, 2.0))) for _vm in range(5)),
        *(Load(((0, 10.0), (8, 18.0))) for _vm in range(5)),
    ]
    fleet = Fleet(loads=loads, team=team)
    fleet.play(16, seed=seed, since=6)
    assert 1 - fleet.count_admitted(6) / fleet.asked < 0.01


@pytest.mark.parametrize('seed', range(3))
def test_team_of_eight_times_its_rate_stays_within_its_limit(seed):
    team = make_team(rate=100.0, burst=100.0)
    loads = [Load(((0, 6.0), (8, 48.0))) for _vm in range(10)]
    fleet = Fleet(loads=loads, team=team)
    fleet.play(20, seed=seed)
    assert fleet.find_most() <= find_bound(team)
    assert fleet.count_admitted(13) > 0.75 * team.rate * 7


@pytest.mark.parametrize('seed', range(3))
def test_vms_that_were_cut_off_keep_to_the_limit(seed):
    team = make_team(rate=100.0, burst=100.0)
    loads = [Load(((0, 6.0), (8, 30.0))) for _vm in range(10)]
    fleet = Fleet(loads=loads, team=team)
    fleet.play(8, seed=seed)
    fleet.cut = (0, 1, 2)
    fleet.loads = [Load(((0, 30.0),))] * 10
    fleet.play(20, seed=seed)
    assert fleet.find_most() <= find_bound(team)


def test_fleet_that_starts_again_does_not_spend_a_window_twice():
    team = make_team(rate=100.0, burst=100.0)
    quotas = Quotas(window=WINDOW, beat=BEAT, now=0.0)
    quotas.divide([team], {}, [], 0.1)
    admitted = sum(not quotas.admit(team, 0.2) for _try in range(500))
    assert admitted <= (1 - 0.8) * 600


def test_team_without_a_rate_has_no_limit():
    quotas = Quotas(window=WINDOW, beat=BEAT, now=0.0)
    team = make_team(rate=None)
    assert not any(quotas.admit(team, 0.0) for _try in range(1000))


def test_refusal_says_when_to_come_back():
    quotas = Quotas(window=WINDOW, beat=BEAT, now=-10.0)
    team = make_team(rate=1.0, burst=0.0)
    quotas.divide([team], {}, [Told({'guides': Usage(5, 9.0)})], 0.0)
    waits = [quotas.admit(team, 0.1) for _try in range(5)]
    assert waits[-1] == 1.5


@pytest.mark.parametrize('vms', (1, 18, 100))
def test_repeats_of_all_vms_stay_within_the_budget(vms):
    bounds = make_bounds()
    fleet = [Retries(bounds=bounds, vms=vms, now=0.0) for _vm in range(vms)]
    repeats = requests = 0
    for step in range(1000):
        now = step / 100
        retries = fleet[step % vms]
        requests += 1
        retries.earn()
        repeats += retries.spend(now)
        repeats += retries.spend(now)
    bound = bounds.retry_ratio * requests + bounds.retry_slack
    assert repeats <= max(bound, vms)
    assert repeats > 0.5 * min(bound, 2 * requests)
