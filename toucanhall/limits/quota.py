"""The limit of a team over all VMs, kept from what each VM told of itself.

Load patterns: callers of a team move between zones; a team of a low rate sends
to many VMs, a few requests each; one team sends many times its rate; VMs are
cut off and go on; all VMs start again at once.

Each VM tells with its heartbeat how many requests it admitted for each team
in the last window, and how many a second arrived. What the window still has
room for is divided by demand, and a VM spends at most a half of its part of it
between two heartbeats, since it hears of the others one or two beats late.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from toucanhall.fleet.model import Bounds, Team

__all__ = (
    'RESERVE_VM_WEIGHT',
    'Quotas',
    'UsageReport',
    'Usage',
    'add_usage_reports',
    'combine_reports',
    'make_missing_report',
)

_DEMAND_WEIGHT: Final = 0.25  # of the last beat in the smoothed demand
# Part of the average demand that a VM without any keeps, to admit the first.
_IDLE_SHARE: Final = 0.8
# A VM that the directory does not name counts as this part of one: some
# clients come with an old answer.
RESERVE_VM_WEIGHT: Final = 0.02
# Demand that each VM counts as having at least, in requests a second: a team of
# a few requests a second is divided evenly, since what each VM saw is chance.
_LEAST_DEMAND: Final = 0.4
# Tokens that a VM may keep at most while its part of the room is smaller.
_MOST_KEPT: Final = 3.0
# Part of what the fleet may still admit, the slack beyond the limit included,
# that all VMs together keep as tokens.
_KEPT_SHARE: Final = 0.8
_SPEND_SHARE: Final = 0.5  # of the own part of the room, between two beats
# Part of the window that a VM which has just started takes as spent before.
_START_SHARE: Final = 0.8
_FIRST_TOKENS: Final = 1.0
# Part of the tokens that may be kept which a start brings: the process before
# may have spent its own just now.
_FIRST_KEPT_SHARE: Final = 0.5
# A VM whose demand jumps spends so much more than its part of the limit until
# the others know: if they do not hear of it, the overrun stays in the overage.
_MOST_PART: Final = 1.2
# Part of the limit up to which a VM may spend as much as the average: callers
# that moved to it ask for more before the division knows of them.
_ROOMY_SHARE: Final = 0.6
# The own demand counts as of some beats ago, as old as what others told: or
# the parts of all VMs would add up to more than the whole when demand jumps.
_OWN_BEATS: Final = 3
# Part of the burst that is handed out; the rest covers VMs that are cut off.
_BURST_SHARE: Final = 0.5
_LEAST_WINDOW: Final = 5.0  # requests of a window, where parts are small
_LONGEST_RETRY_SECONDS: Final = 1.5


class Usage(NamedTuple):
    """Requests of a team: admitted in the last window, and per second."""

    admitted: int = 0
    demand: float = 0.0


class UsageReport(NamedTuple):
    """What a VM told last, or the sum of several.

    `is_stale` when more should have been told since; `vms` is how many VMs take
    requests; `usage` is None when nothing was told since this VM started.
    """

    usage: Mapping[str, Usage] | None
    is_stale: bool = False
    vms: float = 1.0


def make_missing_report(vms: float) -> UsageReport:
    """Return what counts for VMs that have told nothing yet."""
    return UsageReport(None, is_stale=True, vms=vms)


def combine_reports(told: Iterable[UsageReport]) -> list[UsageReport]:
    """Return what VMs told with those that are not late added up.

    Their parts add up too, so a team is divided among a few instead of among
    all VMs. One that is late counts for its part at least: it stays alone,
    but for those that told of no team at all.
    """
    alone: list[UsageReport] = []
    present: list[UsageReport] = []
    silent: list[UsageReport] = []
    for one in told:
        if one.usage is None or (one.is_stale and one.usage):
            alone.append(one)
        elif one.is_stale:
            silent.append(one)
        else:
            present.append(one)
    groups = (group for group in (present, silent) if group)
    return [*alone, *map(add_usage_reports, groups)]


def add_usage_reports(group: Sequence[UsageReport]) -> UsageReport:
    """Add up what some VMs told, all of them late or none."""
    return UsageReport(
        _sum_usage(found.usage for found in group if found.usage),
        is_stale=group[0].is_stale,
        vms=sum(found.vms for found in group),
    )


def _sum_usage(usages: Iterable[Mapping[str, Usage]]) -> dict[str, Usage]:
    total: dict[str, Usage] = {}
    for usage in usages:
        for team, found in usage.items():
            known = total.get(team, _NOTHING)
            total[team] = Usage(
                known.admitted + found.admitted,
                known.demand + found.demand,
            )
    return total


class _Admitted(NamedTuple):
    """Requests that were admitted in a beat, and when it ended."""

    ended_at: float
    requests: int


class _Meter:
    """Requests of one team at this VM."""

    __slots__ = (
        'admitted',
        'arrived',
        'demand',
        'demands',
        'has_part',
        'is_divided',
        'limit',
        'part',
        'past',
        'room',
        'spent',
        'tokens',
    )

    def __init__(self) -> None:
        self.admitted = 0
        self.arrived = 0
        self.demand = 0.0
        self.demands: list[float] = []
        self.has_part = False
        self.is_divided = False
        self.limit = 0.0
        self.spent = 0.0
        self.part = 0.0
        self.past: list[_Admitted] = []
        self.room = 0.0
        self.tokens = 0.0


class Quotas:
    """The part of each team's limit that this VM may spend."""

    def __init__(self, *, bounds: Bounds, beat: float, now: float) -> None:
        """Take the bounds of the limits and the time between beats (s)."""
        self._bounds = bounds
        window = bounds.quota_window_seconds
        self._window = window
        self._beat = beat
        self._started_at = now
        self._beat_at = now
        self._divided_at = now
        self._elapsed = beat
        self._meters: dict[str, _Meter] = {}

    def admit(self, team: Team, now: float) -> float:
        """Return 0 if a request is admitted, else seconds to come back in."""
        if team.rate is None:
            return 0.0
        meter = self._meters.get(team.name)
        if meter is None:
            meter = _Meter()
            meter.tokens = _FIRST_TOKENS
            self._meters[team.name] = meter
        meter.arrived += 1
        if meter.tokens >= 1:
            meter.tokens -= 1
            meter.admitted += 1
            return 0.0
        return self._find_wait(meter, now)

    def describe_refusal(self, team: str, now: float) -> dict[str, float]:
        """Return what a refusal of a team was decided by.

        `limit` and `spent` are requests of all VMs in a window, `part` is the
        share of this VM, `age` the seconds since the last heartbeat.
        """
        meter = self._meters[team]
        return {
            'limit': round(meter.limit),
            'spent': round(meter.spent),
            'part': round(meter.part, 4),
            'age': round(now - self._beat_at, 3),
        }

    def collect_usage(self, now: float) -> dict[str, Usage]:
        """End a beat; return what is to be told to the other VMs."""
        elapsed = max(0.001, now - self._beat_at)
        self._beat_at = now
        told = {}
        for name, meter in self._meters.items():
            rate = meter.arrived / elapsed
            meter.demand += (rate - meter.demand) * _DEMAND_WEIGHT
            meter.demands = [meter.demand, *meter.demands][:_OWN_BEATS]
            meter.past = [
                _Admitted(now, meter.admitted),
                *(
                    found
                    for found in meter.past
                    if now - found.ended_at < self._window - elapsed
                ),
            ]
            meter.arrived = 0
            meter.admitted = 0
            admitted = sum(found.requests for found in meter.past)
            usage = Usage(admitted, round(meter.demand, 2))
            if usage.admitted or usage.demand:
                told[name] = usage
        return told

    def refill(
        self,
        teams: Iterable[Team],
        own: UsageReport,
        others: Iterable[UsageReport],
        now: float,
    ) -> None:
        """Fill the tokens of each team from what all VMs told.

        A VM that is late may be cut off and go on: it counts as if it had
        spent its whole part of the limit.
        """
        self._elapsed = now - self._divided_at
        self._divided_at = now
        all_vms = (own, *combine_reports(others))
        for team in teams:
            if team.rate is not None:
                reports = [
                    _Report(
                        _find_usage(told, team.name),
                        told.is_stale,
                        told.vms,
                    )
                    for told in all_vms
                ]
                self._fill(team, team.rate, reports, now)

    def _fill(
        self,
        team: Team,
        rate: float,
        reports: 'list[_Report]',
        now: float,
    ) -> None:
        meter = self._meters.setdefault(team.name, _Meter())
        limit = rate * self._window + team.burst * _BURST_SHARE
        own_demand = meter.demands[-1] if meter.demands else 0.0
        parts = _divide(own_demand, reports)
        spent = self._find_spent(reports, parts, limit, now)
        meter.limit = limit
        meter.spent = spent
        part = self._find_part(meter, reports, parts)
        if spent < _ROOMY_SHARE * limit and not self._assume_spent(now):
            part = max(part, _find_even_part(reports))
        most = max(_LEAST_WINDOW, _MOST_PART * part * limit)
        most -= _get_admitted(reports[0])
        meter.room = max(0.0, min((limit - spent) * part, most))
        vms = sum(report.vms for report in reports)
        kept = self._find_kept(team, limit - spent, vms)
        if not meter.is_divided:
            meter.tokens += _FIRST_KEPT_SHARE * (kept - _FIRST_TOKENS)
        meter.tokens = min(
            max(kept, meter.room),
            meter.tokens + self._find_inflow(meter, part * limit),
        )

    def _find_inflow(self, meter: _Meter, owned: float) -> float:
        """Return the tokens that a beat adds; `owned` is the part of the limit.

        Short beats bring no newer reports from other zones: what they add is
        what the limit allows in their time.
        """
        inflow = meter.room * _SPEND_SHARE
        if meter.is_divided and self._elapsed < self._beat / 2:
            inflow = min(inflow, owned * self._elapsed / self._window)
        meter.is_divided = True
        return inflow

    def _find_kept(self, team: Team, left: float, vms: float) -> float:
        """Return the tokens that a VM may keep while its part is small.

        `left` is what the window has room for.
        """
        bounds = self._bounds
        beyond = bounds.quota_slack + (1 - _BURST_SHARE) * team.burst
        beyond += bounds.quota_overage * (team.rate or 0) * self._window
        kept = _KEPT_SHARE * (max(0.0, left) + beyond) / max(1.0, vms)
        return min(_MOST_KEPT, _FIRST_TOKENS + kept)

    def _find_spent(
        self,
        reports: 'list[_Report]',
        parts: list[float],
        limit: float,
        now: float,
    ) -> float:
        """Return the requests of the window that count as spent.

        A VM that is late counts as if it had spent its part; what was spent
        before this VM started is assumed of the rest.
        """
        present = 0.0
        late = 0.0
        for report, part in zip(reports, parts, strict=True):
            admitted = _get_admitted(report)
            if report.is_stale:
                late += max(admitted, part * limit)
            else:
                present += admitted
        before = self._assume_spent(now) * max(0.0, limit - late)
        return late + max(present, before)

    def _assume_spent(self, now: float) -> float:
        """Return the part of the window that counts as spent before."""
        elapsed = (now - self._started_at) / self._window
        return _START_SHARE * max(0.0, 1 - elapsed)

    def _find_part(
        self,
        meter: _Meter,
        reports: 'list[_Report]',
        parts: list[float],
    ) -> float:
        """Return the own part of the room.

        A VM that hears from few others keeps the part that it had: what they
        ask for now is not known. One that never heard from most of them has
        none to keep.
        """
        vms = sum(report.vms for report in reports)
        late = sum(report.vms for report in reports if report.is_stale)
        hears_most = late * 2 < vms
        if hears_most or not meter.has_part:
            meter.part = parts[0] / _sum_present(reports, parts)
            meter.has_part = hears_most
        return meter.part

    def _find_wait(self, meter: _Meter, now: float) -> float:
        if meter.room * _SPEND_SHARE >= 1:
            next_beat = self._beat_at + self._beat
            return max(0.05, next_beat - now)
        return _LONGEST_RETRY_SECONDS


