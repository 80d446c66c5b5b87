"""Load patterns against the limits of teams and the retry budget."""

import random
from typing import NamedTuple

import pytest

from tests.fleetdata import make_bounds, make_team
from tests.simulated_fleet import (
    WINDOW_SECONDS,
    compute_max_admitted,
    compute_window_bound,
)
from toucanhall.edge.peer_exchange import (
    FIRST_HEARTBEAT_DELAY_SECONDS,
    get_heartbeat_interval_seconds,
)
from toucanhall.fleet.membership import (
    REPORT_STALE_SECONDS,
    USAGE_STALE_SECONDS,
)
from toucanhall.fleet.reports import sum_usage_reports
from toucanhall.limits.quota import (
    RESERVE_VM_WEIGHT,
    Quotas,
    Usage,
    UsageReport,
    combine_reports,
    make_missing_report,
)
from toucanhall.limits.quota import _compute_fractions as compute_fractions
from toucanhall.limits.quota import _TeamReport as TeamReport
from toucanhall.limits.retry_budget import ServiceRetryBudget

HEARTBEAT_SECONDS = 0.8


class Load(NamedTuple):
    """Requests per second of one VM as (from second, rate)."""

    steps: tuple[tuple[float, float], ...]

    def get_rate(self, now):
        return [rate for since, rate in self.steps if since <= now][-1]


