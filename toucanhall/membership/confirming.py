"""Computes the revision in force in a zone, and the VMs that lack it.

A silent VM may still serve callers, so its confirmation is required until it
has left, or until it is neither on the platform's list nor has sent a
heartbeat for a long time.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from toucanhall.membership.view import Health, Member, View, assess

__all__ = ('ZoneReport', 'confirm', 'find_unconfirmed_vms', 'report_zones')

_LEFT_AFTER_SECONDS: Final = 15.0


class ZoneReport(NamedTuple):
    """The revision in force in a zone, and the VMs that lack a newer one."""

    in_force: int
    waiting: tuple[str, ...]


def confirm(
    view: View,
    zone: str,
    own_revision: int,
    now: float,
) -> Mapping[str, int]:
    """Return the confirmed revision of each zone, updated for the own zone.

    A VM that has been silent for long counts with the last revision that it
    reported.
    """
    revisions = [
        member.revision for member in _select_required(view, zone, now)
    ]
    in_force = min([*revisions, own_revision])
    known = view.confirmed
    return {**known, zone: max(known.get(zone, 0), in_force)}


def find_unconfirmed_vms(
    view: View, zone: str, number: int, now: float
) -> list[str]:
    """Return the VMs of a zone that have not confirmed a revision."""
    return sorted(
        member.vm
        for member in _select_required(view, zone, now)
        if member.revision < number
    )


def report_zones(
    view: View,
    zones: Iterable[str],
    number: int,
    now: float,
) -> Mapping[str, ZoneReport]:
    """Return for each zone the revision in force and the VMs lacking `number`.

    A revision is in force in a zone when `in_force` is at least its number.
    """
    return {
        zone: ZoneReport(
            view.confirmed.get(zone, 0),
            tuple(
                find_unconfirmed_vms(view, zone, number, now)
                if view.confirmed.get(zone, 0) < number
                else (),
            ),
        )
        for zone in zones
    }


def _select_required(view: View, zone: str, now: float) -> list[Member]:
    return [
        member
        for member in view.members.values()
        if member.zone == zone and not _has_left(member, now)
    ]


def _has_left(member: Member, now: float) -> bool:
    if assess(member, now) is not Health.LEAVING:
        return False
    return (
        member.received_at is None
        or now - member.received_at > _LEFT_AFTER_SECONDS
    )
