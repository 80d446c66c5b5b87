"""A VM's view of the other VMs, and the functions that update it."""

import enum
from collections.abc import Iterator, Mapping
from typing import Final, NamedTuple

from toucanhall.membership.messages import Heartbeat, Row
from toucanhall.objectstore import Listed

__all__ = (
    'HEARTBEAT_SECONDS',
    'SUSPECT_AFTER_SECONDS',
    'Health',
    'Member',
    'View',
    'assess',
    'compensate_pause',
    'hear',
    'merge_list',
    'select_live',
)

HEARTBEAT_SECONDS: Final = 1.0
SUSPECT_AFTER_SECONDS: Final = 3.5
_FORGET_AFTER_SECONDS: Final = 60.0


class Health(enum.Enum):
    """Liveness of a member, as seen by this VM."""

    NO_HEARTBEAT = 'unheard'
    ALIVE = 'alive'
    SUSPECTED = 'suspected'
    LEAVING = 'leaving'


class Member(NamedTuple):
    """Another VM, and when a heartbeat of it was last received.

    `received_at` is in seconds on the clock of this process.
    """

    vm: str
    zone: str
    address: str
    start: str = ''
    sequence: int = 0
    leaving: bool = False
    revision: int = 0
    received_at: float | None = None
    listed: bool = False
    suspect_after_seconds: float = SUSPECT_AFTER_SECONDS


class View(NamedTuple):
    """All known members by VM, without the VM that owns the view.

    `is_listed` is set once the platform's list has been read.
    """

    members: Mapping[str, Member]
    confirmed: Mapping[str, int]
    is_listed: bool = False

    def select(self, health: Health, now: float) -> Iterator[Member]:
        """Yield the members with the given health."""
        for member in self.members.values():
            if assess(member, now) is health:
                yield member


def assess(member: Member, now: float) -> Health:
    """Return the health of a member at time `now`."""
    if member.leaving:
        return Health.LEAVING
    if member.received_at is None:
        return Health.NO_HEARTBEAT
    if now - member.received_at > member.suspect_after_seconds:
        return Health.SUSPECTED
    return Health.ALIVE


def select_live(
    view: View, zone: str, own_vm: str, now: float
) -> frozenset[str]:
    """Return the VMs that share the slots of one zone.

    These are this VM and the zone's other VMs that are alive or still listed.
    Other zones have their own slots.
    """
    others = (
        member.vm
        for member in view.members.values()
        if member.zone == zone
        and (member.listed or assess(member, now) is Health.ALIVE)
    )
    return frozenset((own_vm, *others))


def hear(
    view: View,
    vm: str,
    start: str,
    heartbeat: Heartbeat,
    now: float,
) -> View:
    """Return the view after a heartbeat; an outdated one is ignored.

    The address of a known VM is kept, since the platform may have listed it.
    """
    known = view.members.get(vm)
    if known and known.start == start and known.sequence >= heartbeat.sequence:
        return view
    member = Member(
        vm=vm,
        zone=heartbeat.zone,
        address=known.address if known else heartbeat.address,
        start=start,
        sequence=heartbeat.sequence,
        leaving=heartbeat.leaving,
        revision=heartbeat.revision,
        received_at=now,
        listed=known.listed if known else False,
        suspect_after_seconds=known.suspect_after_seconds
        if known
        else SUSPECT_AFTER_SECONDS,
    )
    rows = _merge_rows(view.members, heartbeat.rows, now)
    return view._replace(
        members={**view.members, **rows, vm: member},
        confirmed=_merge_confirmed(view.confirmed, heartbeat.confirmed),
    )


def merge_list(
    view: View,
    listed: tuple[Listed, ...],
    own_vm: str,
    now: float,
) -> View:
    """Return the view after the platform's list of VMs was read.

    The list adds unknown VMs and marks leaving ones. A VM that is missing
    from it stays a member while its heartbeats are received.
    """
    members = {
        vm: member._replace(listed=False)
        for vm, member in view.members.items()
        if not _is_forgotten(member, now)
    }
    for entry in listed:
        if entry.vm != own_vm:
            members[entry.vm] = _merge_entry(members.get(entry.vm), entry)
    return view._replace(members=members, is_listed=True)


def compensate_pause(view: View, pause_seconds: float, now: float) -> View:
    """Return the view after this VM was paused, without false suspicions.

    Heartbeats missed during the own pause don't count as silence.
    """
    members = {
        vm: _shift_received_at(member, pause_seconds, now)
        for vm, member in view.members.items()
    }
    return view._replace(members=members)


def _shift_received_at(
    member: Member, pause_seconds: float, now: float
) -> Member:
    if member.received_at is None:
        return member
    return member._replace(
        received_at=min(member.received_at + pause_seconds, now)
    )


def _merge_rows(
    members: Mapping[str, Member],
    rows: tuple[Row, ...],
    now: float,
) -> Mapping[str, Member]:
    """Return the members for which a row is newer than the known state.

    A row adds no unknown VM, since it lacks the zone and the address.
    """
    return {
        row.vm: members[row.vm]._replace(
            start=row.start,
            sequence=row.sequence,
            revision=row.revision,
            leaving=row.leaving,
            received_at=now,
        )
        for row in rows
        if row.vm in members and row.sequence > members[row.vm].sequence
    }


def _merge_entry(known: Member | None, entry: Listed) -> Member:
    if known is None:
        return Member(
            entry.vm,
            entry.zone,
            entry.address,
            leaving=entry.leaving,
            listed=True,
        )
    return known._replace(
        listed=True,
        address=entry.address,
        leaving=known.leaving or entry.leaving,
    )


def _is_forgotten(member: Member, now: float) -> bool:
    if member.received_at is None:
        return not member.listed
    return (
        now - member.received_at > _FORGET_AFTER_SECONDS and not member.listed
    )


def _merge_confirmed(
    known: Mapping[str, int],
    received: Mapping[str, int],
) -> Mapping[str, int]:
    newer = {
        zone: revision
        for zone, revision in received.items()
        if revision > known.get(zone, 0)
    }
    return {**known, **newer}