class Fleet:
    """VMs that exchange usage reports, each with its own heartbeat times.

    Each zone has `vms_per_zone` VMs. The other zones receive their usage in the
    reports of two delegates, each sent with every second heartbeat.
    """

    def __init__(
        self,
        *,
        loads,
        team,
        cut_off=(),
        vms_per_zone=None,
        reserve=(),
    ):
        self.team = team
        self.loads = loads
        self.cut_off = cut_off
        self.vms_per_zone = vms_per_zone or len(loads)
        self.reserve = reserve
        self.reports_by_zone = {}
        self.heartbeat_counts = [0] * len(loads)
        self.vms = [
            Quotas(
                bounds=make_bounds(),
                beat=HEARTBEAT_SECONDS,
                now=-WINDOW_SECONDS,
            )
            for _load in loads
        ]
        self.usages = [{} for _load in loads]
        self.received = [[({}, 0.0)] * len(loads) for _load in loads]
        self.admitted_at = []
        self.request_count = 0
        self.now = 0.0
        self.started_at = None

    def run_until(self, end, *, seed, since=0.0):
        """Run; count the requests that arrive after `since`."""
        rng = random.Random(seed)
        step = 0.01
        now = self.now
        heartbeat_at = [
            now + rng.uniform(0, HEARTBEAT_SECONDS) for _vm in self.vms
        ]
        if self.started_at is not None:
            heartbeat_at = [
                now + FIRST_HEARTBEAT_DELAY_SECONDS for _vm in self.vms
            ]
            for index, vm in enumerate(self.vms):
                self.refill(index, vm, {}, now)
        while now < end:
            for index, vm in enumerate(self.vms):
                if now >= heartbeat_at[index]:
                    heartbeat_at[index] += self.get_heartbeat_seconds(now)
                    self.send_heartbeat(index, vm, now)
                rate = self.loads[index].get_rate(now)
                if rng.random() < rate * step:
                    self.request_count += now >= since
                    if not vm.admit(self.team, now):
                        self.admitted_at.append(now)
            now += step
        self.now = now

    def send_heartbeat(self, index, vm, now):
        usage = vm.collect_usage(now)
        self.usages[index] = usage
        self.heartbeat_counts[index] += 1
        self.refill(index, vm, usage, now)

    def get_heartbeat_seconds(self, now):
        if self.started_at is None:
            return HEARTBEAT_SECONDS
        return get_heartbeat_interval_seconds(now - self.started_at)

    def refill(self, index, vm, usage, now):
        zone = index // self.vms_per_zone
        local_vms = range(
            zone * self.vms_per_zone, (zone + 1) * self.vms_per_zone
        )
        for other in local_vms:
            if other in self.cut_off or index in self.cut_off:
                continue
            self.received[other][index] = (usage, now)
        own = UsageReport(usage, vms=self.get_weight(index))
        local = [
            UsageReport(
                self.received[index][other][0],
                is_stale=now - self.received[index][other][1]
                > USAGE_STALE_SECONDS,
                vms=self.get_weight(other),
            )
            for other in local_vms
            if other != index
        ]
        delegates = [other for other in local_vms if other not in self.cut_off][
            :2
        ]
        if index in delegates and self.heartbeat_counts[index] % 2 == 0:
            self.reports_by_zone[zone] = (sum_usage_reports([own, *local]), now)
        zones = range(len(self.loads) // self.vms_per_zone)
        remote = [
            make_missing_report(4)
            for other_zone in zones
            if other_zone not in self.reports_by_zone
        ]
        remote += [
            report._replace(
                is_stale=report.is_stale or now - at > REPORT_STALE_SECONDS
            )
            for other_zone, (reports, at) in self.reports_by_zone.items()
            if other_zone != zone
            for report in reports
        ]
        vm.refill([self.team], own, [*local, *remote], now)

    def restart(self, now):
        """Restart all VMs."""
        self.now = now
        self.started_at = now
        self.heartbeat_counts = [0] * len(self.loads)
        self.reports_by_zone = {}
        self.received = [[({}, now)] * len(self.loads) for _load in self.loads]
        self.vms = [
            Quotas(bounds=make_bounds(), beat=HEARTBEAT_SECONDS, now=now)
            for _load in self.loads
        ]

    def get_weight(self, index):
        is_reserve = index % self.vms_per_zone in self.reserve
        return RESERVE_VM_WEIGHT if is_reserve else 1.0

    def compute_max_admitted(self):
        """Return the most admissions in any window."""
        return compute_max_admitted(self.admitted_at)

    def count_admitted(self, since):
        return sum(at >= since for at in self.admitted_at)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('rate', (20.0, 60.0))
def test_team_within_its_rate_is_seldom_refused(rate, seed):
    team = make_team(rate=rate * 1.6, burst=rate * 1.6)
    loads = [Load(((0, rate / 12),)) for _vm in range(12)]
    fleet = Fleet(loads=loads, team=team)
    fleet.run_until(20, seed=seed, since=6)
    refused = 1 - fleet.count_admitted(6) / fleet.request_count
    assert refused < 0.01


@pytest.mark.parametrize('seed', range(3))
def test_callers_that_move_to_other_vms_are_seldom_refused(seed):
    team = make_team(rate=160.0, burst=160.0)
    loads = [
        *(Load(((0, 10.0), (8, 2.0))) for _vm in range(5)),
        *(Load(((0, 10.0), (8, 18.0))) for _vm in range(5)),
    ]
    fleet = Fleet(loads=loads, team=team)
    fleet.run_until(16, seed=seed, since=6)
    assert 1 - fleet.count_admitted(6) / fleet.request_count < 0.01


@pytest.mark.parametrize('seed', range(2))
def test_callers_of_a_small_team_that_move_are_seldom_refused(seed):
    team = make_team(rate=32.0, burst=32.0)
    before, after = (Load(((0, first), (8, then)))
                     for first, then in ((1.8, 0.2), (0.2, 1.8)))  # fmt: skip
    fleet = Fleet(loads=[before] * 10 + [after] * 10, team=team, vms_per_zone=4)
    fleet.run_until(12, seed=seed, since=8)
    assert 1 - fleet.count_admitted(8) / fleet.request_count < 0.1


@pytest.mark.parametrize('seed', range(3))
def test_idle_team_that_turns_hot_keeps_to_its_limit(seed):
    team = make_team(rate=64.0, burst=64.0)
    fleet = Fleet(loads=make_large(0.2, 320.0), team=team, **LARGE)
    fleet.run_until(16, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)


@pytest.mark.parametrize('seed', range(3))
def test_team_that_sends_eight_times_as_much_keeps_to_its_limit(seed):
    team = make_team(rate=100.0, burst=100.0)
    loads = [Load(((0, 6.0), (8, 48.0))) for _vm in range(10)]
    fleet = Fleet(loads=loads, team=team)
    fleet.run_until(20, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)
    assert fleet.count_admitted(13) > 0.75 * team.rate * 7


@pytest.mark.parametrize('seed', range(3))
def test_fleet_with_vms_cut_off_keeps_to_the_limit(seed):
    team = make_team(rate=100.0, burst=100.0)
    loads = [Load(((0, 6.0), (8, 30.0))) for _vm in range(10)]
    fleet = Fleet(loads=loads, team=team)
    fleet.run_until(8, seed=seed)
    fleet.cut_off = (0, 1, 2)
    fleet.loads = [Load(((0, 30.0),))] * 10
    fleet.run_until(20, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)


def test_started_vm_spends_a_fifth_of_the_limit_at_most():
    # The rest may have been spent in the same window before the start.
    team = make_team(rate=100.0, burst=100.0)
    quotas = Quotas(bounds=make_bounds(), beat=HEARTBEAT_SECONDS, now=0.0)
    quotas.refill([team], UsageReport({}), [], 0.1)
    admitted = sum(not quotas.admit(team, 0.2) for _try in range(500))
    assert admitted <= (1 - 0.8) * 600


# Six zones of sixteen VMs, of which four take requests.
LARGE = {'vms_per_zone': 16, 'reserve': range(4, 16)}


def make_large(rate, later=None):
    steps = ((0, rate / 24), (8, (later or rate) / 24))
    busy = Load(steps)
    idle = Load(((0, 0.0),))
    return ([busy] * 4 + [idle] * 12) * 6


@pytest.mark.parametrize('seed', range(3))
def test_teams_of_a_large_fleet_are_seldom_refused(seed):
    requests = refused = 0
    for rate in (8.0, 40.0, 40.0, 40.0):
        team = make_team(rate=rate * 1.6, burst=rate * 1.6)
        fleet = Fleet(loads=make_large(rate), team=team, **LARGE)
        fleet.run_until(20, seed=seed, since=6)
        requests += fleet.request_count
        refused += fleet.request_count - fleet.count_admitted(6)
    assert refused < 0.01 * requests


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    ('rate', 'burst', 'hot_rate'),
    ((64.0, 64.0, 320.0), (160.0, 16.0, 600.0)),
)
def test_large_fleet_keeps_to_the_limit_of_a_hot_team(
    rate,
    burst,
    hot_rate,
    seed,
):
    team = make_team(rate=rate, burst=burst)
    fleet = Fleet(loads=make_large(40.0, hot_rate), team=team, **LARGE)
    fleet.run_until(20, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)
    assert fleet.count_admitted(13) > 0.75 * team.rate * 7


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('down_seconds', (0.2, 1.0, 2.5))
def test_restarted_large_fleet_keeps_to_the_limit(down_seconds, seed):
    team = make_team(rate=230.0, burst=230.0)
    fleet = Fleet(loads=make_large(144.0, 620.0), team=team, **LARGE)
    fleet.run_until(13, seed=seed)
    fleet.restart(13 + down_seconds)
    fleet.run_until(13 + down_seconds + 2 * WINDOW_SECONDS, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)
    admitted_later = fleet.count_admitted(13 + down_seconds + WINDOW_SECONDS)
    assert admitted_later > 0.75 * team.rate * WINDOW_SECONDS


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize(
    ('rate', 'zones'), ((400.0, 6), (100.0, 6), (100.0, 9))
)
def test_team_within_its_rate_is_seldom_refused_after_a_restart(
    rate,
    zones,
    seed,
):
    team = make_team(rate=rate, burst=rate)
    vms = zones * 4
    loads = [Load(((0, rate / 1.6 / vms),)) for _vm in range(vms)]
    fleet = Fleet(loads=loads, team=team, vms_per_zone=4)
    fleet.run_until(8, seed=seed)
    fleet.restart(8.9)
    fleet.request_count = 0
    fleet.run_until(10.9, seed=seed)
    assert 1 - fleet.count_admitted(8.9) / fleet.request_count < 0.1


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize('rate', (10.0, 30.0, 100.0, 400.0))
def test_hot_team_keeps_to_its_limit_over_a_restart(rate, seed):
    team = make_team(rate=rate, burst=rate)
    loads = [Load(((0, rate * 3 / 24),)) for _vm in range(24)]
    fleet = Fleet(loads=loads, team=team, vms_per_zone=4)
    fleet.run_until(8, seed=seed)
    fleet.restart(8.9)
    fleet.run_until(14, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)


