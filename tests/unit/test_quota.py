"""Replays of load patterns against the limits of teams and of repeats."""

import random
from typing import NamedTuple

import pytest

from tests.simulated_fleet import (
    WINDOW,
    compute_window_bound,
    compute_max_admitted,
)
from tests.fleetdata import make_bounds, make_team
from toucanhall.edge.peer_exchange import (
    FIRST_HEARTBEAT_DELAY_SECONDS,
    get_heartbeat_interval_seconds,
)
from toucanhall.fleet.membership import USAGE_STALE_SECONDS
from toucanhall.fleet.membership import REPORT_STALE_SECONDS as REPORT_LATE
from toucanhall.fleet.reports import sum_usage_reports
from toucanhall.limits.quota import (
    RESERVE_VM_WEIGHT,
    Quotas,
    UsageReport,
    Usage,
    combine_reports,
    make_missing_report,
)
from toucanhall.limits.quota import _divide as divide_limit
from toucanhall.limits.quota import _Report as Report
from toucanhall.limits.retry_budget import ServiceRetryBudget

BEAT = 0.8


class Load(NamedTuple):
    """Requests a second of one VM as (from second, rate)."""

    steps: tuple[tuple[float, float], ...]

    def find_rate(self, now):
        return [rate for since, rate in self.steps if since <= now][-1]