class _Report(NamedTuple):
    usage: Usage | None
    is_stale: bool
    vms: float


def _find_usage(told: UsageReport, team: str) -> Usage | None:
    return None if told.usage is None else told.usage.get(team, _NOTHING)


def _get_admitted(report: _Report) -> int:
    return report.usage.admitted if report.usage else 0


def _divide(own_demand: float, reports: list[_Report]) -> list[float]:
    """Return the part of each report, the own one first.

    VMs that told nothing yet count as asked for as much as the others.
    """
    demands = _list_demands(own_demand, reports)
    total = sum(demands)
    vms = sum(report.vms for report in reports)
    floor = max(_LEAST_DEMAND, _IDLE_SHARE * total / vms)
    whole = total + floor * vms
    return [
        (demand + floor * report.vms) / whole
        for demand, report in zip(demands, reports, strict=True)
    ]


def _list_demands(own_demand: float, reports: list[_Report]) -> list[float]:
    others = [report for report in reports[1:] if report.usage]
    known = own_demand + sum(_get_demand(report) for report in others)
    heard = reports[0].vms + sum(report.vms for report in others)
    rest = [
        _get_demand(report) if report.usage else report.vms * known / heard
        for report in reports[1:]
    ]
    return [own_demand, *rest]


def _find_even_part(reports: list[_Report]) -> float:
    return reports[0].vms / sum(report.vms for report in reports)


def _get_demand(report: _Report) -> float:
    return report.usage.demand if report.usage else 0.0


def _sum_present(reports: list[_Report], parts: list[float]) -> float:
    return sum(
        part
        for report, part in zip(reports, parts, strict=True)
        if not report.is_stale
    )


_NOTHING: Final = Usage()
