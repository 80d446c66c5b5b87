"""Divides each team's rate limit among all VMs by their usage reports.

Load patterns: callers of a team move between zones; a team with a low rate
sends a few requests to each of many VMs; one team sends many times its rate;
VMs are cut off and keep running; all VMs restart at once.

With each heartbeat, a VM reports how many requests it admitted for each team
in the last window, and how many arrived per second. What remains of the limit
in the window is divided by demand. A VM spends at most half of its share of it
between two heartbeats, since reports arrive one or two heartbeats late.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from toucanhall.fleet.model import Bounds, Team

__all__ = (
    'RESERVE_VM_WEIGHT',
    'Quotas',
    'Usage',
    'UsageReport',
    'add_usage_reports',
    'combine_reports',
    'make_missing_report',
)

# Weight of the last heartbeat interval in the smoothed demand.
_DEMAND_SMOOTHING_FACTOR: Final = 0.25
# A VM without demand counts as having this fraction of the average demand, so
# that it can admit the first requests.
_IDLE_DEMAND_FRACTION: Final = 0.8
# Weight of a VM that the directory does not name: some clients use an outdated
# answer of the directory.
RESERVE_VM_WEIGHT: Final = 0.02
# Least that is added to the demand of each VM: the limit of a team with a few
# requests per second is divided evenly, since what each VM saw is chance.
_MIN_DEMAND_PER_SECOND: Final = 0.4
# Tokens that a VM may hold at most while its share of what remains is smaller.
_MAX_HELD_TOKENS: Final = 3.0
# Fraction of what the fleet may still admit, including the slack beyond the
# limit, that all VMs together may hold as tokens.
_HELD_TOKENS_FRACTION: Final = 0.8
# Fraction of a VM's share of what remains that a heartbeat adds as tokens.
_REFILL_FRACTION: Final = 0.5
# Fraction of the limit that counts as spent before a VM that has just started.
_ASSUMED_SPENT_FRACTION: Final = 0.8
_INITIAL_TOKENS: Final = 1.0
# Fraction of the tokens a VM may hold that its start adds: the process before
# it may have spent its own just now.
_INITIAL_HELD_FRACTION: Final = 0.5
# A VM whose demand jumps spends up to this many times its share of the limit
# until the others receive its report. If they never do, the excess stays within
# the overage that the limit allows.
_MAX_SHARE_RATIO: Final = 1.2
# While less than this fraction of the limit is spent, a VM may spend at least
# an even share: callers that moved to it send more before the others know.
_EVEN_SHARE_SPENT_FRACTION: Final = 0.6
# Own demands that are kept, of the last heartbeats. The limit is divided by the
# oldest one, which is as old as the demand that others reported: the shares of
# all VMs would otherwise add up to more than the limit when demand jumps.
_RECENT_DEMANDS_COUNT: Final = 3
# Fraction of the burst that is divided; the rest covers VMs that are cut off.
_BURST_FRACTION: Final = 0.5
# What a VM may admit in a window where its share of the limit is smaller.
_MIN_WINDOW_REQUESTS: Final = 5.0
_MAX_RETRY_AFTER_SECONDS: Final = 1.5


class Usage(NamedTuple):
    """Requests of a team: admitted in the last window, arrived per second."""

    admitted: int = 0
    demand: float = 0.0


class UsageReport(NamedTuple):
    """The usage that a VM reported last, or the sum of several reports.

    `is_stale` tells that a newer report was due; `vms` is the sum of the VMs'
    weights, 1 for each that takes requests; `usage` is None when no report was
    received since this VM started.
    """

    usage: Mapping[str, Usage] | None
    is_stale: bool = False
    vms: float = 1.0


def make_missing_report(vms: float) -> UsageReport:
    """Return the report that stands for VMs that have sent none yet."""
    return UsageReport(None, is_stale=True, vms=vms)


def combine_reports(reports: Iterable[UsageReport]) -> list[UsageReport]:
    """Sum all reports that are not stale into one.

    Their shares add up too, so a limit is divided among a few reports instead
    of among all VMs. A stale report counts for at least its own share: it stays
    separate, except that stale reports without any team are summed.
    """
    separate: list[UsageReport] = []
    current: list[UsageReport] = []
    stale_unused: list[UsageReport] = []
    for report in reports:
        if report.usage is None or (report.is_stale and report.usage):
            separate.append(report)
        elif report.is_stale:
            stale_unused.append(report)
        else:
            current.append(report)
    groups = (group for group in (current, stale_unused) if group)
    return [*separate, *map(add_usage_reports, groups)]


def add_usage_reports(group: Sequence[UsageReport]) -> UsageReport:
    """Sum some reports, all of which are stale or none."""
    return UsageReport(
        _sum_usage(report.usage for report in group if report.usage),
        is_stale=group[0].is_stale,
        vms=sum(report.vms for report in group),
    )


def _sum_usage(usages: Iterable[Mapping[str, Usage]]) -> dict[str, Usage]:
    total: dict[str, Usage] = {}
    for usage in usages:
        for team, added in usage.items():
            known = total.get(team, _NO_USAGE)
            total[team] = Usage(
                known.admitted + added.admitted,
                known.demand + added.demand,
            )
    return total


class _Interval(NamedTuple):
    """Requests admitted between two heartbeats, and when the interval ended."""

    ended_at: float
    requests: int


class _Meter:
    """Requests and tokens of one team at this VM.

    `admitted` and `arrived` count since the last heartbeat; `share_fraction` is
    this VM's fraction of what remains, `remaining` its share in requests;
    `limit` and `spent` are requests of all VMs in a window.
    """

    __slots__ = (
        'admitted',
        'arrived',
        'demand',
        'has_share_fraction',
        'intervals',
        'is_refilled',
        'limit',
        'recent_demands',
        'remaining',
        'share_fraction',
        'spent',
        'tokens',
    )

    def __init__(self) -> None:
        self.admitted = 0
        self.arrived = 0
        self.demand = 0.0
        self.recent_demands: list[float] = []
        self.has_share_fraction = False
        self.is_refilled = False
        self.limit = 0.0
        self.spent = 0.0
        self.share_fraction = 0.0
        self.intervals: list[_Interval] = []
        self.remaining = 0.0
        self.tokens = 0.0


class Quotas:
    """The share of each team's limit that this VM may spend."""

    def __init__(self, *, bounds: Bounds, beat: float, now: float) -> None:
        """Start without usage; `beat` is the heartbeat interval in seconds."""
        self._bounds = bounds
        window_seconds = bounds.quota_window_seconds
        self._window_seconds = window_seconds
        self._heartbeat_seconds = beat
        self._started_at = now
        self._heartbeat_at = now
        self._refilled_at = now
        self._elapsed_seconds = beat
        self._meters: dict[str, _Meter] = {}

    def admit(self, team: Team, now: float) -> float:
        """Return 0 if a request is admitted, else the retry-after seconds."""
        if team.rate is None:
            return 0.0
        meter = self._meters.get(team.name)
        if meter is None:
            meter = _Meter()
            meter.tokens = _INITIAL_TOKENS
            self._meters[team.name] = meter
        meter.arrived += 1
        if meter.tokens >= 1:
            meter.tokens -= 1
            meter.admitted += 1
            return 0.0
        return self._compute_retry_after(meter, now)

    def describe_refusal(self, team: str, now: float) -> dict[str, float]:
        """Return the figures by which a request of a team was refused.

        `limit` and `spent` are requests of all VMs in a window, `part` is the
        fraction of this VM, `age` the seconds since the last heartbeat.
        """
        meter = self._meters[team]
        return {
            'limit': round(meter.limit),
            'spent': round(meter.spent),
            'part': round(meter.share_fraction, 4),
            'age': round(now - self._heartbeat_at, 3),
        }

    def collect_usage(self, now: float) -> dict[str, Usage]:
        """End a heartbeat interval; return the usage to report to other VMs."""
        elapsed = max(0.001, now - self._heartbeat_at)
        self._heartbeat_at = now
        usage_by_team = {}
        for name, meter in self._meters.items():
            rate = meter.arrived / elapsed
            meter.demand += (rate - meter.demand) * _DEMAND_SMOOTHING_FACTOR
            meter.recent_demands = [
                meter.demand,
                *meter.recent_demands,
            ][:_RECENT_DEMANDS_COUNT]
            meter.intervals = [
                _Interval(now, meter.admitted),
                *(
                    interval
                    for interval in meter.intervals
                    if now - interval.ended_at < self._window_seconds - elapsed
                ),
            ]
            meter.arrived = 0
            meter.admitted = 0
            admitted = sum(interval.requests for interval in meter.intervals)
            usage = Usage(admitted, round(meter.demand, 2))
            if usage.admitted or usage.demand:
                usage_by_team[name] = usage
        return usage_by_team

    def refill(
        self,
        teams: Iterable[Team],
        own: UsageReport,
        others: Iterable[UsageReport],
        now: float,
    ) -> None:
        """Add tokens for each team by the reports of all VMs.

        A VM whose report is stale may be cut off and keep admitting requests:
        it counts as if it had spent its whole share of the limit.
        """
        self._elapsed_seconds = now - self._refilled_at
        self._refilled_at = now
        reports = (own, *combine_reports(others))
        for team in teams:
            if team.rate is not None:
                team_reports = [
                    _TeamReport(
                        _get_usage(report, team.name),
                        report.is_stale,
                        report.vms,
                    )
                    for report in reports
                ]
                self._refill_team(team, team.rate, team_reports, now)

    def _refill_team(
        self,
        team: Team,
        rate: float,
        reports: 'list[_TeamReport]',
        now: float,
    ) -> None:
        meter = self._meters.setdefault(team.name, _Meter())
        limit = rate * self._window_seconds + team.burst * _BURST_FRACTION
        own_demand = meter.recent_demands[-1] if meter.recent_demands else 0.0
        fractions = _compute_fractions(own_demand, reports)
        spent = self._compute_spent(reports, fractions, limit, now)
        meter.limit = limit
        meter.spent = spent
        fraction = self._update_fraction(meter, reports, fractions)
        if (
            spent < _EVEN_SHARE_SPENT_FRACTION * limit
            and not self._get_assumed_spent_fraction(now)
        ):
            fraction = max(fraction, _compute_even_fraction(reports))
        max_remaining = max(
            _MIN_WINDOW_REQUESTS,
            _MAX_SHARE_RATIO * fraction * limit,
        )
        max_remaining -= _get_admitted(reports[0])
        meter.remaining = max(
            0.0,
            min((limit - spent) * fraction, max_remaining),
        )
        vms = sum(report.vms for report in reports)
        max_held = self._compute_max_held(team, limit - spent, vms)
        if not meter.is_refilled:
            meter.tokens += _INITIAL_HELD_FRACTION * (
                max_held - _INITIAL_TOKENS
            )
        meter.tokens = min(
            max(max_held, meter.remaining),
            meter.tokens + self._compute_refill(meter, fraction * limit),
        )

    def _compute_refill(self, meter: _Meter, share: float) -> float:
        """Return the tokens that a heartbeat adds.

        `share` is this VM's share of the limit in requests. Short intervals
        bring no newer reports from other zones: their heartbeats add only what
        the limit allows in that time.
        """
        refill = meter.remaining * _REFILL_FRACTION
        if (
            meter.is_refilled
            and self._elapsed_seconds < self._heartbeat_seconds / 2
        ):
            refill = min(
                refill,
                share * self._elapsed_seconds / self._window_seconds,
            )
        meter.is_refilled = True
        return refill

    def _compute_max_held(
        self,
        team: Team,
        remaining: float,
        vms: float,
    ) -> float:
        """Return the tokens that a VM may hold while its share is small.

        `remaining` is what all VMs may still admit within the limit.
        """
        bounds = self._bounds
        beyond = bounds.quota_slack + (1 - _BURST_FRACTION) * team.burst
        beyond += bounds.quota_overage * (team.rate or 0) * self._window_seconds
        held = (
            _HELD_TOKENS_FRACTION
            * (max(0.0, remaining) + beyond)
            / max(1.0, vms)
        )
        return min(_MAX_HELD_TOKENS, _INITIAL_TOKENS + held)

    def _compute_spent(
        self,
        reports: 'list[_TeamReport]',
        fractions: list[float],
        limit: float,
        now: float,
    ) -> float:
        """Return the requests that count as spent in the window.

        A VM whose report is stale counts as if it had spent its share. What was
        spent before this VM started is assumed of the rest of the limit.
        """
        current = 0.0
        stale = 0.0
        for report, fraction in zip(reports, fractions, strict=True):
            admitted = _get_admitted(report)
            if report.is_stale:
                stale += max(admitted, fraction * limit)
            else:
                current += admitted
        assumed = self._get_assumed_spent_fraction(now) * max(
            0.0,
            limit - stale,
        )
        return stale + max(current, assumed)

    def _get_assumed_spent_fraction(self, now: float) -> float:
        """Return the fraction that counts as spent before this VM started."""
        elapsed_windows = (now - self._started_at) / self._window_seconds
        return _ASSUMED_SPENT_FRACTION * max(0.0, 1 - elapsed_windows)

    def _update_fraction(
        self,
        meter: _Meter,
        reports: 'list[_TeamReport]',
        fractions: list[float],
    ) -> float:
        """Return this VM's fraction of what remains.

        Without current reports of most VMs, it keeps the fraction that it had,
        since the demand of the others is not known. A VM that never had them
        has none to keep.
        """
        vms = sum(report.vms for report in reports)
        stale_vms = sum(report.vms for report in reports if report.is_stale)
        has_most_reports = stale_vms * 2 < vms
        if has_most_reports or not meter.has_share_fraction:
            meter.share_fraction = fractions[0] / _sum_current(
                reports, fractions
            )
            meter.has_share_fraction = has_most_reports
        return meter.share_fraction

    def _compute_retry_after(self, meter: _Meter, now: float) -> float:
        if meter.remaining * _REFILL_FRACTION >= 1:
            next_heartbeat_at = self._heartbeat_at + self._heartbeat_seconds
            return max(0.05, next_heartbeat_at - now)
        return _MAX_RETRY_AFTER_SECONDS


