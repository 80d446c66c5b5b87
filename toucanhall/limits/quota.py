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
    'RESERVE_VMS',
    'Quotas',
    'Told',
    'Usage',
    'add_group',
    'add_up',
    'make_unheard',
)

# Weight of the last heartbeat interval in the smoothed demand.
_DEMAND_WEIGHT: Final = 0.25
# A VM without demand counts as having this fraction of the average demand, so
# that it can admit the first requests.
_IDLE_SHARE: Final = 0.8
# Weight of a VM that the directory does not name: some clients use an outdated
# answer of the directory.
RESERVE_VMS: Final = 0.02
# Least that is added to the demand of each VM: the limit of a team with a few
# requests per second is divided evenly, since what each VM saw is chance.
_LEAST_DEMAND: Final = 0.4
# Tokens that a VM may hold at most while its share of what remains is smaller.
_MOST_KEPT: Final = 3.0
# Fraction of what the fleet may still admit, including the slack beyond the
# limit, that all VMs together may hold as tokens.
_KEPT_SHARE: Final = 0.8
# Fraction of a VM's share of what remains that a heartbeat adds as tokens.
_SPEND_SHARE: Final = 0.5
# Fraction of the limit that counts as spent before a VM that has just started.
_START_SHARE: Final = 0.8
_FIRST_TOKENS: Final = 1.0
# Fraction of the tokens a VM may hold that its start adds: the process before
# it may have spent its own just now.
_FIRST_KEPT_SHARE: Final = 0.5
# A VM whose demand jumps spends up to this many times its share of the limit
# until the others receive its report. If they never do, the excess stays within
# the overage that the limit allows.
_MOST_PART: Final = 1.2
# While less than this fraction of the limit is spent, a VM may spend at least
# an even share: callers that moved to it send more before the others know.
_ROOMY_SHARE: Final = 0.6
# The VM's own demand is taken from some heartbeats ago, as old as the demand
# that others reported: the shares of all VMs would otherwise add up to more
# than the limit when demand jumps.
_OWN_BEATS: Final = 3
# Fraction of the burst that is divided; the rest covers VMs that are cut off.
_BURST_SHARE: Final = 0.5
# What a VM may admit in a window where its share of the limit is smaller.
_LEAST_WINDOW: Final = 5.0
_LONGEST_RETRY_SECONDS: Final = 1.5


class Usage(NamedTuple):
    """Requests of a team: admitted in the last window, arrived per second."""

    admitted: int = 0
    demand: float = 0.0


class Told(NamedTuple):
    """The usage that a VM reported last, or the sum of several reports.

    `is_late` tells that a newer report was due; `vms` is the sum of the weights
    of the VMs, 1 for each that takes requests; `usage` is None when no report
    was received since this VM started.
    """

    usage: Mapping[str, Usage] | None
    is_late: bool = False
    vms: float = 1.0


def make_unheard(vms: float) -> Told:
    """Return the report that stands for VMs that have sent none yet."""
    return Told(None, is_late=True, vms=vms)


def add_up(told: Iterable[Told]) -> list[Told]:
    """Sum all reports that are not stale into one.

    Their shares add up too, so a limit is divided among a few reports instead
    of among all VMs. A stale report counts for at least its own share: it stays
    separate, except that stale reports without any team are summed.
    """
    alone: list[Told] = []
    present: list[Told] = []
    silent: list[Told] = []
    for one in told:
        if one.usage is None or (one.is_late and one.usage):
            alone.append(one)
        elif one.is_late:
            silent.append(one)
        else:
            present.append(one)
    groups = (group for group in (present, silent) if group)
    return [*alone, *map(add_group, groups)]