@pytest.mark.parametrize('seed', range(3))
def test_large_fleet_with_a_third_cut_off_keeps_to_the_limit(seed):
    team = make_team(rate=64.0, burst=64.0)
    fleet = Fleet(loads=make_large(40.0), team=team, **LARGE)
    fleet.run_until(8, seed=seed)
    # The first delegate of each zone and the second ones of two zones.
    fleet.cut_off = (*range(0, 96, 16), 1, 17)
    fleet.loads = make_large(320.0)
    fleet.run_until(20, seed=seed)
    assert fleet.compute_max_admitted() <= compute_window_bound(team)


def test_team_without_a_rate_has_no_limit():
    quotas = Quotas(bounds=make_bounds(), beat=HEARTBEAT_SECONDS, now=0.0)
    team = make_team(rate=None)
    assert not any(quotas.admit(team, 0.0) for _try in range(1000))


def test_refusal_has_a_retry_after_time():
    quotas = Quotas(bounds=make_bounds(), beat=HEARTBEAT_SECONDS, now=-10.0)
    team = make_team(rate=1.0, burst=0.0)
    quotas.refill(
        [team], UsageReport({}), [UsageReport({'guides': Usage(5, 9.0)})], 0.0
    )
    retry_after = [quotas.admit(team, 0.1) for _try in range(5)]
    assert retry_after[-1] == 1.5


