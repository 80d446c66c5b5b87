"""The report of a zone to the other zones: its VMs and the usage of teams."""

from collections.abc import Iterable
from typing import NamedTuple

from toucanhall.fleet.model import VmContact
from toucanhall.fleet.revisions import Revisions
from toucanhall.limits.quota import UsageReport, add_usage_reports

__all__ = (
    'LimitReport',
    'LimitReports',
    'Member',
    'ZoneReport',
    'sum_usage_reports',
)


class Member(NamedTuple):
    """The state of a VM as it sends it to others.

    `lag` is the delay of its event loop in seconds, `capacity` the requests a
    second that it can serve and `load` those that arrive. `reaches_targets` is
    false while it is cut off from all of them.
    """

    vm: str
    zone: str
    ip: str
    is_ready: bool
    is_leaving: bool
    lag: float
    capacity: float
    load: float
    reaches_targets: bool = True

    @property
    def contact(self) -> VmContact:
        """Zone and address of the VM."""
        return VmContact(self.vm, self.zone, self.ip)


class LimitReport(NamedTuple):
    """The limit that a target named in an answer, None if it named none.

    `started_at` is the start of the target (Unix milliseconds). The ages, in
    seconds, count from the request and from the receipt of its answer.
    """

    target: str
    started_at: int
    per_second: float | None
    sent_age: float
    received_age: float


class LimitReports(NamedTuple):
    """The limits of targets that VMs of a zone observed."""

    zone: str
    reports: tuple[LimitReport, ...]


class ZoneReport(NamedTuple):
    """The state of a zone as one of its delegates sees it.

    `delegate` is the name of the delegate and `ip` its address. `stamp` grows
    with each report of it (Unix milliseconds of its start, number of the
    report). `usage_reports` has the sum of the recent usage reports of the
    zone's VMs, then that of the stale ones.
    """

    zone: str
    delegate: str
    ip: str
    stamp: tuple[int, int]
    revisions: Revisions
    members: tuple[Member, ...]
    usage_reports: tuple[UsageReport, ...]


def sum_usage_reports(
    usage_reports: Iterable[UsageReport],
) -> tuple[UsageReport, ...]:
    """Add up usage reports: the recent ones, then the stale ones."""
    groups: dict[bool, list[UsageReport]] = {False: [], True: []}
    for report in usage_reports:
        groups[report.is_stale].append(report)
    return tuple(
        _round(add_usage_reports(group)) for group in groups.values() if group
    )


def _round(report: UsageReport) -> UsageReport:
    usage = {
        team: found._replace(demand=round(found.demand, 2))
        for team, found in (report.usage or {}).items()
    }
    return report._replace(usage=usage)