class _TeamReport(NamedTuple):
    """A usage report of which only one team is kept."""

    usage: Usage | None
    is_stale: bool
    vms: float


def _get_usage(report: UsageReport, team: str) -> Usage | None:
    return None if report.usage is None else report.usage.get(team, _NO_USAGE)


def _get_admitted(report: _TeamReport) -> int:
    return report.usage.admitted if report.usage else 0


def _compute_fractions(
    own_demand: float,
    reports: list[_TeamReport],
) -> list[float]:
    """Return the fraction of the limit for each report, the own one first.

    VMs that have not reported yet count as having the average demand.
    """
    demands = _estimate_demands(own_demand, reports)
    total = sum(demands)
    vms = sum(report.vms for report in reports)
    floor = max(_MIN_DEMAND_PER_SECOND, _IDLE_DEMAND_FRACTION * total / vms)
    whole = total + floor * vms
    return [
        (demand + floor * report.vms) / whole
        for demand, report in zip(demands, reports, strict=True)
    ]


def _estimate_demands(
    own_demand: float,
    reports: list[_TeamReport],
) -> list[float]:
    received = [report for report in reports[1:] if report.usage]
    known_demand = own_demand + sum(_get_demand(report) for report in received)
    known_vms = reports[0].vms + sum(report.vms for report in received)
    others = [
        _get_demand(report)
        if report.usage
        else report.vms * known_demand / known_vms
        for report in reports[1:]
    ]
    return [own_demand, *others]


def _compute_even_fraction(reports: list[_TeamReport]) -> float:
    return reports[0].vms / sum(report.vms for report in reports)


def _get_demand(report: _TeamReport) -> float:
    return report.usage.demand if report.usage else 0.0


def _sum_current(
    reports: list[_TeamReport],
    fractions: list[float],
) -> float:
    return sum(
        fraction
        for report, fraction in zip(reports, fractions, strict=True)
        if not report.is_stale
    )


_NO_USAGE: Final = Usage()
