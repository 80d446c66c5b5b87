"""Speaks for the own zone to the VMs that listen for other zones."""

import random
from collections.abc import Callable, Iterable
from typing import Final

from toucanhall.fleet.gossip import Message
from toucanhall.fleet.membership import Heartbeat, Members
from toucanhall.fleet.reports import Member, ZoneReport, sum_usage_reports
from toucanhall.fleet.selection import pick_serving, pick_delegates
from toucanhall.limits.quota import UsageReport

__all__ = ('ZoneReporter',)

# A speaker reports with each second heartbeat; there are two of them.
_BEATS_PER_REPORT: Final = 2

Send = Callable[[Message, Iterable[str]], None]


class ZoneReporter:
    """This VM's part in the exchange between zones."""

    def __init__(
        self,
        *,
        members: Members,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        """Send messages to IP addresses by `send`."""
        self._members = members
        self._send = send
        self._clock = clock
        self._beats = 0

    def beat(self, own: Heartbeat) -> None:
        """Report to the other zones if this VM speaks and it is time."""
        self._beats += 1
        if self._beats % _BEATS_PER_REPORT:
            return
        now = self._clock()
        zone = (own.member, *self._members.list_local(now))
        if own.member not in pick_delegates(zone):
            return
        turn = self._beats // _BEATS_PER_REPORT
        self._send(
            Message(report=self._compose(own, zone, now)),
            [
                listeners[turn % len(listeners)]
                for listeners in self._list_listeners()
            ],
        )

    def broadcast_revisions(self, own: Heartbeat) -> None:
        """Tell all listeners at once which tables this VM has."""
        news = Message(heartbeat=own._replace(usage={}))
        for listeners in self._list_listeners():
            self._send(news, listeners)

    def _compose(
        self,
        own: Heartbeat,
        zone: tuple[Member, ...],
        now: float,
    ) -> ZoneReport:
        serving = {found.vm for found in pick_serving(zone)}
        told = self._members.list_local_usage_reports(now, serving)
        return ZoneReport(
            zone=own.member.zone,
            delegate=own.member.vm,
            ip=own.member.ip,
            stamp=(own.started_at, self._beats),
            revisions=own.revisions,
            members=zone,
            usage_reports=sum_usage_reports([UsageReport(own.usage), *told]),
        )

    def _list_listeners(self) -> list[list[str]]:
        """Return the IP addresses to speak to, for each other zone."""
        now = self._clock()
        found: list[list[str]] = []
        for other in self._members.list_zones():
            alive = self._members.list_zone(other, now)
            ips = [member.ip for member in pick_delegates(alive)]
            found.append(ips or self._guess(other))
        return [ips for ips in found if ips]

    def _guess(self, zone: str) -> list[str]:
        """Return two VMs of a zone of which nothing is heard."""
        ips = [
            found.ip
            for found in self._members.known_vms.values()
            if found.zone == zone
        ]
        return random.sample(ips, min(2, len(ips)))
