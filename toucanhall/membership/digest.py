"""Selects what a heartbeat reports of other VMs, and sets time-outs."""

from collections.abc import Mapping, Sequence
from itertools import chain, islice
from typing import Final, TypeVar

from toucanhall.membership.messages import Row
from toucanhall.membership.view import (
    SUSPECT_AFTER_SECONDS,
    Health,
    Member,
    View,
    assess,
)

__all__ = ('list_rows', 'sample_confirmed', 'set_patience')

_MAX_REMOTE_ROWS: Final = 16
_MAX_LOCAL_ROWS_TO_REMOTE: Final = 8
_MAX_CONFIRMED_ZONES: Final = 8
_SUSPECT_SECONDS_PER_DOUBLING: Final = 1.0
_REMOTE_SUSPECT_AFTER_SECONDS: Final = 20.0
_MAX_SMALL_ZONE_VMS: Final = 4
_REPORTED_HEALTH: Final = frozenset((Health.ALIVE, Health.LEAVING))

Item = TypeVar('Item')


def list_rows(
    view: View,
    zone: str,
    turn: int,
    now: float,
    *,
    is_near: bool,
) -> tuple[Row, ...]:
    """Return the rows of a heartbeat to a local or a remote VM.

    A local VM receives rows of all local VMs and of the remote VMs in
    rotation; a remote VM receives rows of the local VMs in rotation.
    """
    local, remote = _split_rows(view, zone, now)
    if not is_near:
        return _rotate(local, turn, _MAX_LOCAL_ROWS_TO_REMOTE)
    return (*local, *_rotate(remote, turn, _MAX_REMOTE_ROWS))


def sample_confirmed(
    confirmed: Mapping[str, int],
    zone: str,
    turn: int,
) -> Mapping[str, int]:
    """Return the own zone's confirmed revision and, in rotation, others'."""
    names = _rotate(sorted(confirmed), turn, _MAX_CONFIRMED_ZONES)
    return {name: confirmed[name] for name in {zone, *names} & set(confirmed)}


def set_patience(view: View, zone: str) -> View:
    """Return the view with the time-out after which a VM is suspected.

    Heartbeat rows take more rounds to spread through a larger zone, and more
    again between zones.
    """
    size = 1 + sum(member.zone == zone for member in view.members.values())
    doublings = 0 if size <= _MAX_SMALL_ZONE_VMS else (size - 1).bit_length()
    local_seconds = (
        SUSPECT_AFTER_SECONDS + _SUSPECT_SECONDS_PER_DOUBLING * doublings
    )
    return view._replace(
        members={
            vm: member._replace(
                suspect_after_seconds=local_seconds
                if member.zone == zone
                else _REMOTE_SUSPECT_AFTER_SECONDS,
            )
            for vm, member in view.members.items()
        },
    )


def _split_rows(
    view: View,
    zone: str,
    now: float,
) -> tuple[list[Row], list[Row]]:
    """Return local and remote rows, those of leaving VMs included."""
    local: list[Row] = []
    remote: list[Row] = []
    for member in view.members.values():
        if (
            assess(member, now) in _REPORTED_HEALTH
            and member.received_at is not None
        ):
            rows = local if member.zone == zone else remote
            rows.append(_make_row(member))
    return local, remote


def _make_row(member: Member) -> Row:
    return Row(
        member.vm,
        member.start,
        member.sequence,
        member.revision,
        member.leaving,
    )


def _rotate(
    entries: Sequence[Item],
    turn: int,
    count: int,
) -> tuple[Item, ...]:
    if len(entries) <= count:
        return tuple(entries)
    start_index = turn * count % len(entries)
    return tuple(
        islice(chain(entries[start_index:], entries[:start_index]), count),
    )