def add_group(group: Sequence[Told]) -> Told:
    """Sum some reports, all of which are stale or none."""
    return Told(
        _sum_usage(found.usage for found in group if found.usage),
        is_late=group[0].is_late,
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
    """The share of each team's limit that this VM may spend."""

    def __init__(self, *, bounds: Bounds, beat: float, now: float) -> None:
        """Start without usage; `beat` is the heartbeat interval in seconds."""
        self._bounds = bounds
        window = bounds.quota_window
        self._window = window
        self._beat = beat
        self._started_at = now
        self._beat_at = now
        self._divided_at = now
        self._elapsed = beat
        self._meters: dict[str, _Meter] = {}

    def admit(self, team: Team, now: float) -> float:
        """Return 0 if a request is admitted, else the retry-after seconds."""
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

    def describe(self, team: str, now: float) -> dict[str, float]:
        """Return the figures by which a request of a team was refused.

        `limit` and `spent` are requests of all VMs in a window, `part` is the
        fraction of this VM, `age` the seconds since the last heartbeat.
        """
        meter = self._meters[team]
        return {
            'limit': round(meter.limit),
            'spent': round(meter.spent),
            'part': round(meter.part, 4),
            'age': round(now - self._beat_at, 3),
        }

    def measure(self, now: float) -> dict[str, Usage]:
        """End a heartbeat interval; return the usage to report to other VMs."""
        elapsed = max(0.001, now - self._beat_at)
        self._beat_at = now
        told = {}
        for name, meter in self._meters.items():
            rate = meter.arrived / elapsed
            meter.demand += (rate - meter.demand) * _DEMAND_WEIGHT
            meter.demands = [
                meter.demand,
                *meter.demands,
            ][:_OWN_BEATS]
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

    def divide(
        self,
        teams: Iterable[Team],
        own: Told,
        others: Iterable[Told],
        now: float,
    ) -> None:
        """Add tokens for each team by the reports of all VMs.

        A VM whose report is stale may be cut off and keep admitting requests:
        it counts as if it had spent its whole share of the limit.
        """
        self._elapsed = now - self._divided_at
        self._divided_at = now
        all_vms = (own, *add_up(others))
        for team in teams:
            if team.rate is not None:
                reports = [
                    _Report(
                        _find_usage(told, team.name),
                        told.is_late,
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
        most = max(
            _LEAST_WINDOW,
            _MOST_PART * part * limit,
        )
        most -= _get_admitted(reports[0])
        meter.room = max(
            0.0,
            min((limit - spent) * part, most),
        )
        vms = sum(report.vms for report in reports)
        kept = self._find_kept(team, limit - spent, vms)
        if not meter.is_divided:
            meter.tokens += _FIRST_KEPT_SHARE * (kept - _FIRST_TOKENS)
        meter.tokens = min(
            max(kept, meter.room),
            meter.tokens + self._find_inflow(meter, part * limit),
        )

    def _find_inflow(self, meter: _Meter, owned: float) -> float:
        """Return the tokens that a heartbeat adds.

        `share` is this VM's share of the limit in requests. Short intervals
        bring no newer reports from other zones: their heartbeats add only what
        the limit allows in that time.
        """
        inflow = meter.room * _SPEND_SHARE
        if meter.is_divided and self._elapsed < self._beat / 2:
            inflow = min(
                inflow,
                owned * self._elapsed / self._window,
            )
        meter.is_divided = True
        return inflow

    def _find_kept(
        self,
        team: Team,
        left: float,
        vms: float,
    ) -> float:
        """Return the tokens that a VM may hold while its share is small.

        `remaining` is what all VMs may still admit within the limit.
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
        """Return the requests that count as spent in the window.

        A VM whose report is stale counts as if it had spent its share. What was
        spent before this VM started is assumed of the rest of the limit.
        """
        present = 0.0
        late = 0.0
        for report, part in zip(reports, parts, strict=True):
            admitted = _get_admitted(report)
            if report.is_late:
                late += max(admitted, part * limit)
            else:
                present += admitted
        before = self._assume_spent(now) * max(
            0.0,
            limit - late,
        )
        return late + max(present, before)

    def _assume_spent(self, now: float) -> float:
        """Return the fraction that counts as spent before this VM started."""
        elapsed = (now - self._started_at) / self._window
        return _START_SHARE * max(0.0, 1 - elapsed)

    def _find_part(
        self,
        meter: _Meter,
        reports: 'list[_Report]',
        parts: list[float],
    ) -> float:
        """Return this VM's fraction of what remains.

        Without current reports of most VMs, it keeps the fraction that it had,
        since the demand of the others is not known. A VM that never had them
        has none to keep.
        """
        vms = sum(report.vms for report in reports)
        late = sum(report.vms for report in reports if report.is_late)
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
    """A usage report of which only one team is kept."""

    usage: Usage | None
    is_late: bool
    vms: float


def _find_usage(told: Told, team: str) -> Usage | None:
    return None if told.usage is None else told.usage.get(team, _NOTHING)


def _get_admitted(report: _Report) -> int:
    return report.usage.admitted if report.usage else 0


def _divide(
    own_demand: float,
    reports: list[_Report],
) -> list[float]:
    """Return the fraction of the limit for each report, the own one first.

    VMs that have not reported yet count as having the average demand.
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


def _list_demands(
    own_demand: float,
    reports: list[_Report],
) -> list[float]:
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


def _sum_present(
    reports: list[_Report],
    parts: list[float],
) -> float:
    return sum(
        part
        for report, part in zip(reports, parts, strict=True)
        if not report.is_late
    )


_NOTHING: Final = Usage()
