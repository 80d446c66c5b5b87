"""Actor that sends and receives heartbeats and reads the list of VMs."""

from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple, Protocol

import pykka
from returns.result import Result, Success

from toucanhall import events, runtime
from toucanhall.membership.confirming import confirm
from toucanhall.membership.contacts import is_reader, select_contacts
from toucanhall.membership.digest import (
    list_rows,
    sample_confirmed,
    set_patience,
)
from toucanhall.membership.messages import Heartbeat
from toucanhall.membership.view import (
    Health,
    Member,
    View,
    assess,
    compensate_pause,
    hear,
    merge_list,
)
from toucanhall.objectstore import Listed
from toucanhall.settings import Settings

__all__ = ('Beat', 'Heard', 'Leave', 'Membership', 'Platform', 'ReadList')

_MAX_BEAT_GAP_SECONDS: Final = 3.0
# Each VM reads the list itself once in this number of reads.
_READ_BY_ALL_INTERVAL_READS: Final = 15


class Beat(NamedTuple):
    """Timer message: send heartbeats."""


class ReadList(NamedTuple):
    """Timer message: read the platform's list of VMs."""


class Leave(NamedTuple):
    """This VM starts to leave the fleet."""


class Heard(NamedTuple):
    """A heartbeat was received from another VM."""

    vm: str
    start: str
    heartbeat: Heartbeat


class Platform(Protocol):
    """The part of the platform client that membership needs."""

    def list_vms(self, zone: str) -> Result[tuple[Listed, ...], Any]:
        """Return running and leaving VMs, with the addresses for a zone."""


class Membership(pykka.ThreadingActor):
    """Maintains this VM's view of the others and publishes each change."""

    use_daemon_thread = True

    def __init__(
        self,
        *,
        settings: Settings,
        platform: Platform,
        send: Callable[[str, Heartbeat], None],
        redial: Callable[[str], None],
        read_revision: Callable[[], int],
        publish: Callable[[View], None],
    ) -> None:
        """Start with an empty view; `publish` is called with each new view."""
        super().__init__()
        self._settings = settings
        self._platform = platform
        self._send = send
        self._redial = redial
        self._read_revision = read_revision
        self._publish = publish
        self._view = View({}, {})
        self._sequence = runtime.read_wall_milliseconds()
        self._last_beat_at = runtime.read_clock()
        self._read_count = 0
        self._leaving = False
        self._health: dict[str, Health] = {}
        self._handlers: Mapping[type, Callable[[Any], None]] = {
            Beat: self._send_heartbeats,
            ReadList: self._read_list,
            Leave: self._leave,
            Heard: self._receive_heartbeat,
        }

    def on_receive(self, message: Any) -> None:
        """Handle one message of this actor."""
        runtime.dispatch(self._handlers, message)

    def _send_heartbeats(self, _message: Beat) -> None:
        now = runtime.read_clock()
        self._compensate_pause(now)
        self._sequence += 1
        revision = self._read_revision()
        confirmed = confirm(self._view, self._settings.zone, revision, now)
        self._view = self._view._replace(confirmed=confirmed)
        self._update_health(now)
        for member in self._select_contacts(now):
            self._send(member.address, self._make_heartbeat(member, now))
        self._publish(self._view)

    def _compensate_pause(self, now: float) -> None:
        gap_seconds = now - self._last_beat_at
        self._last_beat_at = now
        if gap_seconds > _MAX_BEAT_GAP_SECONDS:
            self._view = compensate_pause(self._view, gap_seconds, now)

    def _make_heartbeat(self, member: Member, now: float) -> Heartbeat:
        zone = self._settings.zone
        is_local = member.zone == zone
        turn = self._sequence
        return Heartbeat(
            zone=zone,
            address=self._settings.address,
            sequence=self._sequence,
            leaving=self._leaving,
            revision=self._read_revision(),
            confirmed=sample_confirmed(self._view.confirmed, zone, turn),
            rows=list_rows(self._view, zone, turn, now, is_near=is_local),
        )

    def _read_list(self, _message: ReadList) -> None:
        now = runtime.read_clock()
        self._read_count += 1
        own = self._settings
        if (
            self._view.is_listed
            and self._read_count % _READ_BY_ALL_INTERVAL_READS
        ):
            if not is_reader(self._view, own.vm, own.zone, now):
                return
        listed = self._platform.list_vms(self._settings.zone)
        if isinstance(listed, Success):
            merged = merge_list(self._view, listed.unwrap(), own.vm, now)
            self._view = set_patience(merged, own.zone)
            self._publish(self._view)

    def _leave(self, _message: Leave) -> None:
        self._leaving = True
        now = runtime.read_clock()
        self._send_heartbeats(Beat())
        for member in tuple(self._view.members.values()):
            if member.zone == self._settings.zone:
                self._send(member.address, self._make_heartbeat(member, now))

    def _receive_heartbeat(self, message: Heard) -> None:
        self._view = hear(
            self._view,
            message.vm,
            message.start,
            message.heartbeat,
            runtime.read_clock(),
        )
        self._publish(self._view)

    def _select_contacts(self, now: float) -> tuple[Member, ...]:
        return select_contacts(
            self._view,
            self._settings.vm,
            self._settings.zone,
            self._sequence,
            now,
        )

    def _update_health(self, now: float) -> None:
        for vm, member in self._view.members.items():
            health = assess(member, now)
            if self._health.get(vm) is health:
                continue
            self._health[vm] = health
            event = _HEALTH_EVENTS.get(health)
            if event:
                events.log(event, peer=vm)
            if health is Health.SUSPECTED:
                self._redial(member.address)


_HEALTH_EVENTS: Final = {
    Health.ALIVE: events.PEER_JOINED,
    Health.SUSPECTED: events.PEER_SUSPECTED,
    Health.LEAVING: events.PEER_LEAVING,
}
