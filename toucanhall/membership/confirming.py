"""Decides which revision a zone has in force, and who has not confirmed it.

A VM that is silent may still serve callers, so it counts until it has left or
until the platform's list and its heartbeats have both been gone for long.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from toucanhall.membership.view import Health, Member, View, assess

__all__ = ('ZoneReport', 'confirm', 'find_unconfirmed_vms', 'report_zones')

_LEFT_AFTER_SECONDS: Final = 15.0


class ZoneReport(NamedTuple):
    """What a zone has in force, and which known VMs hold it back."""

    in_force: int
    waiting: tuple[str, ...]


def confirm(
    view: View,
    zone: str,
    own_revision: int,
    now: float,
) -> Mapping[str, int]:
    """Return what each zone confirmed, with the own zone brought up to date.

    A VM that was not heard of for long is taken to hold what it last told.
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
    """Return the VMs of a zone that are not known to hold a revision."""
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
    """Return for each zone what is in force and who holds a revision back.

    A zone has a revision in force when `in_force` is not below its number.
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
