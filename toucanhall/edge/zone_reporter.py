"""Sends the state of the own zone to the delegates of other zones."""

import random
from collections.abc import Callable, Iterable
from typing import Final

from toucanhall.fleet.gossip import Message
from toucanhall.fleet.membership import Heartbeat, Members
from toucanhall.fleet.reports import (
    LimitReports,
    Member,
    ZoneReport,
    sum_usage_reports,
)
from toucanhall.fleet.selection import pick_admitting, pick_delegates
from toucanhall.limits.quota import UsageReport

__all__ = ('ZoneReporter',)

# A zone has two delegates; each reports with every second heartbeat.
_HEARTBEATS_PER_REPORT: Final = 2

_Send = Callable[[Message, Iterable[str]], None]


class ZoneReporter:
    """Reports the own zone to others while this VM is one of its delegates."""

    def __init__(
        self,
        *,
        members: Members,
        send: _Send,
        clock: Callable[[], float],
    ) -> None:
        """Send messages to IP addresses with `send`."""
        self._members = members
        self._send = send
        self._clock = clock
        self._heartbeat_count = 0

    def beat(self, own: Heartbeat, limits: LimitReports | None = None) -> None:
        """Report to the other zones if this VM is a delegate and it is time.

        `limits` are those that VMs of the own zone observed, if any.
        """
        self._heartbeat_count += 1
        if self._heartbeat_count % _HEARTBEATS_PER_REPORT:
            return
        now = self._clock()
        zone = (own.member, *self._members.list_local(now))
        if own.member not in pick_delegates(zone):
            return
        report_count = self._heartbeat_count // _HEARTBEATS_PER_REPORT
        receivers = [
            ips[report_count % len(ips)] for ips in self._list_delegate_ips()
        ]
        self._send(Message(report=self._make_report(own, zone, now)), receivers)
        if limits is not None:
            self._send(Message(limits=limits), receivers)

    def broadcast_revisions(self, own: Heartbeat) -> None:
        """Send the revisions of this VM's tables to all remote delegates."""
        message = Message(heartbeat=own._replace(usage={}))
        for ips in self._list_delegate_ips():
            self._send(message, ips)

    def _make_report(
        self,
        own: Heartbeat,
        zone: tuple[Member, ...],
        now: float,
    ) -> ZoneReport:
        admitting = {member.vm for member in pick_admitting(zone)}
        local = self._members.list_local_usage_reports(now, admitting)
        return ZoneReport(
            zone=own.member.zone,
            delegate=own.member.vm,
            ip=own.member.ip,
            stamp=(own.started_at, self._heartbeat_count),
            revisions=own.revisions,
            members=zone,
            usage_reports=sum_usage_reports([UsageReport(own.usage), *local]),
        )

    def _list_delegate_ips(self) -> list[list[str]]:
        """Return the IP addresses of the delegates of each other zone."""
        now = self._clock()
        zones: list[list[str]] = []
        for other in self._members.list_zones():
            alive = self._members.list_zone(other, now)
            ips = [member.ip for member in pick_delegates(alive)]
            zones.append(ips or self._pick_any_ips(other))
        return [ips for ips in zones if ips]

    def _pick_any_ips(self, zone: str) -> list[str]:
        """Return the addresses of two VMs of a zone without recent reports."""
        ips = [
            vm.ip for vm in self._members.known_vms.values() if vm.zone == zone
        ]
        return random.sample(ips, min(2, len(ips)))
