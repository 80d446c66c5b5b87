"""The report of a zone to the other zones: its VMs and the usage of teams."""

from collections.abc import Iterable
from typing import NamedTuple

from toucanhall.fleet.knowledge import Revisions
from toucanhall.fleet.model import Introduction
from toucanhall.limits.quota import Told, add_group

__all__ = ('Member', 'ZoneReport', 'sum_told')


class Member(NamedTuple):
    """The state of a VM as it sends it to others.

    `lag` is the delay of its event loop in seconds, `capacity` the requests a
    second that it can serve and `load` those that arrive.
    """

    vm: str
    zone: str
    ip: str
    is_ready: bool
    is_leaving: bool
    lag: float
    capacity: float
    load: float

    @property
    def introduction(self) -> Introduction:
        """Zone and address of the VM."""
        return Introduction(self.vm, self.zone, self.ip)


class ZoneReport(NamedTuple):
    """The state of a zone as one of its delegates sees it.

    `speaker` is the name of the delegate and `ip` its address. `stamp` grows
    with each report of it (Unix milliseconds of its start, number of the
    report). `told` has the sum of the recent usage reports of the
    zone's VMs, then that of the stale ones.
    """

    zone: str
    speaker: str
    ip: str
    stamp: tuple[int, int]
    revisions: Revisions
    members: tuple[Member, ...]
    told: tuple[Told, ...]


def sum_told(usage_reports: Iterable[Told]) -> tuple[Told, ...]:
    """Add up usage reports: the recent ones, then the stale ones."""
    groups: dict[bool, list[Told]] = {False: [], True: []}
    for report in usage_reports:
        groups[report.is_late].append(report)
    return tuple(_round(add_group(group)) for group in groups.values() if group)


def _round(report: Told) -> Told:
    usage = {
        team: found._replace(demand=round(found.demand, 2))
        for team, found in (report.usage or {}).items()
    }
    return report._replace(usage=usage)