class Fleet:
    """VMs that exchange what they admitted at each beat, at times of theirs.

    Each zone has as many VMs as `per_zone`; those of others are heard of by
    reports of two speakers, each with every second of its beats.
    """

    def __init__(self, *, loads, team, cut=(), per_zone=None, reserve=()):
        self.team = team
        self.loads = loads
        self.cut = cut
        self.per_zone = per_zone or len(loads)
        self.reserve = reserve
        self.reports = {}
        self.beats = [0] * len(loads)
        self.vms = [
            Quotas(bounds=make_bounds(), beat=BEAT, now=-WINDOW)
            for _load in loads
        ]
        self.told = [{} for _load in loads]
        self.heard = [[({}, 0.0)] * len(loads) for _load in loads]
        self.admitted = []
        self.asked = 0
        self.now = 0.0
        self.started_at = None

    def play(self, seconds, *, seed, since=0.0):
        draw = random.Random(seed)
        step = 0.01
        now = self.now
        beats = [now + draw.uniform(0, BEAT) for _vm in self.vms]
        if self.started_at is not None:
            beats = [now + FIRST_HEARTBEAT_DELAY_SECONDS for _vm in self.vms]
            for index, vm in enumerate(self.vms):
                self.refill(index, vm, {}, now)
        while now < seconds:
            for index, vm in enumerate(self.vms):
                if now >= beats[index]:
                    beats[index] += self.find_beat(now)
                    self.beat(index, vm, now)
                rate = self.loads[index].find_rate(now)
                if draw.random() < rate * step:
                    self.asked += now >= since
                    if not vm.admit(self.team, now):
                        self.admitted.append(now)
            now += step
        self.now = now

    def beat(self, index, vm, now):
        told = vm.collect_usage(now)
        self.told[index] = told
        self.beats[index] += 1
        self.refill(index, vm, told, now)

    def find_beat(self, now):
        if self.started_at is None:
            return BEAT
        return get_heartbeat_interval_seconds(now - self.started_at)

    def refill(self, index, vm, told, now):
        zone = index // self.per_zone
        mates = range(zone * self.per_zone, (zone + 1) * self.per_zone)
        for other in mates:
            if other in self.cut or index in self.cut:
                continue
            self.heard[other][index] = (told, now)
        own = UsageReport(told, vms=self.weigh(index))
        near = [
            UsageReport(
                self.heard[index][mate][0],
                is_stale=now - self.heard[index][mate][1] > USAGE_STALE_SECONDS,
                vms=self.weigh(mate),
            )
            for mate in mates
            if mate != index
        ]
        speakers = [mate for mate in mates if mate not in self.cut][:2]
        if index in speakers and self.beats[index] % 2 == 0:
            self.reports[zone] = (sum_usage_reports([own, *near]), now)
        zones = range(len(self.loads) // self.per_zone)
        far = [
            make_missing_report(4)
            for found in zones
            if found not in self.reports
        ]
        far += [
            told._replace(is_stale=told.is_stale or now - at > REPORT_LATE)
            for found, (report, at) in self.reports.items()
            if found != zone
            for told in report
        ]
        vm.refill([self.team], own, [*near, *far], now)

    def restart(self, now):
        """Start all VMs anew."""
        self.now = now
        self.started_at = now
        self.beats = [0] * len(self.loads)
        self.reports = {}
        self.heard = [[({}, now)] * len(self.loads) for _load in self.loads]
        self.vms = [
            Quotas(bounds=make_bounds(), beat=BEAT, now=now)
            for _load in self.loads
        ]

    def weigh(self, index):
        is_reserve = index % self.per_zone in self.reserve
        return RESERVE_VM_WEIGHT if is_reserve else 1.0

    def compute_max_admitted(self):
        """Return the most admissions in any window."""
        return compute_max_admitted(self.admitted)

    def count_admitted(self, since):
        return sum(at >= since for at in self.admitted)


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


@pytest.mark.parametrize('seed', range(2))
def test_callers_of_a_small_team_that_move_are_seldom_refused(seed):
    team = make_team(rate=32.0, burst=32.0)
    left, found = (Load(((0, first), (8, then)))
                   for first, then in ((1.8, 0.2), (0.2, 1.8)))  # fmt: skip
    fleet = Fleet(loads=[left] * 10 + [found] * 10, team=team, per_zone=4)
    fleet.play(12, seed=seed, since=8)
    assert 1 - fleet.count_admitted(8) / fleet.asked < 0.1


@pytest.mark.parametrize('seed', range(3))
def test_idle_team_that_turns_hot_stays_within_its_limit(seed):
    team = make_team(rate=64.0, burst=64.0)
    fleet = Fleet(loads=make_large(0.2, 320.0), team=team, **LARGE)
    fleet.play(16, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)


@pytest.mark.parametrize('seed', range(3))
def test_team_of_eight_times_its_rate_stays_within_its_limit(seed):
    team = make_team(rate=100.0, burst=100.0)
    loads = [Load(((0, 6.0), (8, 48.0))) for _vm in range(10)]
    fleet = Fleet(loads=loads, team=team)
    fleet.play(20, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)
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
    assert fleet.compute_max_admitted() <= compute_window_bound(team)


def test_fleet_that_starts_again_does_not_spend_a_window_twice():
    team = make_team(rate=100.0, burst=100.0)
    quotas = Quotas(bounds=make_bounds(), beat=BEAT, now=0.0)
    quotas.refill([team], UsageReport({}), [], 0.1)
    admitted = sum(not quotas.admit(team, 0.2) for _try in range(500))
    assert admitted <= (1 - 0.8) * 600


# Six zones of sixteen VMs, of which four take requests, and a small team.
LARGE = {'per_zone': 16, 'reserve': range(4, 16)}


def make_large(rate, later=None):
    steps = ((0, rate / 24), (8, (later or rate) / 24))
    busy = Load(steps)
    idle = Load(((0, 0.0),))
    return ([busy] * 4 + [idle] * 12) * 6


@pytest.mark.parametrize('seed', range(3))
def test_teams_of_a_large_fleet_are_seldom_refused(seed):
    asked = refused = 0
    for rate in (8.0, 40.0, 40.0, 40.0):
        team = make_team(rate=rate * 1.6, burst=rate * 1.6)
        fleet = Fleet(loads=make_large(rate), team=team, **LARGE)
        fleet.play(20, seed=seed, since=6)
        asked += fleet.asked
        refused += fleet.asked - fleet.count_admitted(6)
    assert refused < 0.01 * asked


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    ('rate', 'burst', 'hot'),
    ((64.0, 64.0, 320.0), (160.0, 16.0, 600.0)),
)
def test_large_fleet_keeps_to_the_limit_of_a_hot_team(rate, burst, hot, seed):
    team = make_team(rate=rate, burst=burst)
    fleet = Fleet(loads=make_large(40.0, hot), team=team, **LARGE)
    fleet.play(20, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)
    assert fleet.count_admitted(13) > 0.75 * team.rate * 7


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('down', (0.2, 1.0, 2.5))
def test_large_fleet_that_starts_again_keeps_to_the_limit(down, seed):
    team = make_team(rate=230.0, burst=230.0)
    fleet = Fleet(loads=make_large(144.0, 620.0), team=team, **LARGE)
    fleet.play(13, seed=seed)
    fleet.restart(13 + down)
    fleet.play(13 + down + 2 * WINDOW, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)
    again = fleet.count_admitted(13 + down + WINDOW)
    assert again > 0.75 * team.rate * WINDOW


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize(
    ('rate', 'zones'), ((400.0, 6), (100.0, 6), (100.0, 9))
)
def test_team_within_its_rate_is_seldom_refused_after_a_start(
    rate,
    zones,
    seed,
):
    team = make_team(rate=rate, burst=rate)
    vms = zones * 4
    loads = [Load(((0, rate / 1.6 / vms),)) for _vm in range(vms)]
    fleet = Fleet(loads=loads, team=team, per_zone=4)
    fleet.play(8, seed=seed)
    fleet.restart(8.9)
    fleet.asked = 0
    fleet.play(10.9, seed=seed)
    assert 1 - fleet.count_admitted(8.9) / fleet.asked < 0.1


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize('rate', (10.0, 30.0, 100.0, 400.0))
def test_hot_team_keeps_to_its_limit_over_a_start(rate, seed):
    team = make_team(rate=rate, burst=rate)
    loads = [Load(((0, rate * 3 / 24),)) for _vm in range(24)]
    fleet = Fleet(loads=loads, team=team, per_zone=4)
    fleet.play(8, seed=seed)
    fleet.restart(8.9)
    fleet.play(14, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)