@pytest.mark.parametrize('vms', (1, 18, 100))
def test_retries_of_all_vms_stay_within_the_budget(vms):
    bounds = make_bounds()
    budgets = [
        ServiceRetryBudget(bounds=bounds, vms=vms, now=0.0)
        for _vm in range(vms)
    ]
    retries = requests = 0
    for step in range(1000):
        now = step / 100
        budget = budgets[step % vms]
        requests += 1
        budget.record_request()
        retries += budget.try_acquire(now)
        retries += budget.try_acquire(now)
    bound = bounds.retry_ratio * requests + bounds.retry_slack
    assert retries <= max(bound, vms)
    assert retries > 0.5 * min(bound, 2 * requests)


def test_current_reports_are_summed_and_stale_ones_stay_separate():
    current = [
        UsageReport({'a': Usage(number, 0.5)}, vms=2.0) for number in range(40)
    ]
    reserve = [UsageReport({}, vms=RESERVE_VM_WEIGHT) for _vm in range(50)]
    stale_unused = [UsageReport({}, is_stale=True, vms=1.0) for _vm in range(3)]
    stale = UsageReport({'a': Usage(7, 1.0)}, is_stale=True)
    missing = make_missing_report(4)
    found = combine_reports([*current, *reserve, stale, missing, *stale_unused])
    assert found[:2] == [stale, missing]
    current_sum, stale_unused_sum = found[2:]
    assert current_sum.usage == {'a': Usage(780, 20.0)}
    assert current_sum.vms == pytest.approx(81.0)
    assert stale_unused_sum == UsageReport({}, is_stale=True, vms=3.0)


@pytest.mark.parametrize('seed', range(5))
def test_summed_reports_get_the_shares_of_their_vms(seed):
    rng = random.Random(seed)
    own = UsageReport({'team': Usage(3, 1.5)})
    others = [
        UsageReport(
            {'team': Usage(rng.randrange(9), rng.random())}
            if rng.random() < 0.6
            else {},
            is_stale=rng.random() < 0.3,
            vms=rng.choice((RESERVE_VM_WEIGHT, 1.0, 4.0)),
        )
        for _vm in range(40)
    ]
    each = list_team_reports([own, *others])
    summed = list_team_reports([own, *combine_reports(others)])
    fractions, summed_fractions = (
        compute_fractions(1.5, each),
        compute_fractions(1.5, summed),
    )
    assert summed_fractions[0] == pytest.approx(fractions[0])
    assert sum(summed_fractions) == pytest.approx(1.0)
    assert compute_stale_spent(summed, summed_fractions) == pytest.approx(
        compute_stale_spent(each, fractions),
    )


def list_team_reports(reports):
    """Return what VMs reported of one team."""
    return [
        TeamReport(
            report.usage.get('team', Usage()),
            report.is_stale,
            report.vms,
        )
        for report in reports
    ]


def compute_stale_spent(reports, fractions, limit=100.0):
    """Return the requests that count as spent by VMs with stale reports."""
    return sum(
        max(report.usage.admitted, fraction * limit)
        for report, fraction in zip(reports, fractions, strict=True)
        if report.is_stale
    )
