"""What a zone tells the other zones: its VMs and what they admitted."""

from collections.abc import Iterable
from typing import NamedTuple

from toucanhall.fleet.tables import Revisions
from toucanhall.fleet.model import VmContact
from toucanhall.limits.quota import UsageReport, add_usage_reports

__all__ = ('Member', 'ZoneReport', 'sum_usage_reports')


class Member(NamedTuple):
    """What a VM tells of itself.

    `lag` is how late its loop is (seconds), `capacity` what it bears and `load`
    what it takes (requests a second).
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
    def contact(self) -> VmContact:
        """Where the VM may be found."""
        return VmContact(self.vm, self.zone, self.ip)


class ZoneReport(NamedTuple):
    """The state of a zone as one of its speakers sees it.

    `stamp` grows with each report of the speaker (Unix milliseconds of its
    start, number of the report); `usage_reports` holds the requests of the VMs that
    were heard lately, then of those that fell silent, each summed.
    """

    zone: str
    delegate: str
    ip: str
    stamp: tuple[int, int]
    revisions: Revisions
    members: tuple[Member, ...]
    usage_reports: tuple[UsageReport, ...]


def sum_usage_reports(told: Iterable[UsageReport]) -> tuple[UsageReport, ...]:
    """Add up what VMs told: those heard lately, then those that are late."""
    groups: dict[bool, list[UsageReport]] = {False: [], True: []}
    for found in told:
        groups[found.is_stale].append(found)
    return tuple(
        _round(add_usage_reports(group)) for group in groups.values() if group
    )


def _round(told: UsageReport) -> UsageReport:
    usage = {
        team: found._replace(demand=round(found.demand, 2))
        for team, found in (told.usage or {}).items()
    }
    return told._replace(usage=usage)