@pytest.mark.parametrize('seed', range(3))
def test_cut_third_of_a_large_fleet_keep_to_the_limit(seed):
    team = make_team(rate=64.0, burst=64.0)
    fleet = Fleet(loads=make_large(40.0), team=team, **LARGE)
    fleet.play(8, seed=seed)
    # The first speaker of each zone and the second ones of two.
    fleet.cut = (*range(0, 96, 16), 1, 17)
    fleet.loads = make_large(320.0)
    fleet.play(20, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)


def test_team_without_a_rate_has_no_limit():
    quotas = Quotas(bounds=make_bounds(), beat=BEAT, now=0.0)
    team = make_team(rate=None)
    assert not any(quotas.admit(team, 0.0) for _try in range(1000))


def test_refusal_says_when_to_come_back():
    quotas = Quotas(bounds=make_bounds(), beat=BEAT, now=-10.0)
    team = make_team(rate=1.0, burst=0.0)
    quotas.refill(
        [team], UsageReport({}), [UsageReport({'guides': Usage(5, 9.0)})], 0.0
    )
    waits = [quotas.admit(team, 0.1) for _try in range(5)]
    assert waits[-1] == 1.5


@pytest.mark.parametrize('vms', (1, 18, 100))
def test_repeats_of_all_vms_stay_within_the_budget(vms):
    bounds = make_bounds()
    fleet = [
        ServiceRetryBudget(bounds=bounds, vms=vms, now=0.0)
        for _vm in range(vms)
    ]
    repeats = requests = 0
    for step in range(1000):
        now = step / 100
        retries = fleet[step % vms]
        requests += 1
        retries.record_request()
        repeats += retries.try_acquire(now)
        repeats += retries.try_acquire(now)
    bound = bounds.retry_ratio * requests + bounds.retry_slack
    assert repeats <= max(bound, vms)
    assert repeats > 0.5 * min(bound, 2 * requests)


def test_vms_that_are_heard_count_together_and_late_ones_alone():
    present = [
        UsageReport({'a': Usage(number, 0.5)}, vms=2.0) for number in range(40)
    ]
    reserve = [UsageReport({}, vms=RESERVE_VM_WEIGHT) for _vm in range(50)]
    silent = [UsageReport({}, is_stale=True, vms=1.0) for _vm in range(3)]
    late = UsageReport({'a': Usage(7, 1.0)}, is_stale=True)
    unheard = make_missing_report(4)
    found = combine_reports([*present, *reserve, late, unheard, *silent])
    assert found[:2] == [late, unheard]
    together, without = found[2:]
    assert together.usage == {'a': Usage(780, 20.0)}
    assert together.vms == pytest.approx(81.0)
    assert without == UsageReport({}, is_stale=True, vms=3.0)


@pytest.mark.parametrize('seed', range(5))
def test_parts_of_vms_added_up_are_those_of_each(seed):
    chance = random.Random(seed)
    own = UsageReport({'team': Usage(3, 1.5)})
    others = [
        UsageReport(
            {'team': Usage(chance.randrange(9), chance.random())}
            if chance.random() < 0.6
            else {},
            is_stale=chance.random() < 0.3,
            vms=chance.choice((RESERVE_VM_WEIGHT, 1.0, 4.0)),
        )
        for _vm in range(40)
    ]
    each = list_reports([own, *others])
    together = list_reports([own, *combine_reports(others)])
    parts, added = divide_limit(1.5, each), divide_limit(1.5, together)
    assert added[0] == pytest.approx(parts[0])
    assert sum(added) == pytest.approx(1.0)
    assert find_late_spent(together, added) == pytest.approx(
        find_late_spent(each, parts),
    )


def list_reports(told):
    """Return what VMs told of a team."""
    return [
        Report(found.usage.get('team', Usage()), found.is_stale, found.vms)
        for found in told
    ]


def find_late_spent(reports, parts, limit=100.0):
    """Return what counts for VMs that are late."""
    return sum(
        max(report.usage.admitted, part * limit)
        for report, part in zip(reports, parts, strict=True)
        if report.is_stale
    )
